/**
 * What this entry has in progress at each endpoint, what endpoints report of
 * others, and how they do.
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

/** How an attempt ended for its endpoint. */
export type LoadEnd =
  | "done"
  | "unreachable"
  | "failing"
  /** The connection ended before the answer did, not by this side. */
  | "broken"
  | "neutral";

/** What is known of one endpoint. */
export interface EndpointLoad extends EngineView {
  readonly info: EndpointInfo;
  /** Own requests in progress there. */
  readonly inFlight: number;
  readonly health: EndpointHealth;
  readonly report: LoadReport | undefined;
}

/** The endpoints as this entry uses them. */
export interface EndpointLoads {
  /** Puts what is known beside the endpoints of a pool. */
  view(endpoints: readonly EndpointInfo[]): EndpointLoad[];
  /** Those in use: with all ejected, all, as any is better than none. */
  listInUse(endpoints: readonly EndpointInfo[]): EndpointLoad[];
  begin(endpoint: EndpointInfo): void;
  end(endpoint: EndpointInfo, end: LoadEnd): void;
  recordReport(endpoint: EndpointInfo, report: LoadReport): void;
  /** Notes how long an answer took against what is expected; 1 is normal. */
  recordRatio(endpoint: EndpointInfo, ratio: number): void;
}

/** Reports older than this say nothing about the present. */
const REPORT_LIFETIME: Millis = 2_000;
/** What is known of endpoints that are gone is dropped above this many. */
const MAX_KNOWN = 4_096;

interface Known {
  pool: string;
  inFlight: number;
  inFlightAtReport: number;
  report: LoadReport | undefined;
  health: EndpointHealth;
}

/** Creates the view of an entry that has sent nothing yet. */
export function createEndpointLoads(clock: Clock): EndpointLoads {
  const known = new Map<string, Known>();

  /** One that started again under its id is as unknown as any other. */
  function find(endpoint: EndpointInfo): Known {
    const key = formatEndpointKey(endpoint);
    const present = known.get(key);
    if (present !== undefined) return present;
    if (known.size >= MAX_KNOWN) dropIdle();
    const created: Known = {
      pool: endpoint.pool,
      inFlight: 0,
      inFlightAtReport: 0,
      report: undefined,
      health: createEndpointHealth(clock),
    };
    known.set(key, created);
    return created;
  }

  function dropIdle(): void {
    for (const [key, { inFlight }] of known) {
      if (inFlight === 0) known.delete(key);
    }
  }

  function estimateLoad({ inFlight, inFlightAtReport, report }: Known): number {
    if (report === undefined) return inFlight;
    if (clock.now() - report.takenAt > REPORT_LIFETIME) return inFlight;
    const others = report.running + report.queued - inFlightAtReport;
    return inFlight + Math.max(0, others);
  }

  function createView(info: EndpointInfo): EndpointLoad {
    const endpoint = find(info);
    const { inFlight, health, report } = endpoint;
    const { slowness } = health;
    const load = estimateLoad(endpoint);
    return { info, inFlight, health, report, slowness, load };
  }

  function listInUse(endpoints: readonly EndpointInfo[]): EndpointLoad[] {
    const all = endpoints.map(createView);
    const healthy = all.filter(({ health }) => !health.isEjected());
    return healthy.length > 0 ? healthy : all;
  }

  return {
    view: (endpoints) => endpoints.map(createView),
    listInUse,
    begin(endpoint) {
      find(endpoint).inFlight++;
    },
    end(endpoint, end) {
      const { health } = find(endpoint);
      find(endpoint).inFlight--;
      if (end === "unreachable") health.recordFailure("unreachable");
      if (end === "failing" || end === "broken") {
        health.recordFailure("failing");
      }
    },
    recordReport(endpoint, report) {
      const target = find(endpoint);
      target.report = report;
      target.inFlightAtReport = target.inFlight;
    },
    recordRatio(endpoint, ratio) {
      find(endpoint).health.recordSuccess(ratio);
      const ofPool = [...known.values()]
        .filter(({ pool }) => pool === endpoint.pool);
      ejectSlowest(ofPool.map(({ health }) => health));
    },
  };
}
