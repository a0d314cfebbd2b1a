/**
 * Token buckets by key, whose rate may change from one look to the next.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** How a bucket fills. */
export interface BucketRate {
  perSecond: number;
  /** Tokens that are saved up at most. */
  size: number;
}

/** The buckets of one kind. */
export interface TokenBuckets {
  /** The tokens that are there now. */
  read(key: string, rate: BucketRate): number;
  take(key: string, rate: BucketRate): void;
}

/** Options of {@linkcode createTokenBuckets}. */
export interface TokenBucketsOptions {
  clock: Clock;
  /** What a bucket holds when it is first looked at. */
  start: "full" | "empty";
}

interface Bucket {
  tokens: number;
  filledAt: Millis;
}

/** The oldest bucket is dropped above this many. */
const MAX_BUCKETS = 1_024;
const MILLIS_PER_SECOND = 1_000;

/** Creates the buckets of no key yet. */
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
