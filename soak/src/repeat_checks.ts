/**
 * Checks that repeats of requests stay within their bounds, summed over all
 * entries, from what callers sent and endpoints received.
 *
 * @module
 */
import type {
  EntryFaultSpan,
  ObservedArrival,
  SentRequest,
} from "./endpoint_signals.ts";
import type { StoreFaultSpan } from "./guarantees.ts";
import type { RunLog } from "./soak_endpoints.ts";

/** A piece of stage work that reached an endpoint. */
export interface PieceArrival {
  /** Request id, stage and number of the piece. */
  piece: string;
  at: number;
}

/** What the checks go by besides arrivals and runs. */
export interface RepeatContext {
  /** All requests of callers by id. */
  requests: ReadonlyMap<string, SentRequest>;
  entryFaults: readonly EntryFaultSpan[];
  storeFaults: readonly StoreFaultSpan[];
  /** When endpoints ended, by their key. */
  endpointEnds: ReadonlyMap<string, number>;
}

/** Window in which repeats are summed. */
const WINDOW_MS = 10_000;
const REPEAT_SHARE = 0.2;
const REPEAT_SLACK = 56;
/** Attempts that routes of the soak permit at most. */
const MAX_ATTEMPTS = 2;
const ALLOWED_EXCESS_RUNS = 3;
/** How much later than its caller's deadline a request may be told to end. */
const TIME_SLACK_MS = 500;
const ALLOWED_LATE = 20;
const ALLOWED_LATE_SHARE = 0.2;
/** Entries and the store count as sound this long after a fault. */
const SETTLE_MS = 3_000;
/** Arrivals of a cause of crashes after it is to be known. */
const ALLOWED_CRASHES = 3;

/** Prefixes of the ids of requests that crash endpoints, and their crashes. */
export const CRASHES_TO_KNOW: ReadonlyMap<string, number> = new Map([
  ["content-", 3],
  ["poison-", 5],
]);

/** Describes each bound that repeats went beyond. */
export function listRepeatViolations(
  arrivals: readonly ObservedArrival[],
  runs: RunLog,
  context: RepeatContext,
): string[] {
  return [
    ...listExcessRepeats(arrivals, context),
    ...listExcessRuns(runs, context),
    ...listExcessTime(arrivals, context),
    ...listCrashRepeats(arrivals, context),
  ];
}

/** Returns the pool of a serving endpoint from its key. */
function readPool(endpoint: string): string {
  return endpoint.split("-")[1] ?? "";
}

function countWithin(
  times: readonly number[],
  [from, until]: readonly [number, number],
): number {
  return times.filter((at) => at > from && at <= until).length;
}

/** Counts the repeats of the worst window and what is allowed in it. */
export function measureWorstWindow(
  repeats: readonly number[],
  requests: readonly number[],
): { repeats: number; allowed: number } {
  const windows = repeats.map((end) => {
    const before = [0, WINDOW_MS / 2, WINDOW_MS].map((shift) =>
      countWithin(requests, [end - shift - WINDOW_MS, end - shift])
    );
    return {
      repeats: countWithin(repeats, [end - WINDOW_MS, end]),
      allowed: REPEAT_SHARE * Math.max(...before) + REPEAT_SLACK,
    };
  });
  const excess = (window: { repeats: number; allowed: number }) =>
    window.repeats - window.allowed;
  return windows.reduce(
    (worst, window) => excess(window) > excess(worst) ? window : worst,
    { repeats: 0, allowed: REPEAT_SLACK },
  );
}

/** Lists the times of arrivals that are not the first with their name. */
export function listRepeats(
  arrivals: readonly { name: string; at: number }[],
): number[] {
  const seen = new Set<string>();
  return arrivals.flatMap(({ name, at }) => {
    if (seen.has(name)) return [at];
    seen.add(name);
    return [];
  });
}

function listExcessRepeats(
  arrivals: readonly ObservedArrival[],
  { requests }: RepeatContext,
): string[] {
  const pools = new Set(arrivals.map(({ endpoint }) => readPool(endpoint)));
  return [...pools].flatMap((pool) => {
    const repeats = listRepeats(
      arrivals.filter(({ endpoint }) => readPool(endpoint) === pool)
        .map(({ requestId, at }) => ({ name: requestId, at })),
    );
    const sent = [...requests.values()].filter((one) => one.pool === pool)
      .map(({ sentAt }) => sentAt);
    const worst = measureWorstWindow(repeats, sent);
    return worst.repeats <= worst.allowed ? [] : [
      `${pool} got ${worst.repeats} repeats in 10 s, allowed ${worst.allowed}`,
    ];
  });
}

function listExcessRuns(
  runs: RunLog,
  { requests, endpointEnds }: RepeatContext,
): string[] {
  const excess = [...runs].filter(([id, list]) => {
    const sentAt = requests.get(id)?.sentAt ?? Infinity;
    const sound = list.filter(({ endpoint }) =>
      (endpointEnds.get(endpoint) ?? -Infinity) < sentAt
    );
    return new Set(sound.map(({ endpoint }) => endpoint)).size > MAX_ATTEMPTS;
  });
  return excess.length <= ALLOWED_EXCESS_RUNS ? [] : [
    `${excess.length} requests ran at more than ${MAX_ATTEMPTS} endpoints`,
  ];
}

/** Whether an entry and the store were sound for a while before `at`. */
function isSettled(
  { entry, at }: { entry: string; at: number },
  { entryFaults, storeFaults }: RepeatContext,
): boolean {
  const isNear = ({ from, until }: { from: number; until: number }) =>
    from <= at && until + SETTLE_MS > at;
  return !entryFaults.some((span) => span.entry === entry && isNear(span)) &&
    !storeFaults.some(isNear);
}

function listExcessTime(
  arrivals: readonly ObservedArrival[],
  context: RepeatContext,
): string[] {
  const firstEnds = new Map<string, { at: number; end: number }>();
  let late = 0;
  let lateRepeats = 0;
  for (const { requestId, at, deadline } of arrivals) {
    const sent = context.requests.get(requestId);
    if (sent === undefined) continue;
    if (!isSettled({ entry: sent.entry, at }, context)) continue;
    const first = firstEnds.get(requestId);
    const end = at + (deadline ?? Infinity);
    if (first === undefined) {
      firstEnds.set(requestId, { at, end });
      if (!((deadline ?? Infinity) <= sent.budget + TIME_SLACK_MS)) late++;
    } else if (at - first.at > TIME_SLACK_MS) {
      lateRepeats++;
      const latest = Math.max(first.end, sent.sentAt + sent.budget);
      if (end > latest + TIME_SLACK_MS) late++;
    }
  }
  const isExcess = late > ALLOWED_LATE &&
    late > ALLOWED_LATE_SHARE * (late + lateRepeats);
  return isExcess
    ? [`${late} requests were handed on with more time than was left`]
    : [];
}

function listCrashRepeats(
  arrivals: readonly ObservedArrival[],
  context: RepeatContext,
): string[] {
  return [...CRASHES_TO_KNOW].flatMap(([prefix, crashes]) => {
    const reached = arrivals.filter(({ requestId }) =>
      requestId.startsWith(prefix)
    );
    const knownAt = reached[crashes - 1]?.at ?? Infinity;
    const later = reached.filter(({ requestId, at }) => {
      const sent = context.requests.get(requestId);
      return sent !== undefined && sent.sentAt > knownAt + SETTLE_MS &&
        isSettled({ entry: sent.entry, at }, context);
    });
    return later.length <= ALLOWED_CRASHES ? [] : [
      `${later.length} requests ${prefix} reached endpoints after ${crashes} ` +
      "crashes",
    ];
  });
}
