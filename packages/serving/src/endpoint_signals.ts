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
import type { Signalled } from "./serving_handles.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** The way on which an answer came. */
export type SignalWay = "request" | "stage_call" | "stage_release";

/** What was answered. */
export interface SignalSource {
  way: SignalWay;
  /** Whom it was sent to; an address where no more is known. */
  to: EndpointInfo | string;
  /** When it was sent: its answer is no older. */
  sentAt: Millis;
}

/** An answer as far as it tells whose it is. */
export interface SignalledAnswer extends Signalled {
  kind?: string;
  reason?: string;
}

/** Takes the signals of an answer. */
export type NoteSignals = (
  source: SignalSource,
  answer: SignalledAnswer,
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

  /** An instance that was not meant has taken over the address. */
  function listSpeakers(
    to: EndpointInfo | string,
    { kind, reason }: SignalledAnswer,
  ): readonly EndpointInfo[] {
    if (typeof to === "string") return listAt(to);
    const isOther = kind === "not_run" && reason === "other_instance";
    return isOther ? listAt(to.address) : [to];
  }

  return ({ way, to, sentAt }, answer) => {
    const { signals } = answer;
    if (signals === undefined) return;
    listSpeakers(to, answer).forEach((endpoint) =>
      noteOne({ endpoint, way, sentAt }, signals)
    );
  };
}
