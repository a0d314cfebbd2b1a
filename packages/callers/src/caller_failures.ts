/**
 * Failures in the client library for callers.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { HttpStreamReply } from "@mangoreach/shared";
import { parseBoundedJson, readBodyBytes } from "@mangoreach/shared";
import { parseFailure } from "./caller_protocol.ts";

/** Kinds of failure after which the request is retried at another entry. */
export const RETRYABLE_KINDS: ReadonlySet<Failure["kind"]> = new Set([
  "unavailable",
  "stopping",
]);

/** An entry writes a failure in far less. */
const MAX_FAILURE_BYTES = 65_536;

/**
 * Reads the failure from a response that is not a stream; it is unreadable if it
 * is truncated or larger than any failure.
 */
export async function readFailure(reply: HttpStreamReply): Promise<Failure> {
  const bytes = await readBodyBytes(reply.body, MAX_FAILURE_BYTES);
  const body = bytes === undefined
    ? undefined
    : parseBoundedJson(bytes.toString());
  return parseFailure(body, reply.status);
}

/** Creates the failure of a request for which no entry was reachable. */
export function createUnreachableFailure(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "no entry could be reached in time",
  });
}
