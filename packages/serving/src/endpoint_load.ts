/**
 * Tracks, for each endpoint, this entry's requests in progress, the load that
 * the endpoint reported, and its health.
 *
 * @module
 */
import type {
  EndpointHealth,
  EndpointInfo,
  EngineView,
  LoadReport,
} from "@mangoreach/coordination";
import {
  createEndpointHealth,
  ejectSlowest,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";

/** The result of an attempt, as it counts for the endpoint's health. */
export type AttemptResult =
  | "done"
  | "unreachable"
  | "failing"
  /** The connection ended before the answer was complete, not by this side. */
  | "broken"
  /** Says nothing about the endpoint's health. */
  | "neutral";

/** Load and health of one endpoint. */
export interface EndpointLoad extends EngineView {
  readonly info: EndpointInfo;
  /** Requests of this entry in progress at the endpoint. */
  readonly inFlight: number;
  readonly health: EndpointHealth;
  readonly report: LoadReport | undefined;
}

/** Load and health of endpoints, as this entry sees them. */
export interface EndpointLoads {
  /** Returns load and health of each of these endpoints. */
  view(endpoints: readonly EndpointInfo[]): EndpointLoad[];
  /** Leaves out ejected endpoints; returns all if all are ejected. */
  listHealthy(endpoints: readonly EndpointInfo[]): EndpointLoad[];
  begin(endpoint: EndpointInfo): void;
  end(endpoint: EndpointInfo, end: AttemptResult): void;
  recordReport(endpoint: EndpointInfo, report: LoadReport): void;
  /** Records a success by its ratio of measured to expected latency. */
  recordRatio(endpoint: EndpointInfo, ratio: number): void;
}

/** Older load reports are ignored. */
const MAX_REPORT_AGE: Millis = 2_000;
/** Above this many tracked endpoints, those without requests are dropped. */
const MAX_TRACKED = 4_096;

interface EndpointState {
  pool: string;
  inFlight: number;
  inFlightAtReport: number;
  report: LoadReport | undefined;
  health: EndpointHealth;
}

/** Creates the loads; all endpoints are healthy and idle at first. */
export function createEndpointLoads(clock: Clock): EndpointLoads {
  const states = new Map<string, EndpointState>();

  /** Returns the state of an endpoint; a restarted one has a new state. */
  function findState(endpoint: EndpointInfo): EndpointState {
    const key = formatEndpointKey(endpoint);
    const existing = states.get(key);
    if (existing !== undefined) return existing;
    if (states.size >= MAX_TRACKED) dropIdle();
    const created: EndpointState = {
      pool: endpoint.pool,
      inFlight: 0,
      inFlightAtReport: 0,
      report: undefined,
      health: createEndpointHealth(clock),
    };
    states.set(key, created);
    return created;
  }

  function dropIdle(): void {
    for (const [key, { inFlight }] of states) {
      if (inFlight === 0) states.delete(key);
    }
  }

  function estimateLoad(
    { inFlight, inFlightAtReport, report }: EndpointState,
  ): number {
    if (report === undefined) return inFlight;
    if (clock.now() - report.takenAt > MAX_REPORT_AGE) return inFlight;
    const others = report.running + report.queued - inFlightAtReport;
    return inFlight + Math.max(0, others);
  }

  function createView(info: EndpointInfo): EndpointLoad {
    const endpoint = findState(info);
    const { inFlight, health, report } = endpoint;
    const { slowdown } = health;
    const load = estimateLoad(endpoint);
    return { info, inFlight, health, report, slowdown, load };
  }

  function listHealthy(endpoints: readonly EndpointInfo[]): EndpointLoad[] {
    const all = endpoints.map(createView);
    const healthy = all.filter(({ health }) => !health.isEjected());
    return healthy.length > 0 ? healthy : all;
  }

  return {
    view: (endpoints) => endpoints.map(createView),
    listHealthy,
    begin(endpoint) {
      findState(endpoint).inFlight++;
    },
    end(endpoint, end) {
      const { health } = findState(endpoint);
      findState(endpoint).inFlight--;
      if (end === "unreachable") health.recordFailure("unreachable");
      if (end === "failing" || end === "broken") {
        health.recordFailure("failing");
      }
    },
    recordReport(endpoint, report) {
      const target = findState(endpoint);
      target.report = report;
      target.inFlightAtReport = target.inFlight;
    },
    recordRatio(endpoint, ratio) {
      findState(endpoint).health.recordSuccess(ratio);
      const ofPool = [...states.values()]
        .filter(({ pool }) => pool === endpoint.pool);
      ejectSlowest(ofPool.map(({ health }) => health));
    },
  };
}
