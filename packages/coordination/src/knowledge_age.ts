/**
 * How old the knowledge of a process is, and whether it may still act on it.
 *
 * A process that is stopped or suspended wakes up with old knowledge and does
 * not notice: its monotonic clock may not have counted the pause, and a wall
 * clock may have been set back. So the age is the larger of what both say.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createKnowledgeAge}. */
export interface KnowledgeAgeOptions {
  clock: Clock;
  /** The time of day; counts on while a process is suspended. */
  readWallTime: () => Millis;
}

/** A point in time by both clocks. */
export interface KnowledgeTime {
  monotonic: Millis;
  wall: Millis;
}

/** The age of what is known from one source. */
export interface KnowledgeAge {
  /** The present by both clocks; to be taken before the source is asked. */
  readTime(): KnowledgeTime;
  /** Notes that the source confirmed what is known, as of `askedAt`. */
  noteConfirmed(askedAt: KnowledgeTime): void;
  /** Infinity before the first confirmation. */
  read(): Millis;
}

/** Creates the age of knowledge that was never confirmed. */
export function createKnowledgeAge(
  { clock, readWallTime }: KnowledgeAgeOptions,
): KnowledgeAge {
  let confirmed: KnowledgeTime | undefined;

  function readTime(): KnowledgeTime {
    return { monotonic: clock.now(), wall: readWallTime() };
  }

  function noteConfirmed(askedAt: KnowledgeTime): void {
    const isNewer = confirmed === undefined ||
      askedAt.monotonic >= confirmed.monotonic;
    if (isNewer) confirmed = askedAt;
  }

  function read(): Millis {
    if (confirmed === undefined) return Infinity;
    const now = readTime();
    return Math.max(
      now.monotonic - confirmed.monotonic,
      now.wall - confirmed.wall,
    );
  }

  return { readTime, noteConfirmed, read };
}
