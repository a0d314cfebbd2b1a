/**
 * Limits what an entry sends to brittle endpoints, which fall over if they have
 * to reject more than some requests per second for want of room.
 *
 * A rejection is decided by what all entries send together, so each entry may
 * only use a share of an endpoint's room, without coordination: for each
 * endpoint, the first entries in an order that all of them compute alike share
 * its slots. An entry that is among them nowhere may send a single request to
 * one endpoint of its own. Shares of all entries would be below one request in a
 * large fleet.
 *
 * An entry that was rejected all the same pauses, for as long as its share of
 * the tolerated rejections takes to recur.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { BrittlePools } from "./brittle_pools.ts";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";
import type { FindSenderRank } from "./sender_rank.ts";
import type { BucketRate } from "./token_buckets.ts";
import { createTokenBuckets } from "./token_buckets.ts";

/** What is known about the room of an endpoint. */
export interface EndpointRoom {
  /** Requests at the endpoint, as far as this entry knows. */
  load: number;
  /** Requests that it works on concurrently; undefined if it does not say. */
  slots: number | undefined;
}

/** Options of {@linkcode createBrittleAllowance}. */
export interface BrittleAllowanceOptions {
  clock: Clock;
  /** The name of this entry. */
  entry: string;
  brittle: Pick<BrittlePools, "find" | "isEmpty">;
  findRank: FindSenderRank;
  /** Counts the entries that send, including this one. */
  countEntries: () => number;
  listUsable: (pool: string) => readonly EndpointInfo[];
  /** Whether the calls of a pool are sent by dispatchers. */
  isDispatched: (pool: string) => boolean;
  /** Defaults to this entry's own requests, without the number of slots. */
  readRoom?: (endpoint: EndpointInfo) => EndpointRoom;
}

/** The requests that this entry may send to brittle endpoints. */
export interface BrittleAllowance {
  /**
   * Time until a request may be sent: 0 for now, `Infinity` if this entry may
   * not send.
   */
  readWait(endpoint: EndpointInfo): Millis;
  /** Counts a request sent to the endpoint, brittle or not. */
  recordSend(endpoint: EndpointInfo): void;
  /** Records its end; it was rejected if the endpoint had no room for it. */
  recordEnd(endpoint: EndpointInfo, isRejected: boolean): void;
}

/** The requests that entries may have in progress at an endpoint. */
export interface RoomShares {
  /** Entries that share the slots, by their rank. */
  senders: number;
  /** Requests of each of them in progress. */
  perSender: number;
}

/** Enough for every entry of a large fleet to be a sender somewhere. */
const MAX_SENDERS = 32;
/** Entries that may dispatch for a pool: its dispatcher and two stand-ins. */
const MAX_DISPATCHERS = 3;
/** The room of an endpoint that does not say its slots. */
const UNKNOWN_SLOTS = 4;
/**
 * The rest is a reserve for entries whose membership view differs from this
 * one's.
 */
const USED_SHARE = 0.8;
/** An endpoint that tolerates no rejection is tried again at this rate. */
const MIN_REJECT_RATE = 0.1;
/** Room is found again when a request ends, about every so often. */
export const ROOM_WAIT: Millis = 200;
/** Computed again this often only, as fleets are large. */
const HOME_TTL: Millis = 500;
const MAX_TRACKED = 4_096;
const MILLIS_PER_SECOND = 1_000;

/** Divides the slots of an endpoint among entries. */
export function computeRoomShares(slots: number, entries: number): RoomShares {
  const senders = Math.max(1, Math.min(entries, slots, MAX_SENDERS));
  return { senders, perSender: Math.floor(slots / senders) };
}

/** Creates the allowance of an entry that has sent nothing. */
export function createBrittleAllowance(
  options: BrittleAllowanceOptions,
): BrittleAllowance {
  const { clock, entry, brittle, findRank, listUsable } = options;
  /** By endpoint key, requests of this entry in progress. */
  const inProgress = new Map<string, number>();
  /** By pool, the endpoint to which this entry may always send one request. */
  const homes = new Map<string, { id: string | undefined; at: Millis }>();
  let counted = { entries: 1, at: -Infinity };
  const buckets = createTokenBuckets({ clock, start: "full" });

  /** Returns an endpoint if this entry is a sender of none in the pool. */
  function findHome(pool: string): string | undefined {
    const cached = homes.get(pool);
    if (cached !== undefined && clock.now() - cached.at < HOME_TTL) {
      return cached.id;
    }
    const endpoints = listUsable(pool);
    const isSender = endpoints.some((endpoint) => {
      const { slots } = readRoom(endpoint);
      return findRank(endpoint) < computeShares(endpoint, slots).senders;
    });
    const [home] = isSender ? [] : listByRendezvous(endpoints, {
      key: entry,
      readName: ({ id }) => id,
    });
    putBounded(homes, [pool, { id: home?.id, at: clock.now() }], MAX_TRACKED);
    return home?.id;
  }

  function readRoom(endpoint: EndpointInfo) {
    const load = inProgress.get(formatEndpointKey(endpoint)) ?? 0;
    const room = options.readRoom?.(endpoint);
    return {
      load: Math.max(load, room?.load ?? 0),
      slots: room?.slots ?? endpoint.slots ?? UNKNOWN_SLOTS,
    };
  }

  function countEntries(): number {
    if (clock.now() - counted.at >= HOME_TTL) {
      counted = { entries: options.countEntries(), at: clock.now() };
    }
    return counted.entries;
  }

  function computeShares({ pool }: EndpointInfo, slots: number): RoomShares {
    if (options.isDispatched(pool)) {
      return { senders: MAX_DISPATCHERS, perSender: 1 };
    }
    return computeRoomShares(slots, countEntries());
  }

  /** Returns how many requests this entry may have in progress there. */
  function computeMax(
    endpoint: EndpointInfo,
    { slots, shares }: { slots: number; shares: RoomShares },
  ): number {
    const rank = findRank(endpoint);
    if (options.isDispatched(endpoint.pool) && rank === 0) return slots;
    if (rank < shares.senders) return shares.perSender;
    return findHome(endpoint.pool) === endpoint.id ? 1 : 0;
  }

  function computeRate(
    { senders }: RoomShares,
    rejectLimit: number,
  ): BucketRate {
    const rate = USED_SHARE * rejectLimit / senders;
    return { perSecond: Math.max(MIN_REJECT_RATE, rate), size: 1 };
  }

  function readWait(endpoint: EndpointInfo): Millis {
    if (brittle.isEmpty()) return 0;
    const key = formatEndpointKey(endpoint);
    const rejectLimit = brittle.find(endpoint.pool);
    if (rejectLimit === undefined) return 0;
    const { load, slots } = readRoom(endpoint);
    const shares = computeShares(endpoint, slots);
    const max = computeMax(endpoint, { slots, shares });
    if (max === 0) return Infinity;
    const rate = computeRate(shares, rejectLimit);
    const missing = 1 - buckets.read(key, rate);
    if (missing > 0) return missing * MILLIS_PER_SECOND / rate.perSecond;
    const isFull = load >= slots || (inProgress.get(key) ?? 0) >= max;
    return isFull ? ROOM_WAIT : 0;
  }

  return {
    readWait,
    recordSend(endpoint) {
      const key = formatEndpointKey(endpoint);
      inProgress.set(key, (inProgress.get(key) ?? 0) + 1);
    },
    recordEnd(endpoint, isRejected) {
      const key = formatEndpointKey(endpoint);
      const count = (inProgress.get(key) ?? 1) - 1;
      if (count > 0) inProgress.set(key, count);
      else inProgress.delete(key);
      const rejectLimit = isRejected ? brittle.find(endpoint.pool) : undefined;
      if (rejectLimit === undefined) return;
      const { slots } = readRoom(endpoint);
      const shares = computeShares(endpoint, slots);
      buckets.take(key, computeRate(shares, rejectLimit));
    },
  };
}
