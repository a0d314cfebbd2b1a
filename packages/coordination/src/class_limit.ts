/**
 * How many requests of a class one entry works on at a time, learnt from whether
 * those it admitted were answered in time.
 * Which class gives way to a miss is admission's decision.
 *
 * Failure guarded against: more of a class is admitted than is left for it by
 * classes before it. It shows as requests that pass the first stages and are
 * dropped at the last, so that almost none is answered although many could be.
 * The guard holds because each such drop lowers what is admitted next.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** How an admitted request ended. */
export type AdmittedEnd =
  /** Answered in time, with this share of its time left. */
  | { kind: "in_time"; slack: number }
  /** Admitted, and then too late or dropped as hopeless. */
  | { kind: "missed" }
  /** Ended for a reason that says nothing about load. */
  | { kind: "other" };

/** The limit of one class at one entry. */
export interface ClassLimit {
  readonly value: number;
  readonly inProgress: number;
  hasRoom(): boolean;
  begin(): void;
  /** Notes the end of one request; a miss shrinks no limit by itself. */
  end(how: AdmittedEnd): void;
  /** Admits less; false when it cannot give way any further. */
  shrink(): boolean;
}

/** Below 1, one request at a time, with pauses in between. */
const MIN_LIMIT = 0.1;
const PAUSE_UNIT: Millis = 500;
/** Where a class starts: nothing is refused before the first miss. */
const MAX_LIMIT = 4_096;
const SHRINK_FACTOR = 0.75;
/** Drops arrive in a bunch; one bunch shrinks the limit once. */
const SHRINK_INTERVAL: Millis = 150;
/** With more of its time left than this, a class is far from its limit. */
const AMPLE_SLACK = 0.5;
const SOME_SLACK = 0.2;
/** About one miss in eight holds the limit where it is. */
const AMPLE_GROWTH = 1.04;
const SOME_GROWTH = 1.01;

/** Creates the limit of a class nothing is known of. */
export function createClassLimit(clock: Clock): ClassLimit {
  let value = MAX_LIMIT;
  let inProgress = 0;
  let lastShrink = -Infinity;
  let pausedUntil = -Infinity;

  function shrink(): boolean {
    if (value <= MIN_LIMIT) return false;
    const now = clock.now();
    if (now - lastShrink < SHRINK_INTERVAL) return true;
    lastShrink = now;
    const used = Math.min(value, inProgress + 1);
    value = Math.max(MIN_LIMIT, used * SHRINK_FACTOR);
    return true;
  }

  function grow(slack: number): void {
    // A limit that was not reached has not been tested.
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
