/**
 * Failures as the embedded client sees them.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { HttpStreamReply } from "@mangoreach/shared";
import { parseJson } from "@mangoreach/shared";
import { parseFailure } from "./caller_protocol.ts";

/** Failures after which another entry is worth a try. */
export const RETRIED_KINDS: ReadonlySet<Failure["kind"]> = new Set([
  "unavailable",
  "stopping",
]);

/** Reads the failure out of an answer that is no stream. */
export async function readFailure(reply: HttpStreamReply): Promise<Failure> {
  let text = "";
  try {
    for await (const chunk of reply.body) text += String(chunk);
  } catch {
    return parseFailure(undefined, reply.status);
  }
  return parseFailure(parseJson(text), reply.status);
}

/** Creates the failure of a request that reached no entry. */
export function failUnreached(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "no entry could be reached in time",
  });
}
