/**
 * Takes what endpoints say, in answers on any way to them, of the work that they
 * take; one line for each change, and a count.
 *
 * @module
 */
import type {
  EndpointInfo,
  EndpointLimits,
  EndpointSignals,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { DecisionLog } from "./decision_log.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** The way on which an answer came. */
export type SignalWay = "request" | "stage_call" | "stage_release";

/** Whose answer it was. */
export interface SignalSource {
  way: SignalWay;
  address: string;
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
  /** All endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
}

/** Creates the notes of an entry that no endpoint has told anything. */
export function createSignalNotes(
  { log, metrics, limits, listAt }: SignalNotesOptions,
): NoteSignals {
  function noteLimit(
    endpoint: EndpointInfo,
    { rateLimit }: EndpointSignals,
    way: SignalWay,
  ): void {
    const key = formatEndpointKey(endpoint);
    if (rateLimit !== undefined) metrics.countSignal(endpoint.pool, "limit");
    const before = limits.find(key);
    limits.note(key, rateLimit);
    if (before === rateLimit) return;
    log.record("endpoint_changed", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      incarnation: endpoint.incarnation,
      limit: rateLimit,
      way,
      source: "endpoint",
      outcome: rateLimit === undefined ? "not_limited" : "limited",
    });
  }

  return ({ way, address, endpoint }, signals) => {
    if (signals === undefined) return;
    const endpoints = endpoint === undefined ? listAt(address) : [endpoint];
    endpoints.forEach((one) => noteLimit(one, signals, way));
  };
}
