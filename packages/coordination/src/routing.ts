/**
 * Chooses the endpoint for one attempt. Several entries decide alone, so each
 * goes by its own requests in progress, which it knows exactly and at once.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { EndpointInfo, LoadReport } from "./endpoint.ts";

/** What routing knows of an endpoint. */
export interface EndpointView {
  readonly info: EndpointInfo;
  /** Own requests in progress there. */
  readonly inFlight: number;
  /** How slow it is against what is expected; 1 is normal. */
  readonly slowness: number;
  readonly report: LoadReport | undefined;
  /** Own requests in progress there when the report was taken. */
  readonly inFlightAtReport: number;
}

/** What an attempt needs. */
export interface RoutingRequest {
  /** Share of one service time that a cached prefix would save there. */
  affinity?: (endpoint: EndpointInfo) => number;
}

/** Chooses one of `candidates`, none of which is at its limit. */
export type ChooseEndpoint = <V extends EndpointView>(
  candidates: readonly V[],
  request: RoutingRequest,
) => V | undefined;

/** Options of {@linkcode createExpectedTimeChoice}. */
export interface ExpectedTimeChoiceOptions {
  ownPlace: string;
  random: () => number;
}

/** A load report of this age counts half. */
const REPORT_HALF_LIFE: Millis = 1_000;
/** Slots of an endpoint that has reported none. */
const DEFAULT_SLOTS = 4;
/** What another place costs, as a share of one service time. */
const OTHER_PLACE_COST = 0.05;

/** The choice of mangoreach: the least expected time by what is known here. */
export function createExpectedTimeChoice(
  { ownPlace, random }: ExpectedTimeChoiceOptions,
): ChooseEndpoint {
  function estimateCost(view: EndpointView, request: RoutingRequest): number {
    const slots = view.report?.slots ?? DEFAULT_SLOTS;
    // Reports are left out: all entries read the same ones, late, and would
    // send to the same endpoint until the next (docs/design/routing.md).
    const occupancy = view.inFlight / slots;
    const place = view.info.place === ownPlace ? 0 : OTHER_PLACE_COST;
    const saved = request.affinity?.(view.info) ?? 0;
    return view.slowness * (1 + occupancy) + place - saved;
  }

  return (candidates, request) =>
    findCheapest(
      createTurned(candidates, random),
      (view) => estimateCost(view, request),
    );
}

/** The list from a random start, so that equal choices are spread. */
function createTurned<V>(list: readonly V[], random: () => number): V[] {
  const start = Math.floor(random() * list.length);
  return [...list.slice(start), ...list.slice(0, start)];
}

/** In-flight work of other entries, from a report that ages. */
export function estimateOthers(view: EndpointView, now: Millis): number {
  const { report } = view;
  if (report === undefined) return 0;
  const reported = report.running + report.queued - view.inFlightAtReport;
  const trust = Math.pow(0.5, (now - report.takenAt) / REPORT_HALF_LIFE);
  return Math.max(0, reported) * trust;
}

function findCheapest<V>(
  options: readonly V[],
  estimateCost: (option: V) => number,
): V | undefined {
  let cheapest: V | undefined;
  let lowest = Infinity;
  for (const option of options) {
    const cost = estimateCost(option);
    if (cost >= lowest) continue;
    lowest = cost;
    cheapest = option;
  }
  return cheapest;
}

/** Baseline: each endpoint in turn. */
export function createRoundRobinChoice(): ChooseEndpoint {
  let turn = 0;
  return (candidates) => candidates[turn++ % candidates.length];
}

/** Baseline: the endpoint with the fewest own requests in progress. */
export function createLeastInFlightChoice(
  random: () => number,
): ChooseEndpoint {
  return (candidates) =>
    findCheapest(createTurned(candidates, random), (view) => view.inFlight);
}
