/**
 * Failures in the client library for callers.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { HttpStreamReply } from "@mangoreach/shared";
import { parseJson } from "@mangoreach/shared";
import { parseFailure } from "./caller_protocol.ts";

/** Kinds of failure after which the request is retried at another entry. */
export const RETRYABLE_KINDS: ReadonlySet<Failure["kind"]> = new Set([
  "unavailable",
  "stopping",
]);

/** Reads the failure from a response that is not a stream. */
export async function readFailure(reply: HttpStreamReply): Promise<Failure> {
  let text = "";
  try {
    for await (const chunk of reply.body) text += String(chunk);
  } catch {
    return parseFailure(undefined, reply.status);
  }
  return parseFailure(parseJson(text), reply.status);
}

/** Creates the failure of a request for which no entry was reachable. */
export function createUnreachableFailure(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "no entry could be reached in time",
  });
}
