/**
 * The result of running a request, and what it means for the caller, attainment,
 * admission and retries.
 *
 * @module
 */
import type {
  AdmittedEnd,
  Deadline,
  Failure,
  RequestOutcome,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { StoredAnswer } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import { createFailureAnswer } from "./caller_answer.ts";
import type { RequestHead } from "./request_head.ts";
import type { RequestRun } from "./request_run.ts";

/** The result of running a request. */
export type ExecutionResult =
  /** The answer is still to be sent. */
  | { kind: "answer"; answer: StoredAnswer }
  /** The complete answer was already sent as a stream. */
  | { kind: "streamed" }
  | { kind: "failed"; failure: Failure }
  /** The failure was already sent inside the stream. */
  | { kind: "stream_failed"; failure: Failure };

/** Creates the answer that is stored for retries of a non-idempotent request. */
export function createStoredAnswer(
  outcome: ExecutionResult,
  run: RequestRun,
): StoredAnswer {
  if (outcome.kind === "answer") return outcome.answer;
  if (outcome.kind !== "streamed") return createFailureAnswer(outcome.failure);
  return createFailureAnswer(createFailure("duplicate", {
    verdict: "ran",
    message: `request ${run.id} was streamed; resume it with its token`,
  }));
}

/** Converts a result into feedback for admission control. */
export function classifyForAdmission(
  outcome: ExecutionResult,
  { run, budget }: { run: RequestRun; budget: Millis },
): AdmittedEnd {
  const remaining = run.deadline.remaining();
  if (!("failure" in outcome)) {
    return remaining > 0
      ? { kind: "in_time", slack: remaining / budget }
      : { kind: "missed" };
  }
  const { kind } = outcome.failure;
  const isDeadlineMissed = kind === "deadline_exceeded" ||
    kind === "overloaded";
  return { kind: isDeadlineMissed ? "missed" : "other" };
}

/** Classifies a result for attainment. */
export function classifyOutcome(
  outcome: ExecutionResult,
  deadline: Deadline,
): RequestOutcome {
  if (outcome.kind === "answer" || outcome.kind === "streamed") {
    return deadline.hasPassed() ? "late" : "in_time";
  }
  return outcome.failure.verdict === "not_run" ? "refused" : "failed";
}

/**
 * Weakens `not_run` unless this is the first attempt. The verdict of a refusal
 * covers every attempt of the id at any entry. An idempotent request leaves no
 * record elsewhere, so `not_run` is certain only if the caller states that this
 * is the first attempt.
 */
export function weakenVerdict(failure: Failure, head: RequestHead): Failure {
  if (failure.verdict !== "not_run" || head.isFirstAttempt) return failure;
  return { ...failure, verdict: "may_have_run" };
}

/** Weakens the verdict of a retried idempotent request. */
export function weakenOutcome(
  outcome: ExecutionResult,
  head: RequestHead,
): ExecutionResult {
  // The at-most-once guard covers all attempts of a non-idempotent request.
  if (!("failure" in outcome) || !head.isIdempotent) return outcome;
  return { ...outcome, failure: weakenVerdict(outcome.failure, head) };
}
