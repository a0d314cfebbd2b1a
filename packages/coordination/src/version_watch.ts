/**
 * Whether another configuration than this entry's is in force elsewhere.
 *
 * The load it answers: the way on which an entry hears of configurations fails
 * without its notice, or the platform's store comes back from an older copy of
 * itself and an entry starts before the operator has written the newest
 * configuration again. It would open requests to keys that were taken away; its
 * peers tell the version that they have.
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
   * Whether a peer has told of a newer version some time ago, or before the
   * store was asked, which is `age` ago: what a peer has it has read there.
   */
  isBehind(version: number, age: Millis): boolean;
}

interface ToldVersion {
  version: number;
  toldAt: Millis;
}

/** A version that peers have comes here by itself within this. */
const CATCH_UP_TIME: Millis = 1_000;
/** More versions are only told in a storm of changes; the oldest decide. */
const MAX_TOLD = 100;

/** Creates the watch of an entry that has heard of no peer. */
export function createVersionWatch(clock: Clock): VersionWatch {
  /** Versions newer than this entry's, the oldest first. */
  let told: ToldVersion[] = [];
  let newest = 0;

  function note(version: number): void {
    if (version === newest) return;
    newest = version;
    // Those above it no live peer has any more.
    told = told.filter((one) => one.version < version);
    if (told.length < MAX_TOLD) told.push({ version, toldAt: clock.now() });
  }

  function isBehind(version: number, age: Millis): boolean {
    told = told.filter((one) => one.version > version);
    const [first] = told;
    if (first === undefined) return false;
    const now = clock.now();
    return now - first.toldAt > CATCH_UP_TIME || now - age > first.toldAt;
  }

  return { note, readNewest: () => newest, isBehind };
}
