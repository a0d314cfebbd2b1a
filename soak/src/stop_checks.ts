/**
 * Checks what callers and endpoints saw of requests around the stop of an entry.
 *
 * @module
 */
import type { ObservedRequest } from "./stop_callers.ts";

/** A request at an endpoint. Times are milliseconds of the clock. */
export interface ObservedStopRun {
  at: number;
  /** When the endpoint had sent all of it, or its connection closed. */
  endedAt: number;
  isWhole: boolean;
  /** Events that the endpoint has sent. */
  events: number;
}

/** One life of an entry's process that was told to stop. */
export interface ObservedStop {
  /** Caller address. */
  entry: string;
  startedAt: number;
  /** When it was told to stop first. */
  at: number;
  endedAt: number;
}

/** What is known of a run of the stop soak. */
export interface StopObservations {
  requests: readonly ObservedRequest[];
  /** By request id. */
  runs: ReadonlyMap<string, readonly ObservedStopRun[]>;
  stops: readonly ObservedStop[];
  /** Time from the signal to stop until an entry is killed. */
  stopTime: number;
  eventGap: number;
}

/**
 * Only requests that are still at work in this last part of the time to stop may
 * be cut off.
 */
const LAST_SHARE = 1 / 6;
/** A request without stages that is refused has its answer by then. */
const REFUSAL_MS = 500;
/** An entry that runs for longer knows how long its answers take. */
const LEARNING_MS = 5_000;
/** A stream that needs less than this share of the time left is accepted. */
const SURE_SHARE = 0.5;
const SURE_MARGIN_MS = 700;
/** Share of the streams that must be accepted of those. */
const MIN_ACCEPTED_SHARE = 0.9;
const MIN_SURE_STREAMS = 10;

/** An endpoint that falls behind its pace by more is at fault itself. */
const MAX_SLOWDOWN = 1.25;

/** Counts of requests sent to entries that were stopping. */
export interface StopTotals {
  sent: number;
  refused: number;
  finished: number;
  /** Of those sent before the signal too. */
  cut: number;
}

/** Finds the stop that a request met, if it met one. */
function findStop(
  { entry, sentAt, endedAt }: ObservedRequest,
  stops: readonly ObservedStop[],
): ObservedStop | undefined {
  return stops.find((stop) =>
    stop.entry === entry && endedAt >= stop.at && sentAt <= stop.endedAt &&
    sentAt >= stop.startedAt
  );
}

function isSlowed(
  { at, endedAt, events }: ObservedStopRun,
  eventGap: number,
): boolean {
  return endedAt - at > MAX_SLOWDOWN * (events + 1) * eventGap;
}

/** Lists what must not happen around the stop of an entry. */
export function listStopViolations(observations: StopObservations): string[] {
  const { requests, stops } = observations;
  const violations = requests.flatMap((request) => {
    const stop = findStop(request, stops);
    return [
      ...listRunViolations(request, observations),
      ...(stop === undefined
        ? listUnstoppedViolations(request, observations)
        : listCutViolations(request, { ...observations, stop })),
    ];
  });
  return [...violations, ...listRefusalViolations(observations)];
}

function listRunViolations(
  { id, status }: ObservedRequest,
  { runs }: StopObservations,
): string[] {
  const count = runs.get(id)?.length ?? 0;
  return [
    ...(count > 1 ? [`${id} ran ${count} times`] : []),
    ...(status === 503 && count > 0 ? [`${id} was refused and ran`] : []),
  ];
}

function listUnstoppedViolations(
  { id, route, end }: ObservedRequest,
  { runs }: StopObservations,
): string[] {
  return end === "cut" && runs.has(id)
    ? [`${id} (${route}) ran and was cut without a stop`]
    : [];
}

/** Lists answers that came late or were cut off by a stop. */
function listCutViolations(
  { id, route, events, status, end, sentAt, endedAt }: ObservedRequest,
  { runs, stopTime, eventGap, stop }: StopObservations & { stop: ObservedStop },
): string[] {
  const took = endedAt - sentAt;
  if (status === 503) {
    const isLate = route !== "staged" && took > REFUSAL_MS;
    return isLate ? [`${id} was refused after ${took} ms`] : [];
  }
  const wasCut = end === "cut" &&
    runs.get(id)?.some((run) => !run.isWhole && !isSlowed(run, eventGap));
  if (!wasCut) return [];
  const after = sentAt - stop.at;
  const cutAfter = endedAt - stop.at;
  if (after > 0) {
    return [
      `${id} (${route}, ${events} events) was sent ${after} ms after the ` +
      `signal, ran, and was cut ${cutAfter} ms after it`,
    ];
  }
  if (cutAfter >= (1 - LAST_SHARE) * stopTime) return [];
  return [
    `${id} (${route}) was sent before the signal and cut ${cutAfter} ms ` +
    `after it, with time left`,
  ];
}

/** Reports if many streams are refused that could end. */
function listRefusalViolations(
  { requests, runs, stops, stopTime, eventGap }: StopObservations,
): string[] {
  const sure = requests.filter((request) => {
    const { id, route, events, status, sentAt } = request;
    const stop = findStop(request, stops);
    if (stop === undefined || route !== "talk" || sentAt <= stop.at) {
      return false;
    }
    const wasRead = status !== 0 || runs.has(id);
    const hasLearnt = stop.at - stop.startedAt > LEARNING_MS;
    const left = stopTime - (sentAt - stop.at);
    return wasRead && hasLearnt &&
      events * eventGap + SURE_MARGIN_MS < SURE_SHARE * left;
  });
  const accepted = sure.filter(({ status }) => status !== 503).length;
  return sure.length >= MIN_SURE_STREAMS &&
      accepted < MIN_ACCEPTED_SHARE * sure.length
    ? [`${accepted} of ${sure.length} streams that could end were accepted`]
    : [];
}

/** Counts what became of the requests that met a stop. */
export function countStopped(
  { requests, runs, stops }: StopObservations,
): StopTotals {
  const totals: StopTotals = { sent: 0, refused: 0, finished: 0, cut: 0 };
  for (const request of requests) {
    const { id, status, end, sentAt } = request;
    const stop = findStop(request, stops);
    if (stop === undefined) continue;
    if (end === "cut" && runs.has(id)) totals.cut++;
    if (sentAt < stop.at) continue;
    totals.sent++;
    if (status === 503) totals.refused++;
    if (status === 200 && end === "complete") totals.finished++;
  }
  return totals;
}
