/**
 * The metrics of one entry, collected with prom-client. docs/operators/metrics.md
 * describes them.
 *
 * @module
 */
import type { RequestOutcome } from "@mangoreach/coordination";
import type { AnswerMetrics } from "@mangoreach/shared/metrics";
import { addAnswerMetrics } from "@mangoreach/shared/metrics";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Records the metrics of an entry. */
export interface EntryMetrics extends AnswerMetrics {
  readonly registry: Registry;
  countRequest(className: string, outcome: RequestOutcome): void;
  countRefusal(reason: string): void;
  observeRequest(className: string, seconds: number): void;
  observeStage(stage: string, seconds: number): void;
  countSecondAttempt(reason: "retry" | "hedge"): void;
  countDropped(): void;
  /** A limit for what peers make this process hold has acted. */
  countLimited(limit: string, count: number): void;
  countPeerBytes(direction: "in" | "out", bytes: number): void;
  setConfigVersion(version: number): void;
  setInFlight(count: number): void;
  setLogReachable(isReachable: boolean): void;
}

const LATENCY_BUCKETS = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
];

/** Creates the metrics of one entry. */
export function createEntryMetrics(entry: string): EntryMetrics {
  const registry = new Registry();
  registry.setDefaultLabels({ entry });
  const registers = [registry];
  const requests = new Counter({
    name: "mangoreach_requests_total",
    help: "Requests by class and outcome",
    labelNames: ["class", "outcome"],
    registers,
  });
  const refusals = new Counter({
    name: "mangoreach_refusals_total",
    help: "Refused requests by reason",
    labelNames: ["reason"],
    registers,
  });
  const durations = new Histogram({
    name: "mangoreach_request_seconds",
    help: "Time from receipt to the whole answer",
    labelNames: ["class"],
    buckets: LATENCY_BUCKETS,
    registers,
  });
  const stages = new Histogram({
    name: "mangoreach_stage_seconds",
    help: "Time of one stage with its queue and second attempts",
    labelNames: ["stage"],
    buckets: LATENCY_BUCKETS,
    registers,
  });
  const seconds = new Counter({
    name: "mangoreach_second_attempts_total",
    help: "Retries and hedges",
    labelNames: ["reason"],
    registers,
  });
  const dropped = new Counter({
    name: "mangoreach_dropped_results_total",
    help: "Results dropped because their echo differs from the call",
    registers,
  });
  const limited = new Counter({
    name: "mangoreach_connection_limits_total",
    help: "Acts of the limits for what connections hold, by limit",
    labelNames: ["limit"],
    registers,
  });
  const peerBytes = new Counter({
    name: "mangoreach_peer_bytes_total",
    help: "Bytes of control messages, without HTTP headers",
    labelNames: ["direction"],
    registers,
  });
  const version = new Gauge({
    name: "mangoreach_config_version",
    help: "The configuration in force here",
    registers,
  });
  const inFlight = new Gauge({
    name: "mangoreach_in_flight",
    help: "Requests in progress",
    registers,
  });
  const logReachable = new Gauge({
    name: "mangoreach_log_reachable",
    help: "1 while the log can be read",
    registers,
  });
  return {
    registry,
    countRequest: (className, outcome) =>
      requests.inc({ class: className, outcome }),
    countRefusal: (reason) => refusals.inc({ reason }),
    observeRequest: (className, time) =>
      durations.observe({ class: className }, time),
    observeStage: (stage, time) => stages.observe({ stage }, time),
    countSecondAttempt: (reason) => seconds.inc({ reason }),
    countLimited: (limit, count) => limited.inc({ limit }, count),
    countDropped: () => dropped.inc(),
    countPeerBytes: (direction, bytes) => peerBytes.inc({ direction }, bytes),
    setConfigVersion: (value) => version.set(value),
    setInFlight: (count) => inFlight.set(count),
    setLogReachable: (isReachable) => logReachable.set(isReachable ? 1 : 0),
    ...addAnswerMetrics(registry),
  };
}
