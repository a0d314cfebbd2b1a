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
export function listStopViolations(
  { requests, runs, stops, stopTime, eventGap }: StopObservations,
): string[] {
  const errors: string[] = [];
  let sure = 0;
  let accepted = 0;
  for (const request of requests) {
    const { id, status, end, sentAt, endedAt, route, events } = request;
    const own = runs.get(id) ?? [];
    if (own.length > 1) errors.push(`${id} ran ${own.length} times`);
    if (status === 503 && own.length > 0) {
      errors.push(`${id} was refused and ran`);
    }
    const stop = findStop(request, stops);
    if (stop === undefined) {
      if (end === "cut" && own.length > 0) {
        errors.push(`${id} (${route}) ran and was cut without a stop`);
      }
      continue;
    }
    const after = sentAt - stop.at;
    const isRefused = status === 503;
    if (isRefused && route !== "staged" && endedAt - sentAt > REFUSAL_MS) {
      errors.push(`${id} was refused after ${endedAt - sentAt} ms`);
    }
    const wasCut = end === "cut" &&
      own.some((run) => !run.isWhole && !isSlowed(run, eventGap));
    const cutAfter = endedAt - stop.at;
    if (wasCut && after > 0) {
      errors.push(
        `${id} (${route}, ${events} events) was sent ${after} ms after the ` +
          `signal, ran, and was cut ${cutAfter} ms after it`,
      );
    } else if (wasCut && cutAfter < (1 - LAST_SHARE) * stopTime) {
      errors.push(
        `${id} (${route}) was sent before the signal and cut ${cutAfter} ms ` +
          `after it, with time left`,
      );
    }
    const left = stopTime - after;
    const isSure = route === "talk" && after > 0 &&
      stop.at - stop.startedAt > LEARNING_MS && end !== "unreachable" &&
      (status !== 0 || own.length > 0) &&
      events * eventGap + SURE_MARGIN_MS < SURE_SHARE * left;
    if (isSure) sure++;
    if (isSure && !isRefused) accepted++;
  }
  if (sure >= MIN_SURE_STREAMS && accepted < MIN_ACCEPTED_SHARE * sure) {
    errors.push(`${accepted} of ${sure} streams that could end were accepted`);
  }
  return errors;
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
