/**
 * Calls of an entry without the embedded client, for tests.
 *
 * @module
 */
import { CALLER_HEADERS } from "@mangoreach/callers";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_KEYS } from "./local_site.ts";

/** The text of the request. */
export const DRAFT_TEXT = "a complaint about a water bill";

/** A POST of the pipeline request that the tests of the path use. */
export function createDraftCall(
  site: LocalSite,
  path: string,
  entry = site.entries[0],
  account: keyof typeof LOCAL_KEYS = "handlers",
) {
  return {
    method: "POST" as const,
    address: entry?.callerAddress ?? "",
    path,
    headers: {
      authorization: `Bearer ${account}:${LOCAL_KEYS[account]}`,
      [CALLER_HEADERS.className]: "rulings",
      [CALLER_HEADERS.idempotent]: "true",
    } as Record<string, string>,
    body: JSON.stringify({ text: DRAFT_TEXT }),
  };
}
