/**
 * Reads the headers of a caller's request: account, id, class and deadline.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { CALLER_HEADERS, parseCredentials } from "@mangoreach/callers";
import type { Failure, RequestId } from "@mangoreach/coordination";
import { createFailure, parseRequestId } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { CredentialsCheck } from "./credentials_check.ts";

/** The parsed headers of a request. */
export interface RequestHead {
  account: string;
  /** Undefined when the entry is to generate one. */
  id: RequestId | undefined;
  className: string | undefined;
  deadlineMs: Millis | undefined;
  isIdempotent: boolean;
  /** Whether the caller states that it never sent this id before. */
  isFirstAttempt: boolean;
  wantsStream: boolean;
}

const MAX_DEADLINE: Millis = 600_000;
const COUNT_PATTERN = /^[1-9]\d{0,6}$/;

/** Parses and validates the headers; every failure has verdict `not_run`. */
export function readRequestHead(
  { headers }: IncomingMessage,
  check: CredentialsCheck,
): Result<RequestHead, Failure> {
  const credentials = parseCredentials(headers.authorization);
  if (credentials === undefined || !check.isAccount(credentials)) {
    return Result.err(failUnauthorized());
  }
  const read = (name: string) => readSingle(headers[name]);
  const idText = read(CALLER_HEADERS.requestId);
  const id = idText === undefined ? undefined : parseRequestId(idText);
  if (idText !== undefined && id === undefined) {
    return fail(CALLER_HEADERS.requestId, "1 to 160 of A-Z a-z 0-9 . _ ~ -");
  }
  const idempotent = read(CALLER_HEADERS.idempotent) ?? "false";
  if (idempotent !== "true" && idempotent !== "false") {
    return fail(CALLER_HEADERS.idempotent, "true or false");
  }
  const deadline = read(CALLER_HEADERS.deadlineMs);
  if (deadline !== undefined && !isCount(deadline, MAX_DEADLINE)) {
    return fail(
      CALLER_HEADERS.deadlineMs,
      `a number from 1 to ${MAX_DEADLINE}`,
    );
  }
  const attempt = read(CALLER_HEADERS.attempt);
  if (attempt !== undefined && !COUNT_PATTERN.test(attempt)) {
    return fail(CALLER_HEADERS.attempt, "a number from 1");
  }
  return Result.ok({
    account: credentials.account,
    id,
    className: read(CALLER_HEADERS.className),
    deadlineMs: deadline === undefined ? undefined : Number(deadline),
    isIdempotent: idempotent === "true",
    // An id that the entry generates cannot have been sent before.
    isFirstAttempt: id === undefined || attempt === "1",
    wantsStream: (headers.accept ?? "").includes("text/event-stream"),
  });
}

/** Creates the refusal that unknown accounts and wrong keys share. */
export function failUnauthorized(): Failure {
  return createFailure("unauthorized", {
    verdict: "not_run",
    message: "the account is unknown or its key is wrong",
  });
}

/** Creates the refusal of malformed input. */
export function failMalformed(message: string): Failure {
  return createFailure("malformed", { verdict: "not_run", message });
}

function fail(header: string, allowed: string): Result<never, Failure> {
  return Result.err(
    failMalformed(`header ${header} is malformed; allowed: ${allowed}`),
  );
}

function readSingle(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value.join(",") : value;
}

function isCount(text: string, max: number): boolean {
  return COUNT_PATTERN.test(text) && Number(text) <= max;
}
