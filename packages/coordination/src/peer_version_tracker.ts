/**
 * Detects that peers have a newer configuration in force than this entry.
 *
 * The configuration feed of an entry may fail without its notice. Or the
 * platform's store is restored from an older copy, and an entry starts before
 * the operator has written the newest configuration again. Such an entry would
 * accept revoked keys. Its peers therefore publish the version that they have.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Tracks the configuration versions of peers, independent of the store. */
export interface PeerVersionTracker {
  /** Records the newest version that a live peer has. */
  record(version: number): void;
  /** Returns the newest version that a live peer has; 0 if there is none. */
  readNewest(): number;
  /**
   * Whether a peer reported a newer version more than the catch-up time ago, or
   * before this entry last read the store, `age` ago. The store must have had
   * that version by then, as the peer read it there.
   */
  isBehind(version: number, age: Millis): boolean;
}

interface NewerVersion {
  version: number;
  seenAt: Millis;
}

/** Within this time a version of the peers normally reaches this entry too. */
const CATCH_UP_TIME: Millis = 1_000;
/** Reached only in a storm of changes; the oldest versions are decisive. */
const MAX_NEWER = 100;

/** Creates the tracker of an entry without peers. */
export function createPeerVersionTracker(clock: Clock): PeerVersionTracker {
  /** Reported versions newer than this entry's, oldest first. */
  let newer: NewerVersion[] = [];
  let newest = 0;

  function record(version: number): void {
    if (version === newest) return;
    newest = version;
    // No live peer has a version above this one any more.
    newer = newer.filter((one) => one.version < version);
    if (newer.length < MAX_NEWER) newer.push({ version, seenAt: clock.now() });
  }

  function isBehind(version: number, age: Millis): boolean {
    newer = newer.filter((one) => one.version > version);
    const [first] = newer;
    if (first === undefined) return false;
    const now = clock.now();
    return now - first.seenAt > CATCH_UP_TIME ||
      now - age > first.seenAt;
  }

  return { record, readNewest: () => newest, isBehind };
}
