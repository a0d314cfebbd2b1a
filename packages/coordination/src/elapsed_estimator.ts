/**
 * Estimates how long ago a caller made its first attempt, from the time budget
 * that it has left.
 *
 * A caller that was told to retry later has less time left than one that sends
 * its first attempt, and its objective counts from that first attempt. Treated
 * as new, a retry would be served before requests that can still be on time,
 * and be late all the same.
 *
 * Callers of a route also differ in how long they wait at all. A request counts
 * as a retry only if its budget is among the smallest, as many as first attempts
 * have failed: otherwise callers who wait less long would be late from the
 * start.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Learns the time budgets that callers of a route have for first attempts. */
export interface ElapsedEstimator {
  /**
   * Records an attempt, and returns how long ago its caller made the first one.
   */
  read(route: string, budget: Millis): Millis;
  /**
   * Records that a first attempt has failed, after which its caller may retry.
   */
  recordFailed(route: string): void;
}

/** Attempts and failures are forgotten after this time. */
const MEMORY_PERIOD: Millis = 45_000;
/** The newest attempts of a route that are compared. */
const MAX_ATTEMPTS = 128;

interface RouteMemory {
  /** In the order of their arrival. */
  attempts: { at: Millis; budget: Millis }[];
  failures: Millis[];
}

/** Creates an estimator that has seen no request. */
export function createElapsedEstimator(clock: Clock): ElapsedEstimator {
  const routes = new Map<string, RouteMemory>();

  function find(route: string): RouteMemory {
    const memory = routes.get(route) ?? { attempts: [], failures: [] };
    routes.set(route, memory);
    const since = clock.now() - MEMORY_PERIOD;
    dropFirst(memory.attempts, ({ at }) => at < since);
    // The same span for both, or the share of failures would be wrong.
    const first = memory.attempts[0]?.at ?? Infinity;
    dropFirst(memory.failures, (at) => at < first);
    return memory;
  }

  function read(route: string, budget: Millis): Millis {
    const { attempts, failures } = find(route);
    attempts.push({ at: clock.now(), budget });
    if (attempts.length > MAX_ATTEMPTS) attempts.shift();
    const budgets = attempts.map((attempt) => attempt.budget)
      .sort((a, b) => a - b);
    const retries = Math.min(failures.length, budgets.length - 1);
    const smallest = budgets[retries] ?? budget;
    return Math.max(0, smallest - budget);
  }

  return {
    read,
    recordFailed: (route) => void find(route).failures.push(clock.now()),
  };
}

function dropFirst<T>(list: T[], isPast: (item: T) => boolean): void {
  const kept = list.findIndex((item) => !isPast(item));
  list.splice(0, kept < 0 ? list.length : kept);
}
