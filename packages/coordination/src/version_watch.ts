/**
 * Whether the platform's store has gone back behind the configuration that is in
 * force elsewhere.
 *
 * The load it answers: the store comes back from an older copy of itself, and an
 * entry starts before the operator has written the newest configuration again.
 * It reads one that others have replaced, and would open requests to keys that
 * were taken away; its peers tell the version that they have.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** What peers have in force, beside what the store says. */
export interface VersionWatch {
  /** Notes the newest version that a live peer has. */
  note(version: number): void;
  /** The newest version that a live peer has; 0 if there is none. */
  readNewest(): number;
  /**
   * Whether the store, asked `age` ago, did not know what a peer had told before:
   * what a peer has in force it has read there.
   */
  isBehind(version: number, age: Millis): boolean;
}

/** Creates the watch of an entry that has heard of no peer. */
export function createVersionWatch(clock: Clock): VersionWatch {
  let newest = 0;
  let toldAt: Millis = clock.now();

  return {
    note(version) {
      if (version === newest) return;
      newest = version;
      toldAt = clock.now();
    },
    readNewest: () => newest,
    isBehind: (version, age) => version < newest && clock.now() - age > toldAt,
  };
}
