/**
 * Creates calls to an entry without the embedded client, for tests.
 *
 * @module
 */
import { CALLER_HEADERS } from "@mangoreach/callers";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_KEYS } from "./local_site.ts";

/** Text of the draft request. */
export const DRAFT_TEXT = "a complaint about a water bill";

/** Creates a POST call with the pipeline request of the end-to-end tests. */
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
