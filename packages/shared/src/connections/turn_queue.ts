/**
 * Serves connections in turn: a few in each turn of the event loop, which reads
 * from all others in between.
 *
 * @module
 */
import type { Clock, Millis } from "../clock.ts";

/** Work that waits for its turn. */
export interface TurnQueue {
  /** Adds work under a key, unless some waits under it already. */
  add(key: object, work: () => void): void;
}

/** Options of {@linkcode createTurnQueue}. */
export interface TurnQueueOptions {
  /** Works in one turn of the event loop. */
  maxWorks?: number;
  /** Computes how long to rest before a turn; there is no rest if left out. */
  computeRest?: () => Millis;
}

/** Works in one turn of the event loop, the most of them and their time. */
const MAX_WORKS = 4;
const MAX_TIME: Millis = 1;

/** Creates an empty queue. */
export function createTurnQueue(
  clock: Clock,
  { maxWorks = MAX_WORKS, computeRest = () => 0 }: TurnQueueOptions = {},
): TurnQueue {
  const waiting = new Map<object, () => void>();
  let isScheduled = false;

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(runTurn);
  }

  function runTurn(): void {
    const rest = computeRest();
    if (rest > 0) clock.startTimer(rest, runWorks);
    else runWorks();
  }

  function runWorks(): void {
    isScheduled = false;
    const until = clock.now() + MAX_TIME;
    let count = 0;
    for (const [key, work] of waiting) {
      waiting.delete(key);
      work();
      if (++count === maxWorks || clock.now() >= until) break;
    }
    if (waiting.size > 0) schedule();
  }

  return {
    add(key, work) {
      if (!waiting.has(key)) waiting.set(key, work);
      schedule();
    },
  };
}
