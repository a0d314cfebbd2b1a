/**
 * Keeps a loop of a process running: an error in one pass does not end it.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** Options of {@linkcode keepRunning}. */
export interface KeepRunningOptions {
  clock: Clock;
  /** Ends the loop. */
  signal: AbortSignal;
  onError: (error: unknown) => void;
}

/** An error that comes at once each time costs little at this pace. */
const RESTART_DELAY: Millis = 1_000;

/** Runs a loop again after an error, until the signal aborts. */
export async function keepRunning(
  run: () => Promise<void>,
  { clock, signal, onError }: KeepRunningOptions,
): Promise<void> {
  while (!signal.aborted) {
    try {
      return await run();
    } catch (error) {
      onError(error);
    }
    await clock.sleep(RESTART_DELAY, signal);
  }
}
