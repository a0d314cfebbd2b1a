/**
 * Reads long answers in turn, a few in each turn of the event loop, and for half
 * of the time at most: other work goes on beside any number of them.
 *
 * @module
 */
import type { Clock, Millis } from "../clock.ts";
import { createSystemClock } from "../clock.ts";

/** The turns of the answers that a process reads. */
export interface AnswerTurns {
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

/** Creates turns for which nobody waits. */
export function createAnswerTurns(clock: Clock): AnswerTurns {
  let waiting: (() => void)[] = [];
  /** Time spent since the last rest. */
  let spent: Millis = 0;
  let isScheduled = false;

  function schedule(): void {
    if (isScheduled || waiting.length === 0) return;
    isScheduled = true;
    setImmediate(runTurn);
  }

  function runTurn(): void {
    if (spent >= MIN_REST) {
      clock.startTimer(Math.min(MAX_REST, spent), runTurn);
      spent = 0;
      return;
    }
    isScheduled = false;
    const resumed = waiting.slice(0, MAX_RESUMED);
    waiting = waiting.slice(MAX_RESUMED);
    resumed.forEach((resume) => resume());
    schedule();
  }

  return {
    wait(resume) {
      waiting.push(resume);
      schedule();
    },
    spend(time) {
      spent += time;
    },
  };
}

/** The turns of this process, which has one event loop. */
export const answerTurns: AnswerTurns = createAnswerTurns(createSystemClock());
