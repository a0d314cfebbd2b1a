/**
 * What endpoints of the soak say of the work that they take, and whether entries
 * kept to it, judged from what reached the endpoints.
 *
 * @module
 */

/** What an endpoint says in its answers for a while. */
export interface SoakSignals {
  /** Requests a second that it takes from all entries together. */
  limit?: number;
  isLeaving?: true;
  /** It turns all away and asks for so long, in milliseconds. */
  pause?: number;
}

/** A request as it reached an endpoint, run or not. */
export interface SeenArrival {
  /** Id and start of the endpoint. */
  endpoint: string;
  requestId: string;
  at: number;
  /** What the answer to it said. */
  signals: SoakSignals;
  /** When the head of that answer was sent; undefined before. */
  answeredAt?: number;
}

/** A time during which an entry was harmed, by its caller address. */
export interface HarmedSpan {
  entry: string;
  /** A process that ends or stands still forgets or misses what it was told. */
  kind: "stopped" | "cut";
  from: number;
  until: number;
}

/** What else has to be known. */
export interface SignalContext {
  /** The entry that took a request, and when its caller sent it. */
  requests: ReadonlyMap<string, { entry: string; sentAt: number }>;
  harmed: readonly HarmedSpan[];
}

/** From naming a limit until it must be kept. */
const SETTLE_MS = 3_000;
/** An entry that was told this long ago keeps to it. */
const TOLD_MS = 500;
const SPAN_MS = 4_000;
const DRAIN_MS = 2_000;
/** Requests of one entry that may reach an endpoint within its pause. */
const ALLOWED_IN_PAUSE = 2;

interface JudgedArrival extends SeenArrival {
  entry: string;
  sentAt: number;
}

/** Where entries did not keep to what endpoints had told them. */
export function listIgnoredSignals(
  arrivals: readonly SeenArrival[],
  context: SignalContext,
): string[] {
  const judged = arrivals.flatMap((arrival) => {
    const request = context.requests.get(arrival.requestId);
    return request === undefined ? [] : [{ ...arrival, ...request }];
  });
  const endpoints = new Set(judged.map(({ endpoint }) => endpoint));
  return [...endpoints].flatMap((endpoint) => {
    const list = judged.filter((arrival) => arrival.endpoint === endpoint);
    return [
      ...listAboveLimit(list, context),
      ...listAfterLeaving(list, context),
      ...listInPause(list, context),
    ];
  });
}

function isHarmed(
  entry: string,
  { harmed }: SignalContext,
  { from, until, kinds }: {
    from: number;
    until: number;
    kinds: readonly HarmedSpan["kind"][];
  },
): boolean {
  return harmed.some((span) =>
    span.entry === entry && kinds.includes(span.kind) && span.from < until &&
    span.until > from
  );
}

/** The stretches of arrivals during which an endpoint named a limit. */
function listLimitedStretches(
  list: readonly JudgedArrival[],
): JudgedArrival[][] {
  const stretches: JudgedArrival[][] = [];
  let isOpen = false;
  for (const arrival of list) {
    const isLimited = arrival.signals.limit !== undefined;
    if (isLimited && !isOpen) stretches.push([]);
    if (isLimited) stretches.at(-1)?.push(arrival);
    isOpen = isLimited;
  }
  return stretches;
}

function listAboveLimit(
  list: readonly JudgedArrival[],
  context: SignalContext,
): string[] {
  return listLimitedStretches(list).flatMap((stretch) => {
    const [first] = stretch;
    const limit = first?.signals.limit;
    if (first === undefined || limit === undefined) return [];
    const most = countMostTold(stretch, {
      from: first.at + SETTLE_MS,
      context,
    });
    const allowed = 1.5 * limit * SPAN_MS / 1_000 + 5;
    if (most <= allowed) return [];
    return [`${most} requests reached ${first.endpoint}, allowed ${allowed}`];
  });
}

/** The most within a span from entries that had been told long enough. */
function countMostTold(
  stretch: readonly JudgedArrival[],
  { from, context }: { from: number; context: SignalContext },
): number {
  const counted = stretch.filter(({ entry, at }) => {
    const told = stretch.find((other) =>
      other.entry === entry && (other.answeredAt ?? Infinity) + TOLD_MS <= at
    );
    if (at < from || told === undefined) return false;
    const isStopped = isHarmed(entry, context, {
      from: told.at,
      until: at,
      kinds: ["stopped"],
    });
    // What a cut holds up arrives behind it, and counts for a span.
    const isCut = isHarmed(entry, context, {
      from: at - SPAN_MS,
      until: at,
      kinds: ["cut"],
    });
    return !isStopped && !isCut;
  });
  const counts = counted.map(({ at: start }) =>
    counted.filter(({ at }) => at >= start && at < start + SPAN_MS).length
  );
  return Math.max(0, ...counts);
}

function listAfterLeaving(
  list: readonly JudgedArrival[],
  context: SignalContext,
): string[] {
  return list.flatMap(({ requestId, endpoint, entry, sentAt, at }) => {
    const told = list.find((other) =>
      other.entry === entry && other.signals.isLeaving === true &&
      (other.answeredAt ?? Infinity) + DRAIN_MS < sentAt
    );
    const isExcused = told === undefined || isHarmed(entry, context, {
      from: told.at,
      until: at,
      kinds: ["stopped"],
    });
    return isExcused ? [] : [
      `${requestId} reached ${endpoint}, which had told its entry it leaves`,
    ];
  });
}

function listInPause(
  list: readonly JudgedArrival[],
  context: SignalContext,
): string[] {
  return list.flatMap(({ endpoint, entry, answeredAt, signals }) => {
    if (signals.pause === undefined || answeredAt === undefined) return [];
    const until = answeredAt + signals.pause;
    const within = list.filter((other) =>
      other.entry === entry && other.at >= answeredAt + TOLD_MS &&
      other.at < until
    );
    const isExcused = isHarmed(entry, context, {
      from: answeredAt,
      until,
      kinds: ["stopped", "cut"],
    });
    return within.length <= ALLOWED_IN_PAUSE || isExcused
      ? []
      : [`${within.length} requests reached ${endpoint} in a pause`];
  });
}
