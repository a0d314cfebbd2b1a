/**
 * Request ids, which callers choose. The format of an id determines how a
 * non-idempotent request is prevented from running twice
 * (docs/design/at_most_once.md).
 *
 * - bound: `b~<incarnation>~<expiry, base 36>~<caller's part>`. Only the entry
 *   incarnation named in it may run the request.
 * - dated: a UUIDv7 (RFC 9562, section 5.7). It is claimed in the log, and its
 *   timestamp tells whether its claim would still be among those kept.
 * - plain: anything else; for idempotent requests only.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** A parsed request id. */
export type RequestId =
  | { kind: "bound"; text: string; incarnation: string; expiresAt: Millis }
  | { kind: "dated"; text: string; issuedAt: Millis }
  | { kind: "plain"; text: string };

/** Identifies a request: a client account and a request id. */
export interface RequestKey {
  account: string;
  id: string;
}

const ID_PATTERN = /^[A-Za-z0-9._~-]{1,160}$/;
const BOUND_PATTERN =
  /^b~([A-Za-z0-9.-]{1,80})~([0-9a-z]{1,11})~([A-Za-z0-9._-]{1,64})$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const BOUND_PREFIX = "b~";
const RADIX = 36;

/** Parses an id; returns undefined if it is malformed. */
export function parseRequestId(text: string): RequestId | undefined {
  if (!ID_PATTERN.test(text)) return undefined;
  if (text.startsWith(BOUND_PREFIX)) return parseBoundId(text);
  const uuid = UUID_V7_PATTERN.exec(text);
  if (uuid === null) return { kind: "plain", text };
  return { kind: "dated", text, issuedAt: parseInt(uuid[1]! + uuid[2]!, 16) };
}

function parseBoundId(text: string): RequestId | undefined {
  const match = BOUND_PATTERN.exec(text);
  if (match === null) return undefined;
  const expiresAt = parseInt(match[2]!, RADIX);
  return { kind: "bound", text, incarnation: match[1]!, expiresAt };
}

/** Formats the prefix that binds an id to an entry incarnation. */
export function formatBinding(incarnation: string, expiresAt: Millis): string {
  return `${BOUND_PREFIX}${incarnation}~${
    Math.floor(expiresAt).toString(RADIX)
  }`;
}

/** Formats a bound id from its binding and the caller's part. */
export function formatBoundId(binding: string, callerPart: string): string {
  return `${binding}~${callerPart}`;
}

/** Formats a map key; unambiguous, as accounts cannot contain the separator. */
export function formatRequestKey({ account, id }: RequestKey): string {
  return `${account}/${id}`;
}
