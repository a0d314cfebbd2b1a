/**
 * Reads long answers in turn, a few in each turn of the event loop. While other
 * work takes as much time as they do, they rest for as long as they have taken.
 *
 * @module
 */
import type { Clock, Millis } from "../clock.ts";
import { createSystemClock } from "../clock.ts";
import { createTurnQueue } from "../connections/turn_queue.ts";

/** The turns of the answers that a process reads. */
export interface AnswerTurns {
  /** Reads the clock by which time is spent. */
  now(): Millis;
  /** Calls `resume` when the turn of its answer has come. */
  wait(resume: () => void): void;
  /** Records time that was spent on a part of a long answer. */
  spend(time: Millis): void;
}

/** Answers that are read in one turn of the event loop. */
const MAX_RESUMED = 2;
/** Shorter times are not worth a timer. */
const MIN_REST: Millis = 1;
/** The process may have been suspended meanwhile. */
const MAX_REST: Millis = 20;
/** What was spent before says nothing of the work that waits now. */
const MAX_AGE: Millis = 100;

/** Creates turns for which nobody waits. */
export function createAnswerTurns(clock: Clock): AnswerTurns {
  /** Time spent on long answers since then, and since when it is counted. */
  let spent: Millis = 0;
  let since = clock.now();
  const queue = createTurnQueue(clock, { maxWorks: MAX_RESUMED, computeRest });

  function startCount(): void {
    spent = 0;
    since = clock.now();
  }

  /** Whether other work has taken as much time as the answers. */
  function isContended(): boolean {
    return clock.now() - since - spent >= spent;
  }

  function computeRest(): Millis {
    if (spent < MIN_REST) return 0;
    const rest = isContended() ? Math.min(MAX_REST, spent) : 0;
    startCount();
    return rest;
  }

  return {
    now: clock.now,
    wait(resume) {
      if (clock.now() - since > MAX_AGE) startCount();
      queue.add(resume, resume);
    },
    spend(time) {
      spent += time;
    },
  };
}

/** The turns of this process, which has one event loop. */
export const answerTurns: AnswerTurns = createAnswerTurns(createSystemClock());
