/**
 * Token buckets by key, with a rate that may change from call to call.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** The refill rate and capacity of a bucket. */
export interface BucketRate {
  perSecond: number;
  /** Maximum number of tokens. */
  size: number;
}

/** A set of token buckets. */
export interface TokenBuckets {
  /** Returns the available tokens. */
  read(key: string, rate: BucketRate): number;
  /** Consumes one token; the balance may become negative. */
  take(key: string, rate: BucketRate): void;
}

/** Options of {@linkcode createTokenBuckets}. */
export interface TokenBucketsOptions {
  clock: Clock;
  /** The initial fill level of a bucket. */
  start: "full" | "empty";
}

interface Bucket {
  tokens: number;
  filledAt: Millis;
}

/** Maximum number of buckets; evicts the oldest. */
const MAX_BUCKETS = 1_024;
const MILLIS_PER_SECOND = 1_000;

/** Creates an empty set of buckets. */
export function createTokenBuckets(
  { clock, start }: TokenBucketsOptions,
): TokenBuckets {
  const buckets = new Map<string, Bucket>();

  function refresh(key: string, { perSecond, size }: BucketRate): Bucket {
    const now = clock.now();
    const bucket = buckets.get(key) ?? addBucket(key, {
      tokens: start === "full" ? size : 0,
      filledAt: now,
    });
    const gained = perSecond * (now - bucket.filledAt) / MILLIS_PER_SECOND;
    bucket.tokens = Math.min(size, bucket.tokens + gained);
    bucket.filledAt = now;
    return bucket;
  }

  function addBucket(key: string, bucket: Bucket): Bucket {
    putBounded(buckets, [key, bucket], MAX_BUCKETS);
    return bucket;
  }

  return {
    read: (key, rate) => refresh(key, rate).tokens,
    take(key, rate) {
      refresh(key, rate).tokens--;
    },
  };
}
