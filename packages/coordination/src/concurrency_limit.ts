/**
 * Limits how many requests one entry keeps in flight at one endpoint: additive
 * increase, multiplicative decrease (AIMD) on the ratio of measured to unloaded
 * latency.
 *
 * Requests that wait in the entry can still be ordered by priority, and dropped
 * when they cannot meet their deadline; requests that wait at the endpoint
 * cannot.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** An adaptive concurrency limit. */
export interface ConcurrencyLimit {
  readonly value: number;
  /**
   * Adds a latency ratio measured while `inFlight` requests were at the
   * endpoint.
   */
  record(ratio: number, inFlight: number): void;
  /** Records a timeout, or an answer saying that the endpoint is overloaded. */
  recordOverload(): void;
}

/** Options of {@linkcode createConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  clock: Clock;
  start: number;
  max: number;
}

const MIN_LIMIT = 1;
/** Up to this ratio the endpoint hardly queues, and the limit may grow. */
const GROW_BELOW = 1.6;
/**
 * Above this ratio requests queue about as long as they are served, and the
 * limit shrinks.
 */
const SHRINK_ABOVE = 2.5;
const SHRINK_FACTOR = 0.85;
const OVERLOAD_FACTOR = 0.6;
/**
 * One congestion event lowers the limit once, although its measurements arrive
 * in a burst.
 */
const SHRINK_INTERVAL: Millis = 100;

/** Creates a limit that starts at `start`. */
export function createConcurrencyLimit(
  { clock, start, max }: ConcurrencyLimitOptions,
): ConcurrencyLimit {
  let value = start;
  let lastShrunkAt = -Infinity;

  function shrink(factor: number): void {
    const now = clock.now();
    if (now - lastShrunkAt < SHRINK_INTERVAL) return;
    lastShrunkAt = now;
    value = Math.max(MIN_LIMIT, value * factor);
  }

  return {
    get value() {
      return Math.floor(value);
    },
    record(ratio, inFlight) {
      if (ratio > SHRINK_ABOVE) return shrink(SHRINK_FACTOR);
      // A limit that was not reached was not tested.
      const isTested = inFlight >= Math.floor(value);
      if (ratio > GROW_BELOW || !isTested) return;
      value = Math.min(max, value + 1 / value);
    },
    recordOverload: () => shrink(OVERLOAD_FACTOR),
  };
}
