/**
 * A timeout as an abort signal, on the project's clock.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** A running timeout. */
export interface Timeout {
  /** Aborts when the timeout expires. */
  readonly signal: AbortSignal;
  /** Cancels the timer; the signal no longer aborts. */
  stop(): void;
}

/** The abort reason of a signal whose timeout has expired. */
export const TIMED_OUT = "timed_out";

/** Starts a timeout; the caller must stop it. */
export function startTimeout(clock: Clock, duration: Millis): Timeout {
  const controller = new AbortController();
  const stop = clock.startTimer(duration, () => controller.abort(TIMED_OUT));
  return { signal: controller.signal, stop };
}
