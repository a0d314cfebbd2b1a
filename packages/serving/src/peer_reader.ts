/**
 * Reads a topic from other entries: from the parents of this entry, and from
 * any other entry if the parents have no fresh data.
 *
 * A reply states how old the peer's data is. A peer is skipped if its data is
 * too old, if it does not answer, or if it does not have the requested records.
 *
 * @module
 */
import type { TopicName, TopicReply, TopicRequest } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { createFallbackPeers } from "./fallback_peers.ts";
import { createPeerBackoff } from "./peer_backoff.ts";
import type { ReadTracker } from "./read_tracker.ts";
import type { TopicPosition, TopicReadResult } from "./platform_interfaces.ts";
import type { TopicTiming } from "./topic_timing.ts";

/** Options of {@linkcode createPeerReader}. */
export interface PeerReaderOptions {
  clock: Clock;
  random: () => number;
  topic: TopicName;
  /** Resolves to undefined if the entry does not answer. */
  request: (
    address: string,
    query: TopicRequest,
  ) => Promise<TopicReply | undefined>;
  timing: Pick<TopicTiming, "confirmWait" | "maxAge">;
  reads: Pick<ReadTracker, "begin">;
}

/** The result of a read from a peer. */
export interface PeerReadResult {
  address: string;
  result: TopicReadResult;
  /** When the store last confirmed the data, by this entry's clock. */
  confirmedAt: Millis;
}

/** Reads from peers; a read resolves to undefined if no peer was usable. */
export interface PeerReader {
  /**
   * Asks the first usable parent, and if that fails, others for the data that
   * they have already.
   */
  readAtParents(
    parents: readonly string[],
    query: { from: TopicPosition; wait: Millis },
  ): Promise<PeerReadResult | undefined>;
  /**
   * Asks a sample of all other entries for the data that they have already, and
   * returns it if it is fresher than this entry's.
   */
  findFresher(
    from: TopicPosition,
    listOthers: () => readonly string[],
  ): Promise<PeerReadResult | undefined>;
  /**
   * Returns the peer that a search found, as long as it replaces the parents.
   */
  readFallback(): string | undefined;
  /** Records when the store confirmed the data that this entry has read. */
  recordConfirmed(at: Millis): void;
}

/** Parents asked for one read: the first, and others if it is not usable. */
const MAX_PARENTS_ASKED = 3;

/**
 * Lower bound of the long-poll wait, also while the store is slow and no peer
 * has fresh data. It limits each requester to about seven requests a second.
 */
const MIN_WAIT: Millis = 100;

/**
 * Data that was confirmed this much later is from a newer response of the
 * store. Half of the time between two confirmations.
 */
const MIN_FRESHNESS_GAIN: Millis = 300;
/**
 * Stale data is never used beyond this multiple of the age limit. For the
 * configuration, that is close to the age limit for keys.
 */
const MAX_AGE_FACTOR = 3;

/**
 * The search for other peers starts when the data's age reaches this share of
 * the limit. Until then the entry's own data is good enough, and others hardly
 * have any fresher.
 */
const SEARCH_AGE_SHARE = 0.7;
/**
 * Further replies of peers asked together are awaited this long after the
 * first.
 */
const REPLY_WINDOW: Millis = 20;

/** Creates the reader of one topic. */
export function createPeerReader(
  { clock, random, topic, request, timing, reads }: PeerReaderOptions,
): PeerReader {
  const penalties = createPeerBackoff(clock);
  const fallback = createFallbackPeers({ clock, random });
  /** When the store confirmed the data that this entry read last. */
  let confirmedAt: Millis | undefined;

  function isSearchDue(): boolean {
    return confirmedAt === undefined ||
      clock.now() - confirmedAt > SEARCH_AGE_SHARE * timing.maxAge;
  }

  /**
   * Whether data confirmed at this time is usable. While the store is slow, no
   * peer has fresh data, so data clearly fresher than this entry's is accepted
   * too. A peer that has lost the store returns the same data each time, which
   * does not pass.
   */
  function isFreshEnough(newlyConfirmedAt: Millis): boolean {
    const age = clock.now() - newlyConfirmedAt;
    if (age <= timing.maxAge) return true;
    return confirmedAt !== undefined && age <= MAX_AGE_FACTOR * timing.maxAge &&
      newlyConfirmedAt - confirmedAt >= MIN_FRESHNESS_GAIN;
  }

  /** Resolves to undefined if the peer's reply is not usable. */
  async function requestFromPeer(
    address: string,
    query: Omit<TopicRequest, "topic">,
  ): Promise<PeerReadResult | undefined> {
    const requestedAt = clock.now();
    const end = reads.begin("peer", address);
    const reply = await request(address, { topic, ...query });
    if (reply === undefined) {
      penalties.record(address, "silent");
      return void end("silent");
    }
    if (reply.kind === "unknown") return void end("unknown");
    const { records, next, age, kind } = reply;
    if (!isFreshEnough(requestedAt - age)) return void end("old");
    end("read");
    penalties.clear(address);
    const result: TopicReadResult = {
      records: records.map(({ key, value, offset }) => ({
        key,
        value,
        offset,
      })),
      next,
      isSnapshot: kind === "newest",
      isRelayed: true,
    };
    return { address, result, confirmedAt: requestedAt - age };
  }

  /** Not called for peers asked in a search, which has its own back-off. */
  function recordUnusable(parent: string): void {
    if (penalties.isUsable(parent)) penalties.record(parent, "old");
  }

  async function readAtParents(
    parents: readonly string[],
    { from, wait }: { from: TopicPosition; wait: Millis },
  ): Promise<PeerReadResult | undefined> {
    const usable = parents.filter(penalties.isUsable).slice(
      0,
      MAX_PARENTS_ASKED,
    );
    const [first, ...others] = usable;
    if (first === undefined) return undefined;
    const result = await requestFromPeer(first, {
      from,
      ...computeWaits(wait),
    });
    if (result !== undefined) return result;
    // Time was lost already: the others are asked concurrently and without a
    // wait.
    const found = await requestConcurrently(others, from);
    usable.filter((parent) => parent !== found?.address).forEach(
      recordUnusable,
    );
    return found;
  }

  /**
   * Asks peers concurrently and resolves to the freshest of the replies that
   * come shortly after the first one; a peer that does not answer causes no
   * delay.
   */
  async function requestConcurrently(
    addresses: readonly string[],
    from: TopicPosition,
  ): Promise<PeerReadResult | undefined> {
    const query = { from, wait: 0, confirmWait: 0 };
    const answered: PeerReadResult[] = [];
    const asked = addresses.map(async (address) => {
      const result = await requestFromPeer(address, query);
      if (result === undefined) throw new Error(`${address} is not usable`);
      answered.push(result);
    });
    const isAny = await Promise.any(asked).then(() => true, () => false);
    if (!isAny) return undefined;
    await Promise.race([Promise.allSettled(asked), clock.sleep(REPLY_WINDOW)]);
    return answered.reduce((youngest, other) =>
      other.confirmedAt > youngest.confirmedAt ? other : youngest
    );
  }

  async function findFresher(
    from: TopicPosition,
    listOthers: () => readonly string[],
  ): Promise<PeerReadResult | undefined> {
    if (!isSearchDue()) return undefined;
    const searched = fallback.chooseCandidates(() =>
      listOthers().filter(penalties.isUsable)
    );
    if (searched.length === 0) return undefined;
    const found = await requestConcurrently(searched, from);
    // Peers that the store does not serve either have nothing fresher.
    const isYounger = found !== undefined &&
      found.confirmedAt > (confirmedAt ?? -Infinity);
    if (!isYounger) {
      fallback.recordNotFound();
      return undefined;
    }
    fallback.recordFound(found.address);
    return found;
  }

  /**
   * Limits the waits of a request by the age of this entry's data. A reader
   * that has lost the store replies without updates when the waits are over,
   * and its data is then too old. This entry must ask the store itself before
   * its own data has exceeded the limit by that time.
   */
  function computeWaits(wait: Millis) {
    if (wait === 0) return { wait, confirmWait: 0 };
    const ownAge = confirmedAt === undefined ? 0 : clock.now() - confirmedAt;
    const left = Math.max(MIN_WAIT, timing.maxAge - ownAge);
    const limited = Math.min(wait, left);
    return {
      wait: limited,
      confirmWait: Math.min(timing.confirmWait, left - limited),
    };
  }

  return {
    readAtParents,
    findFresher,
    readFallback: fallback.readPreferred,
    recordConfirmed: (at) => confirmedAt = at,
  };
}
