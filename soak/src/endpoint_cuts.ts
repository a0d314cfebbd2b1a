/**
 * Entries of the soak test that lose their connections to all endpoints, and a
 * check from the results of callers whether they were served all the same.
 *
 * @module
 */
import type { EntryFaultSpan } from "./endpoint_signals.ts";
import type { CallResult } from "./soak_callers.ts";

/** What happens to connections to endpoints. */
export type CutMode =
  /** Open and new connections get no response. */
  | "hang"
  /** Open connections are reset, new ones are refused. */
  | "reset"
  /** Open connections continue, new ones are refused. */
  | "refuse";

/** The modes, for selection by number. */
export const CUT_MODES: readonly CutMode[] = ["hang", "reset", "refuse"];

/** A period in which an entry, by its caller address, reached no endpoint. */
export interface EndpointCut {
  entry: string;
  from: number;
  until: number;
}

/** Time from the begin of a cut until callers must be served again. */
export const CUT_SETTLE_MS = 3_000;
/** Cut entries must serve at least this share of what the others serve. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** Failures at cut entries that are always allowed, and per request. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/**
 * Lists the cuts whose entries had no other fault meanwhile, or so shortly
 * before that they may not have settled.
 */
export function listSoundCuts(
  cuts: readonly EndpointCut[],
  faults: readonly EntryFaultSpan[],
): EndpointCut[] {
  return cuts.filter((cut) =>
    !faults.some(({ entry, from, until }) =>
      entry === cut.entry && from < cut.until &&
      until + CUT_SETTLE_MS > cut.from
    )
  );
}

/** Requests and how many of them were served. */
export interface ServedCount {
  sent: number;
  served: number;
}

/** Counts the requests that were sent while some entries were cut. */
export function countAtCuts(
  results: readonly CallResult[],
  cuts: readonly EndpointCut[],
): { cut: ServedCount; others: ServedCount } {
  const cut = { sent: 0, served: 0 };
  const others = { sent: 0, served: 0 };
  for (const { entry, sentAt, status } of results) {
    const settled = cuts.filter(({ from, until }) =>
      sentAt >= from + CUT_SETTLE_MS && sentAt < until
    );
    if (settled.length === 0) continue;
    const isCut = settled.some((one) => one.entry === entry);
    const isStillSettling = !isCut &&
      cuts.some((one) =>
        one.entry === entry && sentAt >= one.from && sentAt < one.until
      );
    if (isStillSettling) continue;
    const count = isCut ? cut : others;
    count.sent++;
    if (status === 200) count.served++;
  }
  return { cut, others };
}

/** Describes where callers of cut entries were served far worse than others. */
export function listCutViolations(
  results: readonly CallResult[],
  cuts: readonly EndpointCut[],
): string[] {
  const { cut, others } = countAtCuts(results, cuts);
  if (cut.sent === 0 || others.sent === 0) return [];
  const failed = cut.sent - cut.served;
  const allowed = ALLOWED_FAILURES +
    ALLOWED_FAILURE_SHARE * (cut.sent + others.sent);
  const isFarWorse = cut.served / cut.sent <
    MIN_RELATIVE_SHARE * others.served / others.sent;
  if (!isFarWorse || failed <= allowed) return [];
  return [
    `entries that reach no endpoint served ${cut.served} of ${cut.sent} ` +
    `requests, the others ${others.served} of ${others.sent}`,
  ];
}
