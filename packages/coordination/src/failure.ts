/**
 * Errors with a verdict: whether the request may have run.
 *
 * @module
 */
import type { HttpFault, Millis } from "@mangoreach/shared";

/**
 * Whether a request ran. `not_run` is a guarantee: no call that might execute
 * it has left the system. Where that cannot be proved, the verdict is
 * `may_have_run`.
 */
export type Verdict = "not_run" | "may_have_run" | "ran";

/** What went wrong. */
export type FailureKind =
  | "malformed"
  | "too_large"
  | "unauthorized"
  | "not_found"
  | "overloaded"
  | "deadline_exceeded"
  | "unavailable"
  | "stopping"
  | "rejected"
  | "bad_reply"
  | "cancelled"
  | "duplicate"
  | "outcome_unknown";

/** A typed error; every layer passes it on or weakens its verdict. */
export interface Failure {
  kind: FailureKind;
  verdict: Verdict;
  /** Plain text without secrets, suitable for callers and operators. */
  message: string;
  /** When a retry makes sense; absent if it does not. */
  retryAfterMs?: Millis;
}

export function createFailure(
  kind: FailureKind,
  fields: Omit<Failure, "kind">,
): Failure {
  return { kind, ...fields };
}

/** Combines two verdicts about the same request into the more cautious one. */
export function combineVerdicts(a: Verdict, b: Verdict): Verdict {
  if (a === "ran" || b === "ran") return "ran";
  if (a === "may_have_run" || b === "may_have_run") return "may_have_run";
  return "not_run";
}

/** Creates the failure of a call that got no usable answer. */
export function createCallFailure(peer: string, fault: HttpFault): Failure {
  const verdict = fault.sent === "no" ? "not_run" : "may_have_run";
  const kind = FAULT_KINDS[fault.kind];
  return createFailure(kind, { verdict, message: `${peer}: ${fault.message}` });
}

const FAULT_KINDS = {
  unreachable: "unavailable",
  withheld: "unavailable",
  aborted: "cancelled",
  cut: "unavailable",
  malformed: "unavailable",
  too_large: "bad_reply",
} as const;
