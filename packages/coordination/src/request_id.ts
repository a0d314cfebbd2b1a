/**
 * Request ids. Callers choose them; the form of an id decides how a
 * non-idempotent request is kept from running twice (docs/design/at_most_once.md).
 *
 * - bound: `b~<incarnation>~<expiry, base 36>~<caller's part>`. Only the entry
 *   incarnation named in it may run the request.
 * - dated: a UUIDv7 (RFC 9562, section 5.7). It is claimed in the log, and its
 *   time tells whether the claims still kept can prove anything.
 * - plain: anything else; fit for idempotent requests only.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** What the form of an id says. */
export type RequestId =
  | { kind: "bound"; text: string; incarnation: string; expiresAt: Millis }
  | { kind: "dated"; text: string; issuedAt: Millis }
  | { kind: "plain"; text: string };

/** A client account together with an id: the identity of a request. */
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

/** Parses an id; undefined when it is malformed. */
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

/** The prefix that binds an id to an entry incarnation. */
export function formatBinding(incarnation: string, expiresAt: Millis): string {
  return `${BOUND_PREFIX}${incarnation}~${
    Math.floor(expiresAt).toString(RADIX)
  }`;
}

/** Joins a binding and the caller's part to a bound id. */
export function formatBoundId(binding: string, callerPart: string): string {
  return `${binding}~${callerPart}`;
}

/** A map key for a request; accounts cannot contain the separator. */
export function formatRequestKey({ account, id }: RequestKey): string {
  return `${account}/${id}`;
}
