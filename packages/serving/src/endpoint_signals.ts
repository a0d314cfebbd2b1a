/**
 * Handles back-pressure signals in endpoints' answers to requests and stage
 * calls: a rate limit, leaving, or a pause. Each change is logged and counted,
 * and so are load reports of which a part could not be read.
 *
 * @module
 */
import type {
  BrittlePools,
  EndpointDirectory,
  EndpointInfo,
  EndpointLimits,
  EndpointPauses,
  EndpointSignals,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { Signalled } from "./platform_interfaces.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** The kind of call whose answer carried signals. */
export type CallKind = "request" | "stage_call" | "stage_release";

/** The call that was answered. */
export interface SignalSource {
  way: CallKind;
  /** The called endpoint; its address if no more is known. */
  to: EndpointInfo | string;
  /** When the call was sent; its answer is not older than that. */
  sentAt: Millis;
}

/** The part of an answer that shows which endpoint it came from. */
export interface AnswerWithSignals extends Signalled {
  kind?: string;
  reason?: string;
}

/** Handles the signals of an answer. */
export type SignalHandler = (
  source: SignalSource,
  answer: AnswerWithSignals,
) => void;

/** Options of {@linkcode createSignalHandler}. */
export interface SignalHandlerOptions {
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "countSignal" | "countUnreadLoad">;
  limits: Pick<EndpointLimits, "record" | "find">;
  brittle: Pick<BrittlePools, "record">;
  directory: Pick<EndpointDirectory, "markLeaving">;
  pauses: Pick<EndpointPauses, "record">;
  /** Lists all endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  /** Tells the peers through which a call was sent of a pause. */
  reportPause: (
    endpoint: EndpointInfo,
    paused: { pause: Millis; sentAt: Millis },
  ) => void;
}

/**
 * Maximum number of endpoints whose unread load report is remembered as logged.
 */
const MAX_LOGGED_ENDPOINTS = 4_096;

interface SignalOrigin {
  endpoint: EndpointInfo;
  way: CallKind;
  sentAt: Millis;
}

/** Creates the handler of one entry. */
export function createSignalHandler(
  {
    log,
    metrics,
    limits,
    brittle,
    directory,
    pauses,
    listAt,
    reportPause,
  }: SignalHandlerOptions,
): SignalHandler {
  /** By endpoint key, the part of the load report that was logged as unread. */
  const logged = new Map<string, string>();

  function recordUnreadLoad(
    { endpoint, way }: SignalOrigin,
    unread: string,
  ): void {
    metrics.countUnreadLoad(endpoint.pool);
    const key = formatEndpointKey(endpoint);
    if (logged.has(key)) return;
    putBounded(logged, [key, unread], MAX_LOGGED_ENDPOINTS);
    log.record("load_report_unread", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      incarnation: endpoint.incarnation,
      way,
      unread,
    });
  }

  function applyLimit(from: SignalOrigin, rateLimit?: number): void {
    const { endpoint, sentAt } = from;
    const key = formatEndpointKey(endpoint);
    if (rateLimit !== undefined) metrics.countSignal(endpoint.pool, "limit");
    const before = limits.find(key);
    limits.record(key, rateLimit, sentAt);
    const limit = limits.find(key);
    if (before === limit) return;
    const outcome = limit === undefined ? "not_limited" : "limited";
    recordChange(from, { limit, outcome });
  }

  function applyRejectLimit(from: SignalOrigin, rejectLimit: number): void {
    const { pool } = from.endpoint;
    metrics.countSignal(pool, "brittle");
    if (brittle.record(pool, rejectLimit)) {
      recordChange(from, { limit: rejectLimit, outcome: "brittle" });
    }
  }

  function applyLeaving(from: SignalOrigin): void {
    const { endpoint } = from;
    metrics.countSignal(endpoint.pool, "leaving");
    const key = formatEndpointKey(endpoint);
    if (directory.markLeaving(key, { isSaid: true })) {
      recordChange(from, { outcome: "leaving" });
    }
  }

  function applyPause(from: SignalOrigin, pause: Millis): void {
    const { endpoint, sentAt } = from;
    metrics.countSignal(endpoint.pool, "pause");
    pauses.record(formatEndpointKey(endpoint), pause);
    reportPause(endpoint, { pause, sentAt });
    recordChange(from, { pause, outcome: "paused" });
  }

  function recordChange(
    { endpoint, way }: SignalOrigin,
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

  function applySignals(from: SignalOrigin, signals: EndpointSignals): void {
    const { rateLimit, rejectLimit, isLeaving, pause } = signals;
    applyLimit(from, rateLimit);
    if (rejectLimit !== undefined) applyRejectLimit(from, rejectLimit);
    if (isLeaving) applyLeaving(from);
    if (pause !== undefined) applyPause(from, pause);
  }

  /**
   * Lists the endpoints that the signals apply to: the called one, or all at
   * its address if another instance answered there.
   */
  function listReportingEndpoints(
    to: EndpointInfo | string,
    { kind, reason }: AnswerWithSignals,
  ): readonly EndpointInfo[] {
    if (typeof to === "string") return listAt(to);
    const isOtherInstance = kind === "not_run" && reason === "other_instance";
    return isOtherInstance ? listAt(to.address) : [to];
  }

  return ({ way, to, sentAt }, answer) => {
    const { signals, unreadLoad } = answer;
    if (signals === undefined && unreadLoad === undefined) return;
    for (const endpoint of listReportingEndpoints(to, answer)) {
      const from = { endpoint, way, sentAt };
      if (signals !== undefined) applySignals(from, signals);
      if (unreadLoad !== undefined) recordUnreadLoad(from, unreadLoad);
    }
  };
}
