/**
 * Frees the results of a request's stages as soon as its engine has them.
 *
 * The load it answers: in a burst of requests whose stages make megabytes, the
 * makers' room binds. Kept until the engine's first event, after some 400 ms,
 * results take it for more than twice as long as they are needed.
 *
 * @module
 */
import type { EndpointInfo, Route } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { StageResults } from "./stage_graph.ts";

/** Options of {@linkcode startEarlyRelease}. */
export interface EarlyReleaseOptions {
  clock: Clock;
  loads: EndpointLoads;
  route: Route;
  /** The engine that the request is sent to. */
  endpoint: EndpointInfo;
  results: StageResults;
}

/** An engine with free places fetches inputs in some ten milliseconds. */
const FETCH_TIME: Millis = 150;
/** An engine with more requests, of some 64 that it runs, may let one wait. */
const FREE_ENGINE_LOAD = 24;

/** Whether a request may run at a second endpoint. */
export function mayRunAgain({ kind, isResumable }: Route): boolean {
  return kind === "idempotent" || isResumable;
}

/**
 * Starts the release; the return value stops it. What may run again needs its
 * inputs again at another engine, and a loaded engine may not have them yet.
 */
export function startEarlyRelease(
  { clock, loads, route, endpoint, results }: EarlyReleaseOptions,
): () => void {
  const load = loads.view([endpoint])[0]?.load ?? Infinity;
  if (mayRunAgain(route) || load > FREE_ENGINE_LOAD) return () => {};
  return clock.startTimer(FETCH_TIME, () => results.release());
}
