/**
 * Limits how many requests an entry may send to an endpoint that announces a
 * rate limit.
 *
 * An overloaded endpoint may take a single request per second and announce that
 * to hundreds of entries. What they send must add up to the limit without
 * coordination: for each endpoint, the first few entries in an order that all
 * of them compute alike share the limit, and the others send nothing. Divided
 * among all entries, no share would suffice for a single request.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { FindSenderRank } from "./sender_rank.ts";
import type { BucketRate } from "./token_buckets.ts";
import { createTokenBuckets } from "./token_buckets.ts";

/** Computes the share of a rate limit that the entry with a rank may use. */
export type ComputeLimitShare = (rank: number, rateLimit: number) => number;

/** Options of {@linkcode createLimitAllowance}. */
export interface LimitAllowanceOptions {
  clock: Clock;
  limits: Pick<EndpointLimits, "find" | "isEmpty">;
  findRank: FindSenderRank;
  /** Selects how the entries that send to an endpoint share its limit. */
  chooseShares: (endpoint: EndpointInfo) => ComputeLimitShare;
}

/** The requests that this entry may send to endpoints that announce limits. */
export interface LimitAllowance {
  /**
   * Time until a request may be sent: 0 for now, `Infinity` if this entry may
   * not send.
   */
  readWait(endpoint: EndpointInfo): Millis;
  /** Counts a request sent to the endpoint. */
  recordSend(endpoint: EndpointInfo): void;
}

/**
 * The rest is a reserve for entries whose membership view differs from this
 * one's.
 */
const USED_SHARE = 0.8;
/** Enough senders to tolerate the death of some. */
const MIN_SENDERS = 3;
/**
 * Each sender may have one request saved up, so this bounds their common burst.
 */
const MAX_SENDERS = 8;
/** Shares of the dispatcher of a partition and of its stand-ins. */
const DISPATCHER_SHARES = [0.6, 0.1, 0.1];
/**
 * Lower limits are raised to this rate: an endpoint that takes nothing is
 * probed at times.
 */
const MIN_LIMIT = 0.1;
/** Burst allowance, as the time over which tokens accumulate. */
const BURST_TIME: Millis = 500;
const MILLIS_PER_SECOND = 1_000;

/**
 * Requests are spread evenly over all entries, so senders have equal shares.
 */
export const computeRequestShare: ComputeLimitShare = (rank, rateLimit) => {
  const senders = Math.min(
    MAX_SENDERS,
    MIN_SENDERS + Math.floor(rateLimit),
  );
  return rank < senders ? USED_SHARE / senders : 0;
};

/**
 * One dispatcher sends all calls of a partition; the next entries send only in
 * its place.
 */
export const computeDispatcherShare: ComputeLimitShare = (rank) =>
  DISPATCHER_SHARES[rank] ?? 0;

/** Creates the allowance of an entry that has sent nothing. */
export function createLimitAllowance(
  { clock, limits, findRank, chooseShares }: LimitAllowanceOptions,
): LimitAllowance {
  // Starts empty: an entry learns of a limit from the answer to a request that
  // it has just sent.
  const buckets = createTokenBuckets({ clock, start: "empty" });

  /** Returns undefined if nothing limits what is sent. */
  function findRate(endpoint: EndpointInfo): BucketRate | undefined {
    if (limits.isEmpty()) return undefined;
    const rateLimit = limits.find(formatEndpointKey(endpoint));
    if (rateLimit === undefined) return undefined;
    const share = chooseShares(endpoint)(findRank(endpoint), rateLimit);
    const perSecond = share * Math.max(MIN_LIMIT, rateLimit);
    const burst = perSecond * BURST_TIME / MILLIS_PER_SECOND;
    return { perSecond, size: Math.max(1, burst) };
  }

  function readWait(endpoint: EndpointInfo): Millis {
    const rate = findRate(endpoint);
    if (rate === undefined) return 0;
    if (rate.perSecond === 0) return Infinity;
    const missing = 1 - buckets.read(formatEndpointKey(endpoint), rate);
    return Math.max(0, missing * MILLIS_PER_SECOND / rate.perSecond);
  }

  return {
    readWait,
    recordSend(endpoint) {
      const rate = findRate(endpoint);
      if (rate !== undefined) buckets.take(formatEndpointKey(endpoint), rate);
    },
  };
}
