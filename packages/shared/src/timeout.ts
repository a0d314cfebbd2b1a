/**
 * A time limit as an abort signal, on the project's clock.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** A running time limit. */
export interface Timeout {
  /** Aborts when the time has passed. */
  readonly signal: AbortSignal;
  /** Frees the timer; the signal does not abort any more. */
  stop(): void;
}

/** The reason of a signal that a time limit has aborted. */
export const TIMED_OUT = "timed_out";

/** Starts a time limit; it must be stopped. */
export function startTimeout(clock: Clock, duration: Millis): Timeout {
  const controller = new AbortController();
  const stop = clock.startTimer(duration, () => controller.abort(TIMED_OUT));
  return { signal: controller.signal, stop };
}
