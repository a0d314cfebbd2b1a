/**
 * Checks keys in constant time, so that the time of an answer tells nothing
 * about a key.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Credentials } from "@mangoreach/callers";

/** Checks who sends. */
export interface CredentialsCheck {
  isAccount(credentials: Credentials): boolean;
  isPeer(request: IncomingMessage): boolean;
  isOperator(request: IncomingMessage): boolean;
}

/** Keys from the settings. */
export interface CredentialsCheckOptions {
  accounts: readonly { name: string; key: string }[];
  siteKey: string;
  operatorKey: string;
}

const BEARER = "Bearer ";

/** Creates the check. */
export function createCredentialsCheck(
  { accounts, siteKey, operatorKey }: CredentialsCheckOptions,
): CredentialsCheck {
  const keys = new Map(
    accounts.map(({ name, key }) => [name, computeHash(key)]),
  );
  // An unknown account is compared too: its answer takes as long as the others.
  const noKey = computeHash("");
  const siteHash = computeHash(siteKey);
  const operatorHash = computeHash(operatorKey);
  return {
    isAccount({ account, key }) {
      const expected = keys.get(account);
      const isEqual = timingSafeEqual(computeHash(key), expected ?? noKey);
      return isEqual && expected !== undefined;
    },
    isPeer: (request) => hasBearer(request, siteHash),
    isOperator: (request) => hasBearer(request, operatorHash),
  };
}

function computeHash(key: string): Buffer {
  return createHash("sha256").update(key).digest();
}

function hasBearer(request: IncomingMessage, expected: Buffer): boolean {
  const header = request.headers.authorization ?? "";
  if (!header.startsWith(BEARER)) return false;
  return timingSafeEqual(computeHash(header.slice(BEARER.length)), expected);
}
