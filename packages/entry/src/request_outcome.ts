/**
 * What came of running a request, and what it means for its caller, for
 * attainment, for admission and for whoever asks again.
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

/** What came of running a request. */
export type ExecutionResult =
  /** To be sent. */
  | { kind: "answer"; answer: StoredAnswer }
  /** Sent already, as a stream, whole. */
  | { kind: "streamed" }
  | { kind: "failed"; failure: Failure }
  /** The failure was already sent inside the stream. */
  | { kind: "stream_failed"; failure: Failure };

/** What is remembered of a non-idempotent request for whoever asks again. */
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

/** What an outcome says about how much of its class may be admitted. */
export function classifyForAdmission(
  outcome: ExecutionResult,
  { run, budget }: { run: RequestRun; budget: Millis },
): AdmittedEnd {
  const left = run.deadline.remaining();
  if (!("failure" in outcome)) {
    return left > 0
      ? { kind: "in_time", slack: left / budget }
      : { kind: "missed" };
  }
  const { kind } = outcome.failure;
  const isDeadlineMissed = kind === "deadline_exceeded" ||
    kind === "overloaded";
  return { kind: isDeadlineMissed ? "missed" : "other" };
}

/** How an outcome counts for attainment. */
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
 * The verdict of a refusal covers every attempt of the id at any entry. An
 * idempotent request leaves no record elsewhere, so only a caller's word that
 * this is the first attempt makes `not_run` certain.
 */
export function weakenVerdict(failure: Failure, head: RequestHead): Failure {
  if (failure.verdict !== "not_run" || head.isFirstAttempt) return failure;
  return { ...failure, verdict: "may_have_run" };
}

/** Weakens the verdict of an idempotent request that was sent before. */
export function weakenOutcome(
  outcome: ExecutionResult,
  head: RequestHead,
): ExecutionResult {
  // The guard knows all attempts of a non-idempotent request.
  if (!("failure" in outcome) || !head.isIdempotent) return outcome;
  return { ...outcome, failure: weakenVerdict(outcome.failure, head) };
}
