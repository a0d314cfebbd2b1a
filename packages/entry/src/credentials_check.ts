/**
 * Checks keys in constant time, so that response times reveal nothing about them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Credentials } from "@mangoreach/callers";

/** Authenticates senders. */
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

/** Creates the credentials check of an entry. */
export function createCredentialsCheck(
  { accounts, siteKey, operatorKey }: CredentialsCheckOptions,
): CredentialsCheck {
  const keys = new Map(
    accounts.map(({ name, key }) => [name, computeHash(key)]),
  );
  // An unknown account is compared too, so that its check takes the same time.
  const placeholderHash = computeHash("");
  const siteHash = computeHash(siteKey);
  const operatorHash = computeHash(operatorKey);
  return {
    isAccount({ account, key }) {
      const expected = keys.get(account);
      const isEqual = timingSafeEqual(
        computeHash(key),
        expected ?? placeholderHash,
      );
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
