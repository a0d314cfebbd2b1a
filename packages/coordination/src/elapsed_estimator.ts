/**
 * Estimates how long ago a caller made its first attempt, from the time budget
 * that it has left.
 *
 * A caller that was told to retry later has less time left than one that sends
 * its first attempt, and its objective counts from that first attempt. Treated
 * as new, a retry would be served before requests that can still be on time,
 * and be late all the same.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Learns the time budget that callers of a route have for a first attempt. */
export interface ElapsedEstimator {
  /**
   * Returns how long ago a caller with `budget` left made its first attempt.
   */
  read(route: string, budget: Millis): Millis;
}

/** The longest budget is forgotten after one to two of these periods. */
const MEMORY_PERIOD: Millis = 30_000;

interface RouteMemory {
  since: Millis;
  longest: Millis;
  previousLongest: Millis;
}

/** Creates an estimator that has seen no request. */
export function createElapsedEstimator(clock: Clock): ElapsedEstimator {
  const routes = new Map<string, RouteMemory>();

  function find(route: string): RouteMemory {
    const now = clock.now();
    const known = routes.get(route);
    if (known !== undefined && now - known.since < MEMORY_PERIOD) return known;
    const previousLongest = known?.longest ?? 0;
    const next = { since: now, longest: 0, previousLongest };
    routes.set(route, next);
    return next;
  }

  function read(route: string, budget: Millis): Millis {
    const memory = find(route);
    memory.longest = Math.max(memory.longest, budget);
    return Math.max(memory.longest, memory.previousLongest) - budget;
  }

  return { read };
}
