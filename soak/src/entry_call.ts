/**
 * Single requests to an entry.
 *
 * @module
 */
import { request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";

/** One request. */
export interface EntryCall {
  /** Route and the rest of the path, without a slash before it. */
  path: string;
  id: string;
  body?: string;
}

/** What an entry answered. */
export interface EntryAnswer {
  status: number;
  /** In seconds; 0 if the entry names no time. */
  retryAfter: number;
}

const DEADLINE_MS = 2_000;

/** Further headers of a request whose route has stages, of one piece each. */
export const STAGE_HEADERS: Readonly<Record<string, string>> = {
  [HEADER.pieceCounts]: "1,0",
  [HEADER.pieceKey]: "abc",
};

/** Creates the headers of a request of the account that is never revoked. */
export function createCallHeaders(
  id: string,
  deadlineMs: number,
): Record<string, string> {
  return {
    host: "soak.example",
    authorization: "Bearer key-1",
    [HEADER.requestId]: id,
    [HEADER.deadline]: String(deadlineMs),
  };
}

/** Sends a request to `ip:port` and reads the answer to its end. */
export async function callEntry(
  address: string,
  { path, id, body }: EntryCall,
): Promise<EntryAnswer> {
  const reply = await request(`http://${address}/${path}`, {
    method: "POST",
    ...(body === undefined ? {} : { body }),
    headers: createCallHeaders(id, DEADLINE_MS),
  });
  await reply.body.dump();
  const retryAfter = Number(reply.headers[HEADER.retryAfter] ?? 0);
  return { status: reply.statusCode, retryAfter };
}
