/**
 * Takes what endpoints say, in answers on any way to them, of the work that they
 * take; one line for each change, and a count.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  EndpointLimits,
  EndpointPauses,
  EndpointSignals,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** The way on which an answer came. */
export type SignalWay = "request" | "stage_call" | "stage_release";

/** Whose answer it was. */
export interface SignalSource {
  way: SignalWay;
  address: string;
  /** When the request was sent: its answer is no older. */
  sentAt: Millis;
  /** Missing where only the address is known. */
  endpoint?: EndpointInfo;
}

/** Takes the signals of an answer. */
export type NoteSignals = (
  source: SignalSource,
  signals: EndpointSignals | undefined,
) => void;

/** Options of {@linkcode createSignalNotes}. */
export interface SignalNotesOptions {
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "countSignal">;
  limits: Pick<EndpointLimits, "note" | "find">;
  directory: Pick<EndpointDirectory, "markLeaving">;
  pauses: Pick<EndpointPauses, "note">;
  /** All endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
}

interface HeardFrom {
  endpoint: EndpointInfo;
  way: SignalWay;
  sentAt: Millis;
}

/** Creates the notes of an entry that no endpoint has told anything. */
export function createSignalNotes(
  { log, metrics, limits, directory, pauses, listAt }: SignalNotesOptions,
): NoteSignals {
  function noteLimit(from: HeardFrom, rateLimit?: number): void {
    const { endpoint, sentAt } = from;
    const key = formatEndpointKey(endpoint);
    if (rateLimit !== undefined) metrics.countSignal(endpoint.pool, "limit");
    const before = limits.find(key);
    limits.note(key, rateLimit, sentAt);
    const limit = limits.find(key);
    if (before === limit) return;
    const outcome = limit === undefined ? "not_limited" : "limited";
    recordChange(from, { limit, outcome });
  }

  function noteLeaving(from: HeardFrom): void {
    const { endpoint } = from;
    metrics.countSignal(endpoint.pool, "leaving");
    const key = formatEndpointKey(endpoint);
    if (directory.markLeaving(key, { isSaid: true })) {
      recordChange(from, { outcome: "leaving" });
    }
  }

  function notePause(from: HeardFrom, pause: Millis): void {
    const { endpoint } = from;
    metrics.countSignal(endpoint.pool, "pause");
    pauses.note(formatEndpointKey(endpoint), pause);
    recordChange(from, { pause, outcome: "paused" });
  }

  function recordChange(
    { endpoint, way }: HeardFrom,
    change: DecisionFields,
  ): void {
    log.record("endpoint_changed", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      incarnation: endpoint.incarnation,
      way,
      source: "endpoint",
      ...change,
    });
  }

  function noteOne(from: HeardFrom, signals: EndpointSignals): void {
    const { rateLimit, isLeaving, pause } = signals;
    noteLimit(from, rateLimit);
    if (isLeaving) noteLeaving(from);
    if (pause !== undefined) notePause(from, pause);
  }

  return ({ way, address, sentAt, endpoint }, signals) => {
    if (signals === undefined) return;
    const endpoints = endpoint === undefined ? listAt(address) : [endpoint];
    endpoints.forEach((one) =>
      noteOne({ endpoint: one, way, sentAt }, signals)
    );
  };
}
