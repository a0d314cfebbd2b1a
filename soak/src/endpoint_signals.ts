/**
 * Back-pressure signals of the soak test's endpoints, and a check from the
 * requests that reached them whether entries complied.
 *
 * @module
 */

/** Signals that an endpoint sends in its responses for some time. */
export interface SoakSignals {
  /** Requests per second that it accepts from all entries together. */
  limit?: number;
  isLeaving?: true;
  /** It refuses all requests and asks for a pause of this many milliseconds. */
  pause?: number;
  /** It falls over if it rejects more requests than this within a second. */
  brittle?: { rejectLimit: number; since: number };
  /** It fails this share of what it gets. */
  failing?: { share: number; how: FailureMode };
}

/** What a failing endpoint does with a request. */
export type FailureMode =
  /** It runs it and answers 500. */
  | "error"
  /** It runs it and resets the connection. */
  | "reset"
  /** It refuses it. */
  | "full"
  /** It sends bytes that are no answer until the connection is closed. */
  | "endless";

/** A request as its caller sent it. */
export interface SentRequest {
  /** The caller address of the entry that received it. */
  entry: string;
  sentAt: number;
  /** The pool that serves its route. */
  pool: string;
  /** Milliseconds that its caller waits. */
  budget: number;
}

/** A request that reached an endpoint, whether run or refused. */
export interface ObservedArrival {
  /** Endpoint key with the incarnation. */
  endpoint: string;
  requestId: string;
  at: number;
  /** Milliseconds that it is told to have; undefined if it is told none. */
  deadline?: number;
  /** Signals in its response. */
  signals: SoakSignals;
  /** When the response headers were sent; undefined before. */
  respondedAt?: number;
  /** It was rejected for want of room. */
  isRejected?: true;
}

/** A period in which a fault affected an entry, by its caller address. */
export interface EntryFaultSpan {
  entry: string;
  /** A stopped or paused process loses or misses signals. */
  kind: "stopped" | "cut";
  from: number;
  until: number;
}

/** Requests and faults that the checks depend on. */
export interface SignalContext {
  /** The entry that received a request, and when its caller sent it. */
  requests: ReadonlyMap<string, { entry: string; sentAt: number }>;
  entryFaults: readonly EntryFaultSpan[];
}

/** Time from the first limit signal until the limit must be respected. */
const SETTLE_MS = 3_000;
/** Time that an entry has to react to a signal. */
const REACTION_MS = 500;
const SPAN_MS = 4_000;
const DRAIN_MS = 2_000;
/** Requests of one entry that may reach an endpoint within its pause. */
const ALLOWED_IN_PAUSE = 2;

/** Times that one endpoint may fall over while it is brittle. */
const ALLOWED_FALLS = 2;
/** Rejections of an entry with a fault this long before do not count. */
const FAULT_SETTLE_MS = 3_000;

interface MatchedArrival extends ObservedArrival {
  entry: string;
  sentAt: number;
}

/** Describes where entries ignored the signals of endpoints. */
export function listIgnoredSignals(
  arrivals: readonly ObservedArrival[],
  context: SignalContext,
): string[] {
  const matched = arrivals.flatMap((arrival) => {
    const request = context.requests.get(arrival.requestId);
    return request === undefined ? [] : [{ ...arrival, ...request }];
  });
  const endpoints = new Set(matched.map(({ endpoint }) => endpoint));
  return [...endpoints].flatMap((endpoint) => {
    const list = matched.filter((arrival) => arrival.endpoint === endpoint);
    return [
      ...listAboveLimit(list, context),
      ...listAfterLeaving(list, context),
      ...listInPause(list, context),
      ...listFalls(list, context),
    ];
  });
}

function hasFault(
  entry: string,
  { entryFaults }: SignalContext,
  { from, until, kinds }: {
    from: number;
    until: number;
    kinds: readonly EntryFaultSpan["kind"][];
  },
): boolean {
  return entryFaults.some((span) =>
    span.entry === entry && kinds.includes(span.kind) && span.from < until &&
    span.until > from
  );
}

/** Groups arrivals by the periods in which an endpoint reported a limit. */
function listLimitedPeriods(
  list: readonly MatchedArrival[],
): MatchedArrival[][] {
  const periods: MatchedArrival[][] = [];
  let isOpen = false;
  for (const arrival of list) {
    const isLimited = arrival.signals.limit !== undefined;
    if (isLimited && !isOpen) periods.push([]);
    if (isLimited) periods.at(-1)?.push(arrival);
    isOpen = isLimited;
  }
  return periods;
}

function listAboveLimit(
  list: readonly MatchedArrival[],
  context: SignalContext,
): string[] {
  return listLimitedPeriods(list).flatMap((period) => {
    const [first] = period;
    const limit = first?.signals.limit;
    if (first === undefined || limit === undefined) return [];
    const max = countMaxInformed(period, {
      from: first.at + SETTLE_MS,
      context,
    });
    const allowed = 1.5 * limit * SPAN_MS / 1_000 + 5;
    if (max <= allowed) return [];
    return [`${max} requests reached ${first.endpoint}, allowed ${allowed}`];
  });
}

/** Counts the most arrivals within a span from entries that had time to react. */
function countMaxInformed(
  period: readonly MatchedArrival[],
  { from, context }: { from: number; context: SignalContext },
): number {
  const counted = period.filter(({ entry, at }) => {
    const signalled = period.find((other) =>
      other.entry === entry &&
      (other.respondedAt ?? Infinity) + REACTION_MS <= at
    );
    if (at < from || signalled === undefined) return false;
    const isStopped = hasFault(entry, context, {
      from: signalled.at,
      until: at,
      kinds: ["stopped"],
    });
    // Requests delayed by a link fault arrive after it and count for a span.
    const isDelayed = hasFault(entry, context, {
      from: at - SPAN_MS,
      until: at,
      kinds: ["cut"],
    });
    return !isStopped && !isDelayed;
  });
  const counts = counted.map(({ at: start }) =>
    counted.filter(({ at }) => at >= start && at < start + SPAN_MS).length
  );
  return Math.max(0, ...counts);
}

function listAfterLeaving(
  list: readonly MatchedArrival[],
  context: SignalContext,
): string[] {
  return list.flatMap(({ requestId, endpoint, entry, sentAt, at }) => {
    const signalled = list.find((other) =>
      other.entry === entry && other.signals.isLeaving === true &&
      (other.respondedAt ?? Infinity) + DRAIN_MS < sentAt
    );
    const isExcused = signalled === undefined || hasFault(entry, context, {
      from: signalled.at,
      until: at,
      kinds: ["stopped"],
    });
    return isExcused ? [] : [
      `${requestId} reached ${endpoint} after its entry was notified of the leaving`,
    ];
  });
}

function listInPause(
  list: readonly MatchedArrival[],
  context: SignalContext,
): string[] {
  return list.flatMap(({ endpoint, entry, respondedAt, signals }) => {
    if (signals.pause === undefined || respondedAt === undefined) return [];
    const until = respondedAt + signals.pause;
    const within = list.filter((other) =>
      other.entry === entry && other.at >= respondedAt + REACTION_MS &&
      other.at < until
    );
    const isExcused = hasFault(entry, context, {
      from: respondedAt,
      until,
      kinds: ["stopped", "cut"],
    });
    return within.length <= ALLOWED_IN_PAUSE || isExcused
      ? []
      : [`${within.length} requests reached ${endpoint} during its pause`];
  });
}

/** Counts how often an endpoint would have fallen over while it was brittle. */
function listFalls(
  list: readonly MatchedArrival[],
  context: SignalContext,
): string[] {
  let falls = 0;
  let recent: number[] = [];
  for (const { at, entry, signals, isRejected } of list) {
    if (signals.brittle === undefined || isRejected === undefined) continue;
    const isExcused = hasFault(entry, context, {
      from: at - FAULT_SETTLE_MS,
      until: at,
      kinds: ["stopped", "cut"],
    });
    if (isExcused) continue;
    recent = [...recent.filter((other) => at - other < 1_000), at];
    if (recent.length <= signals.brittle.rejectLimit) continue;
    falls++;
    recent = [];
  }
  if (falls <= ALLOWED_FALLS) return [];
  return [`the brittle endpoint ${list[0]?.endpoint} fell over ${falls} times`];
}
