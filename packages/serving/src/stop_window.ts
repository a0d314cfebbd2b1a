/**
 * The time that an entry has left once it was told to stop.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { createSharedController } from "@mangoreach/shared";

/** What became of a request after the signal to stop. */
export type StopOutcome =
  /** It did not run, for whatever reason, and its caller was told so. */
  | "refused"
  | "finished"
  /** Failed, but not because this entry stopped. */
  | "failed"
  /** In progress when the time was over. */
  | "cut";

/** The time from the signal to stop until requests are cut off. */
export interface StopWindow {
  /** Aborts at the signal to stop. */
  readonly begun: AbortSignal;
  /** Begins the window; later calls have no effect. */
  begin(): void;
  /** Whether the signal to stop came before a time. */
  hasBegunBefore(time: Millis): boolean;
  /** Time until requests are cut off; infinite before the signal to stop. */
  readTimeLeft(): Millis;
  /** Time until the process is killed; infinite before the signal to stop. */
  readTimeToKill(): Millis;
  /** Counts a request that ended; before the signal to stop it does nothing. */
  recordEnd(outcome: StopOutcome): void;
  /** Returns the counts since the signal to stop. */
  readCounts(): StopCounts;
}

/** Requests that ended after the signal to stop, by outcome. */
export type StopCounts = Readonly<Record<StopOutcome, number>>;

/**
 * Requests in progress are ended with a response this long before the process
 * is killed: a caller whose connection just closes does not know whether it may
 * retry.
 */
const MAX_SHUTDOWN_MARGIN: Millis = 800;
/** The same as a share of a short time to stop. */
const SHUTDOWN_MARGIN_SHARE = 0.1;

/** Options of {@linkcode createStopWindow}. */
export interface StopWindowOptions {
  /** Time from the signal to stop until the process is killed. */
  stopTime: Millis;
  /** Called for each request that ends after the signal to stop. */
  onEnded: (outcome: StopOutcome) => void;
}

/** Creates the window of an entry that was not told to stop. */
export function createStopWindow(
  clock: Clock,
  { stopTime, onEnded }: StopWindowOptions,
): StopWindow {
  const controller = createSharedController();
  const counts = { refused: 0, finished: 0, failed: 0, cut: 0 };
  const margin = Math.min(
    MAX_SHUTDOWN_MARGIN,
    SHUTDOWN_MARGIN_SHARE * stopTime,
  );
  let begunAt = Infinity;
  let endAt = Infinity;
  return {
    begun: controller.signal,
    begin() {
      if (controller.signal.aborted) return;
      begunAt = clock.now();
      endAt = begunAt + stopTime - margin;
      controller.abort();
    },
    hasBegunBefore: (time) => begunAt <= time,
    readTimeLeft: () => endAt - clock.now(),
    readTimeToKill: () => endAt + margin - clock.now(),
    recordEnd(outcome) {
      if (!controller.signal.aborted) return;
      counts[outcome]++;
      onEnded(outcome);
    },
    readCounts: () => ({ ...counts }),
  };
}
