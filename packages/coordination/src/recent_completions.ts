/**
 * Remembers for a while which traits requests had that completed. A trait that
 * crashes every endpoint never completes.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** The traits of requests that completed at one entry. */
export interface RecentCompletions {
  record(traits: readonly string[]): void;
  /** Lists those of the traits that have completed within this time. */
  listCompleted(traits: readonly string[], within: Millis): string[];
}

/** Some 100 bytes each; evicts those that have completed least recently. */
const MAX_TRAITS = 8_192;

/** Creates an empty record. */
export function createRecentCompletions(clock: Clock): RecentCompletions {
  const completedAt = new Map<string, Millis>();

  return {
    record(traits) {
      for (const trait of traits) {
        completedAt.delete(trait);
        completedAt.set(trait, clock.now());
      }
      if (completedAt.size <= MAX_TRAITS) return;
      for (const [oldest] of completedAt) {
        completedAt.delete(oldest);
        if (completedAt.size <= MAX_TRAITS) return;
      }
    },
    listCompleted: (traits, within) =>
      traits.filter((trait) =>
        clock.now() - (completedAt.get(trait) ?? -Infinity) < within
      ),
  };
}
