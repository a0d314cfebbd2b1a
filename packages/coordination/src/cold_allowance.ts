/**
 * Limits how many requests an entry may send to a cold endpoint, one that has
 * just started and is not warmed up.
 *
 * Cold endpoints appear when endpoints start, or when a whole place recovers
 * during a burst. A cold endpoint can take a few requests per second and
 * crashes far above that rate, whichever of hundreds of entries they come from.
 * The sum over all entries must stay within that rate without coordination: for
 * each endpoint, the first few entries in its rendezvous order share the rate,
 * and the others send nothing to it while it is cold.
 *
 * An entry that receives no endpoint updates does not know which endpoints have
 * become cold. It sends to each at most what a cold endpoint can take on top of
 * the load from its senders.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { createSenderRank, rankSenders } from "./sender_rank.ts";
import type { BucketRate } from "./token_buckets.ts";
import { createTokenBuckets } from "./token_buckets.ts";

/** Options of {@linkcode createColdAllowance}. */
export interface ColdAllowanceOptions {
  clock: Clock;
  /** The name of this entry. */
  entry: string;
  /**
   * All entries that may be sending, including this one and silent ones:
   * entries behind a network partition would otherwise be replaced as senders,
   * and go on sending. Undefined until this entry has discovered the others.
   */
  listEntries: () => readonly string[] | undefined;
  /** Whether an endpoint is cold, or may be. */
  isCold: (endpoint: EndpointInfo) => boolean;
  /** Returns the age of the endpoint data. */
  readUpdateAge: () => Millis;
  /**
   * Returns the requests per second that a cold endpoint of a pool can take; 0
   * means unlimited.
   */
  readRate: (pool: string) => number;
}

/** The requests that this entry may send to cold endpoints. */
export interface ColdAllowance {
  /** Whether this entry may send a request to the endpoint now. */
  maySend(endpoint: EndpointInfo): boolean;
  /** Counts a request sent to the endpoint. */
  recordSend(endpoint: EndpointInfo): void;
}

/**
 * Number of entries that send to one cold endpoint. It tolerates the death of
 * some. For endpoints that can take little it is small enough that the first
 * requests of all senders together form no burst.
 */
const MIN_SENDERS = 3;
const MAX_SENDERS = 6;
/**
 * The rest is a reserve for entries whose membership view differs from this
 * one's.
 */
const USED_SHARE = 0.8;
/**
 * One request, without saved tokens: the first requests of all senders may
 * coincide.
 */
const BUCKET_SIZE = 1;
/**
 * Entries whose endpoint data is older send to each endpoint at most this share
 * of what a cold one can take, in addition to the load from its senders.
 */
const STALE_AFTER: Millis = 2_000;
const STALE_SHARE = 0.5;
/** Two requests that arrive together may both go to the same endpoint. */
const STALE_BUCKET_SIZE = 2;
interface Limit {
  rate: BucketRate;
  /** Whether only the elected senders may send to the endpoint. */
  isSenderOnly: boolean;
}

/** Creates the allowance of an entry that has sent nothing. */
export function createColdAllowance(
  { clock, entry, listEntries, isCold, readUpdateAge, readRate }:
    ColdAllowanceOptions,
): ColdAllowance {
  const buckets = createTokenBuckets({ clock, start: "full" });
  const findRank = createSenderRank({
    clock,
    entry,
    listSenders: (endpoint) => {
      const entries = listEntries();
      return entries && rankSenders(entries, endpoint);
    },
  });

  function countSenders({ pool }: EndpointInfo): number {
    const wholeRate = Math.floor(readRate(pool));
    return Math.min(MAX_SENDERS, Math.max(MIN_SENDERS, wholeRate));
  }

  /** Returns undefined if nothing limits what is sent. */
  function chooseLimit(endpoint: EndpointInfo): Limit | undefined {
    const rate = readRate(endpoint.pool);
    if (rate === 0) return undefined;
    if (isCold(endpoint)) {
      const perSecond = USED_SHARE * rate / countSenders(endpoint);
      return { rate: { perSecond, size: BUCKET_SIZE }, isSenderOnly: true };
    }
    if (readUpdateAge() <= STALE_AFTER) return undefined;
    const perSecond = STALE_SHARE * rate;
    return {
      rate: { perSecond, size: STALE_BUCKET_SIZE },
      isSenderOnly: false,
    };
  }

  return {
    maySend(endpoint) {
      const limit = chooseLimit(endpoint);
      if (limit === undefined) return true;
      const isSender = !limit.isSenderOnly ||
        findRank(endpoint) < countSenders(endpoint);
      const tokens = buckets.read(formatEndpointKey(endpoint), limit.rate);
      return isSender && tokens >= BUCKET_SIZE;
    },
    recordSend(endpoint) {
      const limit = chooseLimit(endpoint);
      if (limit === undefined) return;
      buckets.take(formatEndpointKey(endpoint), limit.rate);
    },
  };
}
