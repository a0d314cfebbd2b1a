/**
 * One deadline shared by all stages of a request.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** The time by which the caller must have the complete answer. */
export interface Deadline {
  readonly at: Millis;
  /** Milliseconds left; zero or less once it has passed. */
  remaining(): Millis;
  hasPassed(): boolean;
  /** Aborts when the deadline passes, or when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Aborts at once, for a request that is abandoned. */
  cancel(reason: CancelReason): void;
  /** Frees the timer; must be called once when the request has ended. */
  release(): void;
}

/** Why the work on a request was stopped. */
export type CancelReason =
  | "deadline"
  | "caller_gone"
  /** The process exits now. */
  | "shutdown"
  /** The process was told to stop and could not finish the answer. */
  | "stopping"
  | "hopeless";

/** Options of {@linkcode createDeadline}. */
export interface DeadlineOptions {
  clock: Clock;
  /** Time from now until the deadline. */
  budget: Millis;
}

/** Creates a deadline that starts now. */
export function createDeadline({ clock, budget }: DeadlineOptions): Deadline {
  const at = clock.now() + budget;
  const controller = new AbortController();
  const stopTimer = clock.startTimer(budget, () => cancel("deadline"));

  function cancel(reason: CancelReason): void {
    if (!controller.signal.aborted) controller.abort(reason);
  }

  return {
    at,
    remaining: () => at - clock.now(),
    hasPassed: () => clock.now() >= at,
    signal: controller.signal,
    cancel,
    release: stopTimer,
  };
}
