/**
 * What a request asks for, apart from the id of its attempt: the same content
 * comes again under another id, at another entry.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** What makes two requests the same but for their ids. */
export interface RequestContent {
  /** The client account; undefined where there are none. */
  account: string | undefined;
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Buffer;
}

/** Characters of a digest, 96 bits: no two contents of a site share one. */
const DIGEST_LENGTH = 16;

/** Computes the digest of a content; it gives nothing of it away. */
export function computeContentDigest(
  { account, method, host, target, body }: RequestContent,
): string {
  return createHash("sha256")
    .update(JSON.stringify([account ?? null, method, host, target]))
    .update(body)
    .digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
