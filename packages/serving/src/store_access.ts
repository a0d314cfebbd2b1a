/**
 * Whether the store answers this entry, and when to try it again.
 *
 * The load it answers: the store turns away an entry that reads for others. Each
 * reading would wait for the store first and grow old meanwhile, so the entry
 * asks its peers instead and tries the store beside them.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** What is known of the way to the store. */
export interface StoreAccess {
  /** Whether the last call failed or took too long. */
  isLost(): boolean;
  noteAnswered(): void;
  noteLost(): void;
  /** Whether to try the store now; true once for each interval. */
  takeProbe(): boolean;
}

/** Entries that were turned away together try again apart from each other. */
const PROBE_INTERVAL: Millis = 1_000;

/** Creates the access of an entry that has not called the store yet. */
export function createStoreAccess(
  clock: Clock,
  random: () => number,
): StoreAccess {
  let isLost = false;
  let probeAt: Millis = -Infinity;

  function spreadProbe(): void {
    probeAt = clock.now() + PROBE_INTERVAL * (0.5 + random());
  }

  return {
    isLost: () => isLost,
    noteAnswered() {
      isLost = false;
    },
    noteLost() {
      if (!isLost) spreadProbe();
      isLost = true;
    },
    takeProbe() {
      if (!isLost || clock.now() < probeAt) return false;
      spreadProbe();
      return true;
    },
  };
}
