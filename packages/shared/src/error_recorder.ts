/**
 * Logs and counts errors that no request reports and that the process outlives.
 *
 * @module
 */
import process from "node:process";
import type { Clock } from "./clock.ts";
import { createLineLimiter } from "./line_limiter.ts";
import type { Logger } from "./logger.ts";

/** What an error came from. */
export type ErrorSource =
  | "uncaught_exception"
  | "unhandled_rejection"
  /** A listener after it was started, such as one that cannot accept. */
  | "listener"
  | "signal"
  | "settings"
  /** A loop that runs as long as the process, and is started again. */
  | "loop"
  /** The graceful stop. */
  | "stop";

/** Records errors. */
export interface ErrorRecorder {
  record(source: ErrorSource, error: unknown): void;
  /** Errors so far by source. */
  readonly counts: ReadonlyMap<ErrorSource, number>;
  /** Replaces the logger, once the settings name the process. */
  setLogger(logger: Logger): void;
}

/** Creates the recorder of one process. */
export function createErrorRecorder(
  { clock, logger }: { clock: Clock; logger: Logger },
): ErrorRecorder {
  const lines = createLineLimiter<ErrorSource>(clock);
  let log = logger;

  function record(source: ErrorSource, error: unknown): void {
    const count = lines.record(source);
    if (count === undefined) return;
    log.error("unexpected_error", { source, count, ...describeError(error) });
  }

  return {
    record,
    counts: lines.counts,
    setLogger: (next) => log = next,
  };
}

/** Outlives and records errors that nothing else handles. */
export function handleProcessErrors(errors: ErrorRecorder): void {
  process.on(
    "uncaughtException",
    (error) => errors.record("uncaught_exception", error),
  );
  process.on(
    "unhandledRejection",
    (reason) => errors.record("unhandled_rejection", reason),
  );
}

/** Anything may be thrown, also what cannot be formatted. */
function describeError(error: unknown): { error: string; stack?: string } {
  try {
    if (!(error instanceof Error)) return { error: String(error) };
    return { error: String(error), stack: String(error.stack) };
  } catch {
    return { error: "an error that cannot be formatted" };
  }
}
