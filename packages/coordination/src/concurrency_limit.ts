/**
 * How many requests one entry keeps at one endpoint at a time: additive
 * increase, multiplicative decrease on the ratio of measured to unloaded time.
 *
 * Work that waits here can still be put in order of priority and dropped when
 * hopeless; work that waits at the endpoint cannot.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** An adaptive limit. */
export interface ConcurrencyLimit {
  readonly value: number;
  /** Adds a measurement taken while `inFlight` requests were at the endpoint. */
  record(ratio: number, inFlight: number): void;
  /** Notes a timeout or an answer that the endpoint is overloaded. */
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
/** From this ratio on it queues as long as it works, and the limit shrinks. */
const SHRINK_ABOVE = 2.5;
const SHRINK_FACTOR = 0.85;
const OVERLOAD_FACTOR = 0.6;
/** One decrease for one congestion, whose measurements arrive in a bunch. */
const SHRINK_INTERVAL: Millis = 100;

/** Creates a limit. */
export function createConcurrencyLimit(
  { clock, start, max }: ConcurrencyLimitOptions,
): ConcurrencyLimit {
  let value = start;
  let lastShrink = -Infinity;

  function shrink(factor: number): void {
    const now = clock.now();
    if (now - lastShrink < SHRINK_INTERVAL) return;
    lastShrink = now;
    value = Math.max(MIN_LIMIT, value * factor);
  }

  return {
    get value() {
      return Math.floor(value);
    },
    record(ratio, inFlight) {
      if (ratio > SHRINK_ABOVE) return shrink(SHRINK_FACTOR);
      // A limit that was not reached has not been tested.
      const isTested = inFlight >= Math.floor(value);
      if (ratio > GROW_BELOW || !isTested) return;
      value = Math.min(max, value + 1 / value);
    },
    recordOverload: () => shrink(OVERLOAD_FACTOR),
  };
}
