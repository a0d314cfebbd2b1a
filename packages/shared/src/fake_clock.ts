/**
 * A clock for tests, which advances only on request.
 *
 * @module
 */
import type { CancelTimer, Clock, Millis } from "./clock.ts";
import { waitFor } from "./clock.ts";

/** A {@linkcode Clock} whose time is advanced by the test. */
export interface FakeClock extends Clock {
  /** Advances the time, fires due timers in order and lets promises settle. */
  advance(duration: Millis): Promise<void>;
}

interface FakeTimer {
  due: Millis;
  sequence: number;
  task: () => void;
}

const SETTLE_TURNS = 8;

/** Lets pending promise callbacks and immediate I/O callbacks run. */
export async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}

/** Creates a fake clock that starts at `start` milliseconds. */
export function createFakeClock(start: Millis = 1_000_000): FakeClock {
  const timers = new Set<FakeTimer>();
  let time = start;
  let sequence = 0;

  function startTimer(delay: Millis, task: () => void): CancelTimer {
    const timer = {
      due: time + Math.max(0, delay),
      sequence: sequence++,
      task,
    };
    timers.add(timer);
    return () => timers.delete(timer);
  }

  function findNextDue(limit: Millis): FakeTimer | undefined {
    let next: FakeTimer | undefined;
    for (const timer of timers) {
      if (timer.due > limit) continue;
      const isEarlier = next === undefined || timer.due < next.due ||
        (timer.due === next.due && timer.sequence < next.sequence);
      if (isEarlier) next = timer;
    }
    return next;
  }

  async function advance(duration: Millis): Promise<void> {
    const limit = time + duration;
    await settlePromises();
    for (;;) {
      const timer = findNextDue(limit);
      if (timer === undefined) break;
      timers.delete(timer);
      time = timer.due;
      timer.task();
      await settlePromises();
    }
    time = limit;
  }

  return {
    now: () => time,
    startTimer,
    sleep: (delay, signal) => waitFor(startTimer, { delay, signal }),
    advance,
  };
}
