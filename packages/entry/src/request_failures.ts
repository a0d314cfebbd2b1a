/**
 * The refusals of an entry. docs/operators/refusals.md gives the proof of each.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type * as z from "zod";
import { failMalformed } from "./request_head.ts";

const RETRY_AFTER_NOT_READY: Millis = 1_000;
const RETRY_AFTER_STOPPING: Millis = 0;

/** Creates the refusal of a body that the schema rejects. */
export function failBody(error: z.ZodError): Failure {
  const [issue] = error.issues;
  const path = issue?.path.join(".") ?? "";
  return failMalformed(
    `the body is malformed: ${path} ${issue?.message ?? "not JSON"}`,
  );
}

/** Creates the refusal of a name that is not configured. */
export function failNotFound(what: string, name: string): Failure {
  return createFailure("not_found", {
    verdict: "not_run",
    message: `no ${what} named "${name}"`,
  });
}

/** Creates the refusal of a class that the account may not use. */
export function failClass(className: string): Failure {
  return createFailure("unauthorized", {
    verdict: "not_run",
    message: `the account may not send in class "${className}"`,
  });
}

/** Creates the refusal of an entry that has no configuration yet. */
export function failNotReady(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "this entry has no configuration yet",
    retryAfterMs: RETRY_AFTER_NOT_READY,
  });
}

/** Creates the refusal of a stopping entry. */
export function failStopping(): Failure {
  return createFailure("stopping", {
    verdict: "not_run",
    message: "this entry is stopping; ask for addresses and use another",
    retryAfterMs: RETRY_AFTER_STOPPING,
  });
}

/** Creates the refusal of a request whose deadline passed before dispatch. */
export function failDeadlinePassed(): Failure {
  return createFailure("deadline_exceeded", {
    verdict: "not_run",
    message: "the deadline passed before anything was sent",
  });
}
