/**
 * Counts events by their source and limits how many of them are logged.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** Counts events and decides which are logged. */
export interface LineLimiter<S extends string> {
  /** Counts an event; returns its number if it may be logged. */
  record(source: S): number | undefined;
  /** Events so far by source. */
  readonly counts: ReadonlyMap<S, number>;
}

/** A line with its stack takes about 50 microseconds. */
const MAX_LINES_PER_WINDOW = 10;
const WINDOW: Millis = 1_000;

/** Creates a limiter that has counted nothing. */
export function createLineLimiter<S extends string>(
  clock: Clock,
): LineLimiter<S> {
  const counts = new Map<S, number>();
  let windowStart = clock.now();
  let lines = 0;

  return {
    counts,
    record(source) {
      const count = (counts.get(source) ?? 0) + 1;
      counts.set(source, count);
      const now = clock.now();
      if (now - windowStart >= WINDOW) {
        windowStart = now;
        lines = 0;
      }
      return ++lines > MAX_LINES_PER_WINDOW ? undefined : count;
    },
  };
}
