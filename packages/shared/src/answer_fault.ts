/**
 * The faults of calls that were sent and got no usable answer.
 *
 * @module
 */
import { AnswerLimitError } from "./answers/answer_input.ts";
import type { HttpFault } from "./http_client.ts";

/** Begins the codes of node:http, which undici does not always set. */
const PARSE_ERROR_PREFIX = "HPE_";
/** The name of undici's errors. */
const PARSE_ERROR_NAME = "HTTPParserError";

/** Whether an error of node:http or undici is about the syntax of a response. */
function isParseError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return error.name === PARSE_ERROR_NAME ||
    "code" in error && String(error.code).startsWith(PARSE_ERROR_PREFIX);
}

/** Creates the fault of an answer whose head is malformed. */
export function createMalformedFault(message: string): HttpFault {
  return { kind: "malformed", sent: "maybe", message };
}

/** Classifies an error that ended a call which may have been sent. */
export function classifyAnswerError(
  error: unknown,
  signal: AbortSignal | undefined,
): HttpFault {
  if (signal?.aborted) {
    return { kind: "aborted", sent: "maybe", message: "given up" };
  }
  const message = error instanceof Error ? error.message : String(error);
  if (isParseError(error)) return createMalformedFault(message);
  if (error instanceof AnswerLimitError) {
    return { kind: "too_large", sent: "maybe", message };
  }
  return { kind: "cut", sent: "maybe", message };
}
