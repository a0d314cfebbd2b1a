/**
 * Limits how many requests of a class one entry works on concurrently. The
 * limit adapts to whether admitted requests were answered in time. Admission
 * decides which class is reduced after a miss.
 *
 * Without the limit, more of a class would be admitted than higher classes
 * leave room for: requests would pass the first stages and be dropped at the
 * last one, so that almost none would be answered although capacity for many
 * existed. Each such drop lowers what is admitted next.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** How an admitted request ended. */
export type AdmittedEnd =
  /** Answered in time, with this share of the time budget left. */
  | { kind: "in_time"; slack: number }
  /**
   * Admitted, and then answered late or dropped because the deadline could no
   * longer be met.
   */
  | { kind: "missed" }
  /** Ended for a reason unrelated to load. */
  | { kind: "other" };

/** The concurrency limit of one class at one entry. */
export interface ClassLimit {
  readonly value: number;
  readonly inProgress: number;
  hasRoom(): boolean;
  begin(): void;
  /**
   * Records the end of one request; a miss does not lower the limit by itself.
   */
  end(how: AdmittedEnd): void;
  /** Lowers the limit; returns false if it is at its minimum already. */
  shrink(): boolean;
}

/** A limit below 1 admits one request at a time, with pauses in between. */
const MIN_LIMIT = 0.1;
const PAUSE_UNIT: Millis = 500;
/** Initial limit: nothing is refused before the first miss. */
const MAX_LIMIT = 4_096;
const SHRINK_FACTOR = 0.75;
/** Drops arrive in bursts; a burst lowers the limit once. */
const SHRINK_INTERVAL: Millis = 150;
/**
 * With more than this share of the time budget left, a class is far from its
 * limit.
 */
const AMPLE_SLACK = 0.5;
const SOME_SLACK = 0.2;
/**
 * With these growth factors, about one miss in eight requests keeps the limit
 * constant.
 */
const AMPLE_GROWTH = 1.04;
const SOME_GROWTH = 1.01;

/** Creates the limit of a class without history. */
export function createClassLimit(clock: Clock): ClassLimit {
  let value = MAX_LIMIT;
  let inProgress = 0;
  let lastShrunkAt = -Infinity;
  let pausedUntil = -Infinity;

  function shrink(): boolean {
    if (value <= MIN_LIMIT) return false;
    const now = clock.now();
    if (now - lastShrunkAt < SHRINK_INTERVAL) return true;
    lastShrunkAt = now;
    const reached = Math.min(value, inProgress + 1);
    value = Math.max(MIN_LIMIT, reached * SHRINK_FACTOR);
    return true;
  }

  function grow(slack: number): void {
    // A limit that was not reached was not tested.
    if (inProgress + 1 < Math.floor(value)) return;
    if (slack > AMPLE_SLACK) value *= AMPLE_GROWTH;
    else if (slack > SOME_SLACK) value *= SOME_GROWTH;
    value = Math.min(MAX_LIMIT, value);
  }

  return {
    get value() {
      return value;
    },
    get inProgress() {
      return inProgress;
    },
    hasRoom() {
      if (value >= 1) return inProgress < Math.floor(value);
      return inProgress === 0 && clock.now() >= pausedUntil;
    },
    begin() {
      inProgress++;
    },
    shrink,
    end(how) {
      inProgress--;
      if (value < 1) {
        pausedUntil = clock.now() + PAUSE_UNIT * (1 / value - 1);
      }
      if (how.kind === "in_time") grow(how.slack);
    },
  };
}
