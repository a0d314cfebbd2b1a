/**
 * Estimates service time by input size from measurements.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** Learns the service time of work by size. */
export interface LatencyModel {
  /** Adds a measurement; returns its ratio to the unloaded time. */
  record(size: number, latency: Millis): number;
  /** Service time of work of `size` without queueing. */
  estimateUnloaded(size: number): Millis;
  /** Mean time under the present load. */
  estimateTypical(size: number): Millis;
  /**
   * Time that about one request in twenty exceeds under the present load (95th
   * percentile).
   */
  estimateSlow(size: number): Millis;
}

/** Sizes are bucketed by powers of two, up to 2^23. */
const BUCKETS = 24;
const DEFAULT_TIME: Millis = 20;
/**
 * Smoothing weights of the unloaded time: it follows faster measurements
 * quickly and slower ones slowly, and so tracks a low quantile.
 */
const FALL_WEIGHT = 0.2;
const RISE_WEIGHT = 0.01;
const TYPICAL_WEIGHT = 0.05;
/**
 * Steps of the estimate of the slow ratio, which balance at the 95th
 * percentile.
 */
const SLOW_RISE = 0.19;
const SLOW_FALL = 0.01;
const MAX_RATIO = 20;
const INITIAL_SLOW_RATIO = 2;

/** Creates a model without measurements. */
export function createLatencyModel(): LatencyModel {
  const unloaded: number[] = new Array(BUCKETS).fill(0);
  let typicalRatio = 1;
  let slowRatio = INITIAL_SLOW_RATIO;

  function estimateUnloaded(size: number): Millis {
    const bucket = computeBucket(size);
    const own = unloaded[bucket]!;
    if (own > 0) return own;
    return findNearest(unloaded, bucket) ?? DEFAULT_TIME;
  }

  function record(size: number, latency: Millis): number {
    const bucket = computeBucket(size);
    const known = unloaded[bucket]!;
    if (known === 0) {
      unloaded[bucket] = latency;
      return 1;
    }
    const ratio = Math.min(MAX_RATIO, latency / known);
    const weight = latency < known ? FALL_WEIGHT : RISE_WEIGHT;
    unloaded[bucket] = known + weight * (latency - known);
    typicalRatio += TYPICAL_WEIGHT * (ratio - typicalRatio);
    slowRatio += ratio > slowRatio ? SLOW_RISE : -SLOW_FALL;
    slowRatio = Math.max(typicalRatio, slowRatio);
    return ratio;
  }

  return {
    record,
    estimateUnloaded,
    estimateTypical: (size) => estimateUnloaded(size) * typicalRatio,
    estimateSlow: (size) => estimateUnloaded(size) * slowRatio,
  };
}

function computeBucket(size: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(Math.max(1, size))));
}

/**
 * For a size without measurements, returns the time of the nearest bucket that
 * has some.
 */
function findNearest(times: number[], bucket: number): number | undefined {
  for (let distance = 1; distance < BUCKETS; distance++) {
    const below = times[bucket - distance];
    if (below) return below;
    const above = times[bucket + distance];
    if (above) return above;
  }
  return undefined;
}
