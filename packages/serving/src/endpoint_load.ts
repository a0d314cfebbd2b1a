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
  info: EndpointInfo;
  /** Another incarnation is listed; calls in progress still end here. */
  isReplaced: boolean;
  inFlight: number;
  inFlightAtReport: number;
  report: LoadReport | undefined;
  health: EndpointHealth;
}

/** Creates the loads; all endpoints are healthy and idle at first. */
export function createEndpointLoads(clock: Clock): EndpointLoads {
  const states = new Map<string, EndpointState>();
  /** By endpoint id, the state of the incarnation that was listed last. */
  const latest = new Map<string, EndpointState>();

  function createState(endpoint: EndpointInfo): EndpointState {
    return {
      info: endpoint,
      isReplaced: false,
      inFlight: 0,
      inFlightAtReport: 0,
      report: undefined,
      health: createEndpointHealth(clock),
    };
  }

  /**
   * Returns the state of a listed endpoint; a restarted one has a new state. It
   * replaces other incarnations whatever their start times: once a key has been
   * removed, the registry accepts an earlier start.
   */
  function findListedState(endpoint: EndpointInfo): EndpointState {
    const key = formatEndpointKey(endpoint);
    const known = latest.get(endpoint.id);
    const existing = states.get(key);
    if (existing !== undefined && existing === known) return existing;
    if (existing === undefined && states.size >= MAX_TRACKED) dropIdle();
    const state = existing ?? createState(endpoint);
    state.isReplaced = false;
    latest.set(endpoint.id, state);
    states.set(key, state);
    if (known !== undefined) {
      known.isReplaced = true;
      dropReplaced(known);
    }
    return state;
  }

  /**
   * Returns the state of the endpoint that an answer came from. An answer of an
   * incarnation that is gone gets a state of its own, so it changes nothing.
   */
  function findAnsweredState(endpoint: EndpointInfo): EndpointState {
    const existing = states.get(formatEndpointKey(endpoint));
    if (existing !== undefined) return existing;
    return latest.has(endpoint.id)
      ? { ...createState(endpoint), isReplaced: true }
      : findListedState(endpoint);
  }

  function dropReplaced({ info, inFlight, isReplaced }: EndpointState): void {
    if (isReplaced && inFlight <= 0) states.delete(formatEndpointKey(info));
  }

  function dropIdle(): void {
    for (const [key, state] of states) {
      if (state.inFlight > 0) continue;
      states.delete(key);
      const { id } = state.info;
      if (latest.get(id) === state) latest.delete(id);
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
    const endpoint = findListedState(info);
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
      findListedState(endpoint).inFlight++;
    },
    end(endpoint, end) {
      const state = findAnsweredState(endpoint);
      const { health } = state;
      state.inFlight--;
      dropReplaced(state);
      if (end === "unreachable") health.recordFailure("unreachable");
      if (end === "failing" || end === "broken") {
        health.recordFailure("failing");
      }
    },
    recordReport(endpoint, report) {
      const target = findAnsweredState(endpoint);
      target.report = report;
      target.inFlightAtReport = target.inFlight;
    },
    recordRatio(endpoint, ratio) {
      findAnsweredState(endpoint).health.recordSuccess(ratio);
      const ofPool = [...states.values()]
        .filter(({ info, isReplaced }) =>
          info.pool === endpoint.pool && !isReplaced
        );
      ejectSlowest(ofPool.map(({ health }) => health));
    },
  };
}
