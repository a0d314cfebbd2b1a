/**
 * Chooses the endpoint for one attempt. Several entries decide alone on lagging
 * news, so the choice is between two drawn at random: taking the best of all
 * would send every entry to the same endpoint after each load report.
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
  now: () => Millis;
}

/** A load report of this age counts half. */
const REPORT_HALF_LIFE: Millis = 1_000;
/** Slots of an endpoint that has reported none. */
const DEFAULT_SLOTS = 4;
/** What another place costs, as a share of one service time. */
const OTHER_PLACE_COST = 0.05;

/** The choice of mangoreach: power of two choices by expected time. */
export function createExpectedTimeChoice(
  { ownPlace, random, now }: ExpectedTimeChoiceOptions,
): ChooseEndpoint {
  function estimateCost(view: EndpointView, request: RoutingRequest): number {
    const slots = view.report?.slots ?? DEFAULT_SLOTS;
    const occupancy = (view.inFlight + estimateOthers(view, now())) / slots;
    const place = view.info.place === ownPlace ? 0 : OTHER_PLACE_COST;
    const saved = request.affinity?.(view.info) ?? 0;
    return view.slowness * (1 + occupancy) + place - saved;
  }

  return (candidates, request) => {
    if (candidates.length <= 1) return candidates[0];
    const pair = drawPair(candidates, random);
    const best = request.affinity === undefined
      ? undefined
      : findMostAffine(candidates, request.affinity);
    const options = best === undefined ? pair : [...pair, best];
    return findCheapest(options, (view) => estimateCost(view, request));
  };
}

/** In-flight work of other entries, from a report that ages. */
export function estimateOthers(view: EndpointView, now: Millis): number {
  const { report } = view;
  if (report === undefined) return 0;
  const reported = report.running + report.queued - view.inFlightAtReport;
  const trust = Math.pow(0.5, (now - report.takenAt) / REPORT_HALF_LIFE);
  return Math.max(0, reported) * trust;
}

function drawPair<V>(candidates: readonly V[], random: () => number): V[] {
  const first = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = (first + step) % candidates.length;
  return [candidates[first]!, candidates[second]!];
}

function findMostAffine<V extends EndpointView>(
  candidates: readonly V[],
  affinity: (endpoint: EndpointInfo) => number,
): V | undefined {
  const best = findCheapest(candidates, (view) => -affinity(view.info));
  return best !== undefined && affinity(best.info) > 0 ? best : undefined;
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
  return (candidates) => {
    const start = Math.floor(random() * candidates.length);
    const turned = [...candidates.slice(start), ...candidates.slice(0, start)];
    return findCheapest(turned, (view) => view.inFlight);
  };
}
