/**
 * Decides whether the head of an HTTP/1 response is one, and tells what delimits
 * its body.
 *
 * The parsers of node:http and undici refuse malformed lines, but accept
 * statuses, versions and transfer codings that HTTP/1.1 does not have. All
 * clients read heads through this module.
 *
 * @module
 */
import { Result } from "true-myth";
import type { HttpHeaders } from "./http_client.ts";

/**
 * What marks the end of a body: its length, its last chunk, or only the end of
 * the connection, which may also come too early.
 */
export type BodyDelimiter = "length" | "chunks" | "connection";

/** The head of a final response, as a parser returns it. */
export interface AnswerHead {
  /** Method of the request. */
  method: string;
  /** Such as `1.1`; undici does not tell. */
  version?: string;
  status: number;
  headers: HttpHeaders;
}

const VERSIONS: ReadonlySet<string> = new Set(["1.0", "1.1"]);
/** The oldest version has no transfer codings. */
const VERSION_WITHOUT_CODINGS = "1.0";
/** Lower ones are provisional. */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/**
 * Reads a head (RFC 9110, section 15; RFC 9112, sections 6 and 7); an error
 * tells what is malformed.
 */
export function readAnswerHead(
  { method, version, status, headers }: AnswerHead,
): Result<BodyDelimiter, string> {
  if (version !== undefined && !VERSIONS.has(version)) {
    return Result.err(`version ${version} is not HTTP/1`);
  }
  const isStatus = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  if (!isStatus) return Result.err(`status ${status} is invalid`);
  const coding = headers["transfer-encoding"];
  if (coding !== undefined) {
    if (String(coding).toLowerCase() !== "chunked") {
      return Result.err("the transfer coding is unknown");
    }
    if (version === VERSION_WITHOUT_CODINGS) {
      return Result.err("the version has no transfer codings");
    }
  }
  if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(status)) {
    return Result.ok("length");
  }
  if (coding !== undefined) return Result.ok("chunks");
  const hasLength = headers["content-length"] !== undefined;
  return Result.ok(hasLength ? "length" : "connection");
}
