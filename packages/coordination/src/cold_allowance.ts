/**
 * How many requests an entry may send to an endpoint that is cold.
 *
 * The load it answers: endpoints that have just started, or a whole place that
 * comes back, while a burst waits. A cold endpoint bears some requests a second
 * and ends far above that; it takes no account of which of hundreds of entries
 * they come from. So the sum over all entries must hold although they do not
 * agree on anything: for each endpoint a few entries, the first in its rendezvous
 * order, share what it bears, and the others send it nothing while it is cold.
 *
 * An entry that hears nothing of endpoints does not know which have turned cold.
 * It sends to each no more than a cold one bears besides what the senders send.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { createSenderRank, listSendersFor } from "./sender_rank.ts";
import type { BucketRate } from "./token_buckets.ts";
import { createTokenBuckets } from "./token_buckets.ts";

/** Options of {@linkcode createColdAllowance}. */
export interface ColdAllowanceOptions {
  clock: Clock;
  /** The name of this entry. */
  entry: string;
  /**
   * All entries that may be sending, with this one, also silent ones: taken for
   * gone, those behind a cut would be replaced by others and send on. Undefined
   * while this entry has not heard of the others.
   */
  listEntries: () => readonly string[] | undefined;
  /** Whether an endpoint is cold, or may be. */
  isCold: (endpoint: EndpointInfo) => boolean;
  /** How old the news of endpoints is. */
  readNewsAge: () => Millis;
  /** Requests a second that a cold endpoint of a pool bears; 0: any number. */
  readRate: (pool: string) => number;
}

/** What this entry may send to cold endpoints. */
export interface ColdAllowance {
  /** Whether it may send a request there now. */
  mayBegin(endpoint: EndpointInfo): boolean;
  /** Counts a request that is sent there. */
  begin(endpoint: EndpointInfo): void;
}

/**
 * Entries that send to one cold endpoint: enough for the death of some, and of
 * those that bear little so few that the first requests of all senders together
 * are no burst.
 */
const FEWEST_SENDERS = 3;
const MOST_SENDERS = 6;
/** The rest is left for entries that know other entries than this one does. */
const USED_SHARE = 0.8;
/** One request, and no more saved up: the first of all senders may coincide. */
const FULL_BUCKET = 1;
/**
 * Entries whose news of endpoints is older send to each at most this share of
 * what a cold one bears, which comes on top of what the senders do.
 */
const OLD_NEWS: Millis = 2_000;
const UNHEARD_SHARE = 0.5;
/** Two requests that come together may both go there. */
const UNHEARD_BUCKET = 2;
interface Limit {
  rate: BucketRate;
  /** Whether only some of all entries send there. */
  isShared: boolean;
}

/** Creates the allowance of an entry that has sent nothing. */
export function createColdAllowance(
  { clock, entry, listEntries, isCold, readNewsAge, readRate }:
    ColdAllowanceOptions,
): ColdAllowance {
  const buckets = createTokenBuckets({ clock, start: "full" });
  const findRank = createSenderRank({
    clock,
    entry,
    listSenders: (endpoint) => {
      const entries = listEntries();
      return entries && listSendersFor(entries, endpoint);
    },
  });

  function countSenders({ pool }: EndpointInfo): number {
    const whole = Math.floor(readRate(pool));
    return Math.min(MOST_SENDERS, Math.max(FEWEST_SENDERS, whole));
  }

  /** Undefined where nothing limits what is sent. */
  function chooseLimit(endpoint: EndpointInfo): Limit | undefined {
    const rate = readRate(endpoint.pool);
    if (rate === 0) return undefined;
    if (isCold(endpoint)) {
      const perSecond = USED_SHARE * rate / countSenders(endpoint);
      return { rate: { perSecond, size: FULL_BUCKET }, isShared: true };
    }
    if (readNewsAge() <= OLD_NEWS) return undefined;
    const perSecond = UNHEARD_SHARE * rate;
    return { rate: { perSecond, size: UNHEARD_BUCKET }, isShared: false };
  }

  return {
    mayBegin(endpoint) {
      const limit = chooseLimit(endpoint);
      if (limit === undefined) return true;
      const isSender = !limit.isShared ||
        findRank(endpoint) < countSenders(endpoint);
      const tokens = buckets.read(formatEndpointKey(endpoint), limit.rate);
      return isSender && tokens >= FULL_BUCKET;
    },
    begin(endpoint) {
      const limit = chooseLimit(endpoint);
      if (limit === undefined) return;
      buckets.take(formatEndpointKey(endpoint), limit.rate);
    },
  };
}
