/**
 * Tracks how old the data of a process is, which decides whether the process
 * may still act on it.
 *
 * A process that is stopped or suspended resumes with stale data and does not
 * notice: its monotonic clock may not have counted the pause, and the wall
 * clock may have been set back. The age is therefore the larger one of both
 * clocks.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createDataAge}. */
export interface DataAgeOptions {
  clock: Clock;
  /**
   * Returns the wall clock time, which advances while a process is suspended.
   */
  readWallTime: () => Millis;
}

/** A point in time on both clocks. */
export interface DataTimestamp {
  monotonic: Millis;
  wall: Millis;
}

/** The age of the data from one source. */
export interface DataAge {
  /**
   * Returns the current time on both clocks; to be called before the source is
   * queried.
   */
  readTime(): DataTimestamp;
  /** Records that the source confirmed the data as of `queriedAt`. */
  recordConfirmed(queriedAt: DataTimestamp): void;
  /** Returns the age of the data; infinity before the first confirmation. */
  read(): Millis;
}

/** Creates the age of data that was never confirmed. */
export function createDataAge(
  { clock, readWallTime }: DataAgeOptions,
): DataAge {
  let confirmed: DataTimestamp | undefined;

  function readTime(): DataTimestamp {
    return { monotonic: clock.now(), wall: readWallTime() };
  }

  function recordConfirmed(queriedAt: DataTimestamp): void {
    const isNewer = confirmed === undefined ||
      queriedAt.monotonic >= confirmed.monotonic;
    if (isNewer) confirmed = queriedAt;
  }

  function read(): Millis {
    if (confirmed === undefined) return Infinity;
    const now = readTime();
    return Math.max(
      now.monotonic - confirmed.monotonic,
      now.wall - confirmed.wall,
    );
  }

  return { readTime, recordConfirmed, read };
}
