/**
 * How long ago a caller began, from the time that it still waits.
 *
 * A caller that was told to come back has less time left than one that asks for
 * the first time, and its objective counts from its first try. Taken for new it
 * would go before requests that can still be on time, and be late all the same.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Learns the time that callers of a route give a request at first. */
export interface CallerElapsed {
  /** How long ago the caller began that still waits for `budget`. */
  read(route: string, budget: Millis): Millis;
}

/** The longest time is forgotten after one to two of these. */
const MEMORY_TIME: Millis = 30_000;

interface RouteMemory {
  since: Millis;
  longest: Millis;
  longestBefore: Millis;
}

/** Creates the memory of an entry that has seen no request. */
export function createCallerElapsed(clock: Clock): CallerElapsed {
  const routes = new Map<string, RouteMemory>();

  function find(route: string): RouteMemory {
    const now = clock.now();
    const known = routes.get(route);
    if (known !== undefined && now - known.since < MEMORY_TIME) return known;
    const longestBefore = known?.longest ?? 0;
    const next = { since: now, longest: 0, longestBefore };
    routes.set(route, next);
    return next;
  }

  function read(route: string, budget: Millis): Millis {
    const memory = find(route);
    memory.longest = Math.max(memory.longest, budget);
    return Math.max(memory.longest, memory.longestBefore) - budget;
  }

  return { read };
}
