/**
 * The clock type of the project. All times and durations are in milliseconds.
 *
 * @module
 */

/** A duration or a point in time since the Unix epoch, in milliseconds. */
export type Millis = number;

/** Cancels a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** Source of time, timers and waits. Tests pass a fake. */
export interface Clock {
  /** Milliseconds since the Unix epoch; never runs backwards in one process. */
  now(): Millis;
  /** Runs `task` once after `delay` milliseconds. */
  startTimer(delay: Millis, task: () => void): CancelTimer;
  /** Resolves after `delay` milliseconds, or at once when `signal` aborts. */
  sleep(delay: Millis, signal?: AbortSignal): Promise<void>;
}

/**
 * Creates the clock of a running process. It reads the wall clock once and then
 * follows the monotonic clock, because setting the wall clock back would make
 * expired leases and bindings valid again.
 */
export function createSystemClock(): Clock {
  const origin = Date.now() - performance.now();
  function startTimer(delay: Millis, task: () => void): CancelTimer {
    const timer = setTimeout(task, Math.max(0, delay));
    return () => clearTimeout(timer);
  }
  return {
    now: () => origin + performance.now(),
    startTimer,
    sleep: (delay, signal) => waitFor(startTimer, { delay, signal }),
  };
}

interface WaitOptions {
  delay: Millis;
  signal: AbortSignal | undefined;
}

/** Implements `sleep` for the system clock and the fake clock. */
export function waitFor(
  startTimer: Clock["startTimer"],
  { delay, signal }: WaitOptions,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const cancel = startTimer(delay, finish);
    function finish() {
      cancel();
      signal?.removeEventListener("abort", finish);
      resolve();
    }
    signal?.addEventListener("abort", finish, { once: true });
  });
}
