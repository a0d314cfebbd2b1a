/**
 * Prometheus metrics of an entry.
 *
 * @module
 */
import type { AccountUse } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type { AnswerMetrics } from "@mangoreach/shared/metrics";
import { addAnswerMetrics, addSourceCounter } from "@mangoreach/shared/metrics";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { StopOutcome } from "./stop_window.ts";

/** Use of one pool partition by one client account. */
export interface PartitionUse extends AccountUse {
  readonly pool: string;
  readonly partition: string;
}

/** Metrics of one entry. */
export interface ServingMetrics extends AnswerMetrics {
  readonly registry: Registry;
  countRequest(route: string, outcome: string): void;
  observeRequest(route: string, seconds: number): void;
  countDroppedLine(kind: string): void;
  countUnanswered(): void;
  countPeerBytes(direction: "in" | "out", bytes: number): void;
  /** A connection that was closed because the peer broke the protocol. */
  countPeerFault(fault: string): void;
  setConfigVersion(version: number): void;
  setConfigAge(age: Millis): void;
  countReading(topic: string, source: string, outcome: string): void;
  setKnown(what: "endpoints" | "peers", count: number): void;
  setAnswerSize(size: { count: number; busiest: number }): void;
  countSignal(pool: string, signal: string): void;
  countUnreadLoad(pool: string): void;
  countUndecodable(topic: string): void;
  countResumed(outcome: string): void;
  /** A second or later attempt that the retry budget granted or denied. */
  countRetry(pool: string, outcome: "granted" | "denied"): void;
  /** A limit for what peers make this process hold has acted. */
  countLimited(limit: string, count: number): void;
  countConnect(pool: string, outcome: string): void;
  /** A request that ended after the signal to stop. */
  countStopped(outcome: StopOutcome): void;
  /** Sets the source of counts of unexpected errors, read when collected. */
  setErrorCounts(counts: ReadonlyMap<string, number>): void;
  /** Sets the source of the bytes of answers held, read when collected. */
  setHeldBytes(readBytes: () => number): void;
  /** Sets the source of the use by client account, read when collected. */
  setAccountUse(listUse: () => readonly PartitionUse[]): void;
}

const MILLIS_PER_SECOND = 1_000;
/** In seconds, from the answer of a plain service to the longest stream. */
const LATENCY_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Creates the metrics of one entry. */
export function createServingMetrics(entry: string): ServingMetrics {
  const registry = new Registry();
  registry.setDefaultLabels({ entry });
  const registers = [registry];
  const requests = new Counter({
    name: "mangoreach_requests_total",
    help: "Requests by route and outcome",
    labelNames: ["route", "outcome"],
    registers,
  });
  const durations = new Histogram({
    name: "mangoreach_request_seconds",
    help: "Time from the request's head to its final answer",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS,
    registers,
  });
  const droppedLines = new Counter({
    name: "mangoreach_log_lines_dropped_total",
    help: "Log lines left out above the rate of their kind",
    labelNames: ["kind"],
    registers,
  });
  const unanswered = new Counter({
    name: "mangoreach_peer_exchanges_unanswered_total",
    help: "Exchanges with peers that got no answer",
    registers,
  });
  const peerBytes = new Counter({
    name: "mangoreach_peer_bytes_total",
    help: "Bytes exchanged with peers, bodies only",
    labelNames: ["direction"],
    registers,
  });
  const peerFaults = new Counter({
    name: "mangoreach_peer_connection_faults_total",
    help:
      "Connections with peers closed for malformed frames or unread messages",
    labelNames: ["fault"],
    registers,
  });
  const limited = new Counter({
    name: "mangoreach_connection_limits_total",
    help: "Acts of the limits for what connections hold, by limit",
    labelNames: ["limit"],
    registers,
  });
  const configVersion = new Gauge({
    name: "mangoreach_config_version",
    help: "Version of the configuration in force here",
    registers,
  });
  const configAge = new Gauge({
    name: "mangoreach_config_age_seconds",
    help: "How long ago the store confirmed the configuration in force here",
    registers,
  });
  const readings = new Counter({
    name: "mangoreach_topic_readings_total",
    help: "Readings of the store's topics by source and outcome",
    labelNames: ["topic", "source", "outcome"],
    registers,
  });
  const known = new Gauge({
    name: "mangoreach_known",
    help: "Endpoints and peers known here",
    labelNames: ["what"],
    registers,
  });

  const answerSize = new Gauge({
    name: "mangoreach_address_answer_entries",
    help: "Entries named in an answer to callers that is drawn by capacity",
    registers,
  });
  const answerBusiest = new Gauge({
    name: "mangoreach_address_answer_busiest",
    help: "Load of the busiest entry relative to its share by capacity",
    registers,
  });

  const signals = new Counter({
    name: "mangoreach_endpoint_signals_total",
    help: "Answers in which endpoints ask for less or no work",
    labelNames: ["pool", "signal"],
    registers,
  });

  const unreadLoads = new Counter({
    name: "mangoreach_load_reports_unread_total",
    help: "Load reports of endpoints of which a part could not be read",
    labelNames: ["pool"],
    registers,
  });

  const undecodable = new Counter({
    name: "mangoreach_records_undecodable_total",
    help: "Records of the store's topics that could not be decoded",
    labelNames: ["topic"],
    registers,
  });

  const connects = new Counter({
    name: "mangoreach_endpoint_connects_total",
    help: "Connections opened to endpoints by outcome",
    labelNames: ["pool", "outcome"],
    registers,
  });

  const resumed = new Counter({
    name: "mangoreach_streams_resumed_total",
    help: "Streams that callers resumed, by how they went on or why not",
    labelNames: ["outcome"],
    registers,
  });

  const retries = new Counter({
    name: "mangoreach_retries_total",
    help: "Second and later attempts, also of pieces, by the retry budget",
    labelNames: ["pool", "outcome"],
    registers,
  });

  const stopped = new Counter({
    name: "mangoreach_requests_while_stopping_total",
    help: "Requests that ended after the signal to stop, by outcome",
    labelNames: ["outcome"],
    registers,
  });

  const setErrorCounts = addSourceCounter(registry, {
    name: "mangoreach_unexpected_errors_total",
    help: "Errors outside of requests that the process outlived, by source",
  });

  let readHeldBytes = () => 0;
  new Gauge({
    name: "mangoreach_held_bytes",
    help: "Bytes of endpoints' and the store's answers that are held",
    registers,
    collect() {
      this.set(readHeldBytes());
    },
  });

  let listUse: () => readonly PartitionUse[] = () => [];
  const addAccountGauge = (
    { name, help, read }: {
      name: string;
      help: string;
      read: (use: PartitionUse) => number;
    },
  ) =>
    new Gauge({
      name,
      help,
      labelNames: ["pool", "partition", "account"],
      registers,
      // Accounts that are no longer among the most used are removed.
      collect() {
        this.reset();
        for (const use of listUse()) {
          const { pool, partition, account } = use;
          this.set({ pool, partition, account }, read(use));
        }
      },
    });
  addAccountGauge({
    name: "mangoreach_account_endpoint_seconds",
    help: "Recent endpoint time, decayed, of the accounts with the most use",
    read: ({ use }) => use / MILLIS_PER_SECOND,
  });
  addAccountGauge({
    name: "mangoreach_account_pieces_dropped",
    help: "Pieces dropped since tracked, of the accounts with the most use",
    read: ({ drops }) => drops,
  });

  return {
    registry,
    countRequest: (route, outcome) => requests.inc({ route, outcome }),
    observeRequest: (route, seconds) => durations.observe({ route }, seconds),
    countDroppedLine: (kind) => droppedLines.inc({ kind }),
    countUnanswered: () => unanswered.inc(),
    countPeerBytes: (direction, bytes) => peerBytes.inc({ direction }, bytes),
    countLimited: (limit, count) => limited.inc({ limit }, count),
    countPeerFault: (fault) => peerFaults.inc({ fault }),
    setConfigVersion: (version) => configVersion.set(version),
    setConfigAge: (age) => configAge.set(age / MILLIS_PER_SECOND),
    countReading: (topic, source, outcome) =>
      readings.inc({ topic, source, outcome }),
    setKnown: (what, count) => known.set({ what }, count),
    setAnswerSize: ({ count, busiest }) => {
      answerSize.set(count);
      answerBusiest.set(busiest);
    },
    countSignal: (pool, signal) => signals.inc({ pool, signal }),
    countUnreadLoad: (pool) => unreadLoads.inc({ pool }),
    countConnect: (pool, outcome) => connects.inc({ pool, outcome }),
    countResumed: (outcome) => resumed.inc({ outcome }),
    countRetry: (pool, outcome) => retries.inc({ pool, outcome }),
    countStopped: (outcome) => stopped.inc({ outcome }),
    countUndecodable: (topic) => undecodable.inc({ topic }),
    setErrorCounts,
    ...addAnswerMetrics(registry),
    setHeldBytes: (readBytes) => readHeldBytes = readBytes,
    setAccountUse: (list) => listUse = list,
  };
}
