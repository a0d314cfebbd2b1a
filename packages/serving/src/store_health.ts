/**
 * Tracks whether the store answers this entry, and when to probe it again.
 *
 * If the store does not serve an entry that reads for others, each read would
 * wait for the store first and its data would go stale meanwhile. The entry
 * reads from its peers instead and probes the store in the background.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Tracks the reachability of the store. */
export interface StoreHealth {
  /** Whether the last call failed or took too long. */
  isUnreachable(): boolean;
  recordSuccess(): void;
  recordFailure(): void;
  /** Returns whether to probe the store now; true once in each interval. */
  reserveProbe(): boolean;
}

/**
 * Jittered, so that entries that lost the store together do not retry together.
 */
const PROBE_INTERVAL: Millis = 1_000;

/** Creates the tracker of an entry that has not called the store yet. */
export function createStoreHealth(
  clock: Clock,
  random: () => number,
): StoreHealth {
  let isUnreachable = false;
  let nextProbeAt: Millis = -Infinity;

  function scheduleProbe(): void {
    nextProbeAt = clock.now() + PROBE_INTERVAL * (0.5 + random());
  }

  return {
    isUnreachable: () => isUnreachable,
    recordSuccess() {
      isUnreachable = false;
    },
    recordFailure() {
      if (!isUnreachable) scheduleProbe();
      isUnreachable = true;
    },
    reserveProbe() {
      if (!isUnreachable || clock.now() < nextProbeAt) return false;
      scheduleProbe();
      return true;
    },
  };
}
