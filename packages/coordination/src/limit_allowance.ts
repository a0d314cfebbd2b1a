/**
 * How many requests an entry may send to an endpoint that names a limit.
 *
 * The load it answers: an endpoint in need bears a request a second, and hundreds
 * of entries have been told so. What each sends must add up to the limit although
 * they agree on nothing: for each endpoint a few entries share it, the first in
 * an order that all compute alike, and the others send it nothing. Divided among
 * all, no entry would have enough of it for a single request.
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

/** The share of a limit that falls to the entry of a rank. */
export type ComputeLimitShare = (rank: number, rateLimit: number) => number;

/** Options of {@linkcode createLimitAllowance}. */
export interface LimitAllowanceOptions {
  clock: Clock;
  limits: Pick<EndpointLimits, "find" | "isEmpty">;
  findRank: FindSenderRank;
  /** How the entries that send to an endpoint share its limit. */
  chooseShares: (endpoint: EndpointInfo) => ComputeLimitShare;
}

/** What this entry may send to endpoints that name limits. */
export interface LimitAllowance {
  /** Time until one may be sent: 0 for now, `Infinity` for none from here. */
  readWait(endpoint: EndpointInfo): Millis;
  /** Counts a request that is sent there. */
  begin(endpoint: EndpointInfo): void;
}

/** The rest is left for entries that know other entries than this one does. */
const USED_SHARE = 0.8;
/** Enough for the death of some. */
const FEWEST_SENDERS = 3;
/** Each may have one request saved up, so together no more than a small burst. */
const MOST_SENDERS = 8;
/** The feeder of a partition, and those that stand in for it. */
const FEEDER_SHARES = [0.6, 0.1, 0.1];
/** An endpoint that takes nothing is asked at times whether it still does. */
const LEAST_LIMIT = 0.1;
/** Requests that may be saved up, in time at the own rate. */
const SAVED_TIME: Millis = 500;
const MILLIS_PER_SECOND = 1_000;

/** Requests reach all entries alike, so senders share alike. */
export const computeRequestShare: ComputeLimitShare = (rank, rateLimit) => {
  const senders = Math.min(
    MOST_SENDERS,
    FEWEST_SENDERS + Math.floor(rateLimit),
  );
  return rank < senders ? USED_SHARE / senders : 0;
};

/** Pieces gather at one feeder; the next ones send only in its place. */
export const computeFeederShare: ComputeLimitShare = (rank) =>
  FEEDER_SHARES[rank] ?? 0;

/** Creates the allowance of an entry that has sent nothing. */
export function createLimitAllowance(
  { clock, limits, findRank, chooseShares }: LimitAllowanceOptions,
): LimitAllowance {
  // Whoever has been told has just sent the request of which it was told.
  const buckets = createTokenBuckets({ clock, start: "empty" });

  /** Undefined where nothing limits what is sent. */
  function findRate(endpoint: EndpointInfo): BucketRate | undefined {
    if (limits.isEmpty()) return undefined;
    const rateLimit = limits.find(formatEndpointKey(endpoint));
    if (rateLimit === undefined) return undefined;
    const share = chooseShares(endpoint)(findRank(endpoint), rateLimit);
    const perSecond = share * Math.max(LEAST_LIMIT, rateLimit);
    const saved = perSecond * SAVED_TIME / MILLIS_PER_SECOND;
    return { perSecond, size: Math.max(1, saved) };
  }

  function readWait(endpoint: EndpointInfo): Millis {
    const rate = findRate(endpoint);
    if (rate === undefined) return 0;
    if (rate.perSecond === 0) return Infinity;
    const lacking = 1 - buckets.read(formatEndpointKey(endpoint), rate);
    return Math.max(0, lacking * MILLIS_PER_SECOND / rate.perSecond);
  }

  return {
    readWait,
    begin(endpoint) {
      const rate = findRate(endpoint);
      if (rate !== undefined) buckets.take(formatEndpointKey(endpoint), rate);
    },
  };
}
