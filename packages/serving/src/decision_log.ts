/**
 * Writes one structured log line for each decision about a request and each
 * change of this process's state. Above a rate, lines of one kind are dropped
 * and counted, which bounds the processor time that a burst costs.
 *
 * @module
 */
import type { Clock, Logger, Millis } from "@mangoreach/shared";

/** The kind of a decision or state change. */
export type DecisionKind =
  | "request_answered"
  | "request_refused"
  | "request_failed"
  | "attempt_ended"
  | "stream_resumed"
  | "run_broken"
  | "crash_counted"
  | "quarantine_changed"
  | "versions_recorded"
  | "stage_ended"
  | "stage_call"
  | "pieces_dropped"
  | "feeder_changed"
  | "config_in_force"
  | "config_rejected"
  | "endpoint_changed"
  | "endpoint_path_changed"
  | "connection_relayed"
  | "load_report_unread"
  | "place_changed"
  | "pool_unreachable"
  | "pool_reachable"
  | "peer_changed"
  | "connections_limited"
  | "answer_size_changed"
  | "dependency_lost"
  | "dependency_regained"
  | "store_restored"
  | "knowledge_aged"
  | "knowledge_renewed"
  | "process_started"
  | "process_stopping"
  | "process_stopped"
  | "settings_reloaded";

/** The inputs of a decision, their age or version, and the outcome. */
export type DecisionFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Writes decisions. */
export interface DecisionLog {
  record(kind: DecisionKind, fields: DecisionFields): void;
}

/** Options of {@linkcode createDecisionLog}. */
export interface DecisionLogOptions {
  clock: Clock;
  logger: Logger;
  /** Called for each dropped line. */
  onDropped: (kind: DecisionKind) => void;
}

/** Maximum lines per second of one kind; a line takes about 20 microseconds. */
const MAX_LINES_PER_WINDOW = 100;
const WINDOW: Millis = 1_000;

/** Creates the log of one process. */
export function createDecisionLog(
  { clock, logger, onDropped }: DecisionLogOptions,
): DecisionLog {
  const counts = new Map<DecisionKind, number>();
  let windowStart = clock.now();

  function record(kind: DecisionKind, fields: DecisionFields): void {
    const now = clock.now();
    if (now - windowStart >= WINDOW) {
      windowStart = now;
      counts.clear();
    }
    const count = (counts.get(kind) ?? 0) + 1;
    counts.set(kind, count);
    if (count > MAX_LINES_PER_WINDOW) return onDropped(kind);
    logger.info(kind, formatNumbers(fields));
  }

  return { record };
}

function formatNumbers(fields: DecisionFields): Record<string, unknown> {
  const formatted: Record<string, unknown> = {};
  for (const name of Object.keys(fields)) {
    const value = fields[name];
    formatted[name] = typeof value === "number"
      ? Math.round(value * 10) / 10
      : value;
  }
  return formatted;
}

/** A log that writes nothing; for tests and embedding. */
export function createSilentDecisionLog(): DecisionLog {
  return { record: () => {} };
}
