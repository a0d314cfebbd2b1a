/**
 * Identifies requests by their content, independent of their ids: a client may
 * send the same content again under another id and to another entry.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** The parts of a request that make up its content. */
export interface RequestContent {
  /** The client account; undefined if the site has none. */
  account: string | undefined;
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Buffer;
}

/**
 * Characters of a digest. 96 bits make a collision within a site negligible.
 */
const DIGEST_LENGTH = 16;

/** Computes a digest that does not reveal the content. */
export function computeContentDigest(
  { account, method, host, target, body }: RequestContent,
): string {
  return createHash("sha256")
    .update(JSON.stringify([account ?? null, method, host, target]))
    .update(body)
    .digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
