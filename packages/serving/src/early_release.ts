/**
 * Releases the stage results of a request as soon as its engine has fetched
 * them.
 *
 * In a burst of requests whose stages produce megabytes, result storage limits
 * the throughput. If results were stored until the engine's first event, after
 * about 400 ms, they would occupy it for more than twice as long as needed.
 *
 * @module
 */
import type { EndpointInfo, Route } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { StageResults } from "./stage_graph.ts";

/** Options of {@linkcode scheduleEarlyRelease}. */
export interface EarlyReleaseOptions {
  clock: Clock;
  loads: EndpointLoads;
  route: Route;
  /** Engine to which the request is sent. */
  endpoint: EndpointInfo;
  results: StageResults;
}

/** An engine with free capacity fetches inputs in about 10 ms. */
const FETCH_TIME: Millis = 150;
/** An engine runs about 64 requests; above this load it can queue a request. */
const FREE_ENGINE_LOAD = 24;

/** Whether a request can be retried at another endpoint. */
export function isRetryable({ kind, isResumable }: Route): boolean {
  return kind === "idempotent" || isResumable;
}

/**
 * Schedules the release and returns its cancel function. Results are not
 * released early if the request can be retried, because another engine would
 * need them, or if the engine is loaded, because it may not have fetched them
 * yet.
 */
export function scheduleEarlyRelease(
  { clock, loads, route, endpoint, results }: EarlyReleaseOptions,
): () => void {
  const load = loads.view([endpoint])[0]?.load ?? Infinity;
  if (isRetryable(route) || load > FREE_ENGINE_LOAD) return () => {};
  return clock.startTimer(FETCH_TIME, () => results.release());
}
