/**
 * Chooses the endpoint for one attempt. Entries decide independently, so each
 * uses its own requests in progress, which it knows exactly and without delay.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { EndpointInfo, LoadReport } from "./endpoint.ts";

/** The state of an endpoint that routing uses. */
export interface EndpointView {
  readonly info: EndpointInfo;
  /** This entry's requests in progress there. */
  readonly inFlight: number;
  /** Observed latency relative to the expected latency; 1 is normal. */
  readonly slowdown: number;
  readonly report: LoadReport | undefined;
  /** This entry's requests in progress there when the report was taken. */
  readonly inFlightAtReport: number;
}

/** The properties of an attempt that affect its routing. */
export interface RoutingRequest {
  /** Returns the share of one service time that a cached prefix saves there. */
  affinity?: (endpoint: EndpointInfo) => number;
}

/** Chooses one of `candidates`, all of which are below their limits. */
export type ChooseEndpoint = <V extends EndpointView>(
  candidates: readonly V[],
  request: RoutingRequest,
) => V | undefined;

/** Options of {@linkcode createExpectedTimeChoice}. */
export interface ExpectedTimeChoiceOptions {
  ownPlace: string;
  random: () => number;
}

/** The weight of a load report halves in this time. */
const REPORT_HALF_LIFE: Millis = 1_000;
/** Assumed slots of an endpoint without a report. */
const DEFAULT_SLOTS = 4;
/** Cost of another place, as a share of one service time. */
const OTHER_PLACE_COST = 0.05;

/**
 * Creates the default choice: the shortest expected time by local knowledge.
 */
export function createExpectedTimeChoice(
  { ownPlace, random }: ExpectedTimeChoiceOptions,
): ChooseEndpoint {
  function estimateCost(view: EndpointView, request: RoutingRequest): number {
    const slots = view.report?.slots ?? DEFAULT_SLOTS;
    // Load reports are not used: all entries read the same delayed reports and
    // would herd to one endpoint until the next (docs/design/routing.md).
    const occupancy = view.inFlight / slots;
    const place = view.info.place === ownPlace ? 0 : OTHER_PLACE_COST;
    const saved = request.affinity?.(view.info) ?? 0;
    return view.slowdown * (1 + occupancy) + place - saved;
  }

  return (candidates, request) =>
    findCheapest(
      createRotated(candidates, random),
      (view) => estimateCost(view, request),
    );
}

/** Rotates a list to a random start, so that ties are spread evenly. */
function createRotated<V>(list: readonly V[], random: () => number): V[] {
  const start = Math.floor(random() * list.length);
  return [...list.slice(start), ...list.slice(0, start)];
}

/**
 * Estimates the in-flight work of other entries; decays with the report's age.
 */
export function estimateOtherInFlight(view: EndpointView, now: Millis): number {
  const { report } = view;
  if (report === undefined) return 0;
  const reported = report.running + report.queued - view.inFlightAtReport;
  const decay = Math.pow(0.5, (now - report.takenAt) / REPORT_HALF_LIFE);
  return Math.max(0, reported) * decay;
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

/** Creates the round-robin baseline. */
export function createRoundRobinChoice(): ChooseEndpoint {
  let turn = 0;
  return (candidates) => candidates[turn++ % candidates.length];
}

/** Creates the baseline of the fewest requests in progress of this entry. */
export function createLeastInFlightChoice(
  random: () => number,
): ChooseEndpoint {
  return (candidates) =>
    findCheapest(createRotated(candidates, random), (view) => view.inFlight);
}
