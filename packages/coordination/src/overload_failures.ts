/**
 * The refusals of an entry that holds too much for other requests.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { Failure } from "./failure.ts";
import { createFailure } from "./failure.ts";

/** Requests and large bodies leave an entry within seconds. */
const RETRY_AFTER_OVERLOAD: Millis = 1_000;

/** Creates the refusal of an entry with too many requests in progress. */
export function createFullFailure(): Failure {
  return createOverloadFailure("the entry has too many requests in progress");
}

/** Creates the refusal of a body that the process cannot hold. */
export function createMemoryFailure(): Failure {
  return createOverloadFailure(
    "the bodies of other requests take all memory for bodies",
  );
}

function createOverloadFailure(message: string): Failure {
  return createFailure("overloaded", {
    verdict: "not_run",
    message,
    retryAfterMs: RETRY_AFTER_OVERLOAD,
  });
}
