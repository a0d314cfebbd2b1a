/**
 * Judges a history from outside: what callers sent and received, and what the
 * endpoints executed. It knows nothing of how the system works.
 *
 * @module
 */
import type { Verdict } from "@mangoreach/coordination";
import type { Execution } from "@mangoreach/standins";

/** A request as its caller meant it. */
export interface SentRequest {
  /** Unique; the last part of every id under which it was sent. */
  label: string;
  className: string;
  isIdempotent: boolean;
  /** What this very request must get. */
  expected: unknown;
  deadlineMs: number;
}

/** How a request ended for its caller. */
export type ReceivedAnswer =
  | { kind: "answered"; output: unknown; latencyMs: number }
  | { kind: "failed"; verdict: Verdict; reason: string; latencyMs: number };

/** One request and its end; no answer at all is a loss. */
export interface HistoryEntry {
  sent: SentRequest;
  received: ReceivedAnswer | undefined;
}

/** What was found. Lists hold the labels of requests. */
export interface Judgement {
  sent: number;
  wholeInTime: number;
  late: number;
  refusedNotRun: number;
  mayHaveRun: number;
  /** Answered with something else than this request must get. */
  wrong: string[];
  /** Never answered. */
  lost: string[];
  /** Non-idempotent and executed more than once at a stage. */
  doubled: string[];
  /** Answered "not run", but something was executed. */
  falselyNotRun: string[];
}

/** Judges a history. */
export function judgeHistory(
  history: readonly HistoryEntry[],
  executions: readonly Execution[],
): Judgement {
  const executed = countExecutions(executions);
  const judgement: Judgement = {
    sent: history.length,
    wholeInTime: 0,
    late: 0,
    refusedNotRun: 0,
    mayHaveRun: 0,
    wrong: [],
    lost: [],
    doubled: [],
    falselyNotRun: [],
  };
  for (const entry of history) judgeEntry(entry, { judgement, executed });
  return judgement;
}

/** Executions by label and stage. */
type ExecutionCounts = Map<string, Map<string, number>>;

function countExecutions(executions: readonly Execution[]): ExecutionCounts {
  const counts: ExecutionCounts = new Map();
  for (const { requestId, stage } of executions) {
    const label = readLabel(requestId);
    const stages = counts.get(label) ?? new Map<string, number>();
    stages.set(stage, (stages.get(stage) ?? 0) + 1);
    counts.set(label, stages);
  }
  return counts;
}

/** The label is what follows the last `~` or `/` of an id. */
export function readLabel(requestId: string): string {
  return requestId.slice(
    Math.max(requestId.lastIndexOf("~"), requestId.lastIndexOf("/")) + 1,
  );
}

function judgeEntry(
  { sent, received }: HistoryEntry,
  { judgement, executed }: { judgement: Judgement; executed: ExecutionCounts },
): void {
  const stages = executed.get(sent.label);
  const most = Math.max(0, ...(stages?.values() ?? []));
  if (!sent.isIdempotent && most > 1) judgement.doubled.push(sent.label);
  if (received === undefined) return void judgement.lost.push(sent.label);
  if (received.kind === "answered") {
    if (!isEqual(received.output, sent.expected)) {
      judgement.wrong.push(sent.label);
    } else if (received.latencyMs <= sent.deadlineMs) judgement.wholeInTime++;
    else judgement.late++;
    return;
  }
  if (received.verdict !== "not_run") return void judgement.mayHaveRun++;
  judgement.refusedNotRun++;
  if (stages !== undefined) judgement.falselyNotRun.push(sent.label);
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Whether nothing that must always hold was broken. */
export function isUnbroken(judgement: Judgement): boolean {
  return judgement.wrong.length === 0 && judgement.lost.length === 0 &&
    judgement.doubled.length === 0 && judgement.falselyNotRun.length === 0;
}
