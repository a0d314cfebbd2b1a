/**
 * Checks a history as a black box: compares what callers sent and received with
 * what the endpoints executed. It does not depend on how the system works.
 *
 * @module
 */
import type { Verdict } from "@mangoreach/coordination";
import type { Execution } from "@mangoreach/standins";

/** A request as its caller intended it. */
export interface SentRequest {
  /** Unique; the last part of every request id under which it was sent. */
  label: string;
  className: string;
  isIdempotent: boolean;
  /** The only correct output for this request. */
  expected: unknown;
  deadlineMs: number;
}

/** The outcome of a request as its caller received it. */
export type ReceivedAnswer =
  | { kind: "answered"; output: unknown; latencyMs: number }
  | { kind: "failed"; verdict: Verdict; reason: string; latencyMs: number };

/** One request and its outcome; a request without any answer is lost. */
export interface HistoryEntry {
  sent: SentRequest;
  received: ReceivedAnswer | undefined;
}

/** Result of a check. Lists contain the labels of requests. */
export interface CheckResult {
  sent: number;
  answeredInTime: number;
  late: number;
  refusedNotRun: number;
  mayHaveRun: number;
  /** Answered with an output other than the expected one. */
  wrong: string[];
  /** Never answered. */
  lost: string[];
  /** Non-idempotent, but executed more than once at a stage. */
  doubled: string[];
  /** Answered "not run", but executed at one stage at least. */
  falselyNotRun: string[];
}

/** Checks a history against the executions of the endpoints. */
export function checkHistory(
  history: readonly HistoryEntry[],
  executions: readonly Execution[],
): CheckResult {
  const executed = countExecutions(executions);
  const result: CheckResult = {
    sent: history.length,
    answeredInTime: 0,
    late: 0,
    refusedNotRun: 0,
    mayHaveRun: 0,
    wrong: [],
    lost: [],
    doubled: [],
    falselyNotRun: [],
  };
  for (const entry of history) checkEntry(entry, { result, executed });
  return result;
}

/** Number of executions by label and stage. */
type ExecutionCounts = Map<string, Map<string, number>>;

function countExecutions(executions: readonly Execution[]): ExecutionCounts {
  const counts: ExecutionCounts = new Map();
  for (const { requestId, stage } of executions) {
    const label = parseLabel(requestId);
    const stages = counts.get(label) ?? new Map<string, number>();
    stages.set(stage, (stages.get(stage) ?? 0) + 1);
    counts.set(label, stages);
  }
  return counts;
}

/** Returns what follows the last `~` or `/` of a request id. */
export function parseLabel(requestId: string): string {
  return requestId.slice(
    Math.max(requestId.lastIndexOf("~"), requestId.lastIndexOf("/")) + 1,
  );
}

function checkEntry(
  { sent, received }: HistoryEntry,
  { result, executed }: { result: CheckResult; executed: ExecutionCounts },
): void {
  const stages = executed.get(sent.label);
  const maxExecutions = Math.max(0, ...(stages?.values() ?? []));
  if (!sent.isIdempotent && maxExecutions > 1) result.doubled.push(sent.label);
  if (received === undefined) return void result.lost.push(sent.label);
  if (received.kind === "answered") {
    if (!isEqual(received.output, sent.expected)) {
      result.wrong.push(sent.label);
    } else if (received.latencyMs <= sent.deadlineMs) result.answeredInTime++;
    else result.late++;
    return;
  }
  if (received.verdict !== "not_run") return void result.mayHaveRun++;
  result.refusedNotRun++;
  if (stages !== undefined) result.falselyNotRun.push(sent.label);
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Whether the history violates none of the guarantees. */
export function hasNoViolations(result: CheckResult): boolean {
  return result.wrong.length === 0 && result.lost.length === 0 &&
    result.doubled.length === 0 && result.falselyNotRun.length === 0;
}
