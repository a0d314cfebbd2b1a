/**
 * Tracks which endpoints are cold: those that report it, with the time left,
 * and those that refused connections a moment ago and may have restarted since.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";

/** The endpoints known to be cold. */
export interface ColdEndpoints {
  /**
   * Applies what an endpoint reports of itself; returns whether it became cold.
   */
  record(endpoint: EndpointInfo): boolean;
  /**
   * Records that nothing listened at the endpoint's address; whatever listens
   * there next has just started.
   */
  recordUnreachable(endpoint: EndpointInfo): void;
  isCold(endpoint: EndpointInfo): boolean;
}

/**
 * Time until the report of an endpoint that restarted under its id has arrived;
 * until then only the reports from before the restart are known.
 */
const REPORT_DELAY: Millis = 2_500;

/**
 * Maximum number of cold endpoints; above it the oldest is evicted. Nobody asks
 * again for incarnations that are gone.
 */
const MAX_COLD = 4_096;

/** Creates a tracker that knows of no cold endpoint. */
export function createColdEndpoints(clock: Clock): ColdEndpoints {
  /** By endpoint key, the time at which the endpoint stops being cold. */
  const coldUntil = new Map<string, Millis>();

  function isCold(endpoint: EndpointInfo): boolean {
    const key = formatEndpointKey(endpoint);
    const until = coldUntil.get(key);
    if (until === undefined) return false;
    if (clock.now() < until) return true;
    coldUntil.delete(key);
    return false;
  }

  /** Never shortens the time: a reading may be older than the one before it. */
  function recordColdFor(endpoint: EndpointInfo, left: Millis): void {
    const key = formatEndpointKey(endpoint);
    const until = clock.now() + left;
    if (until <= (coldUntil.get(key) ?? 0)) return;
    putBounded(coldUntil, [key, until], MAX_COLD);
  }

  function record(endpoint: EndpointInfo): boolean {
    const { coldLeft = 0 } = endpoint;
    if (coldLeft === 0) return false;
    const wasCold = isCold(endpoint);
    // The report has some age, so the computed end is late, which does no harm.
    recordColdFor(endpoint, coldLeft);
    return !wasCold;
  }

  return {
    record,
    recordUnreachable: (endpoint) => recordColdFor(endpoint, REPORT_DELAY),
    isCold,
  };
}
