/**
 * Tracks the pauses that endpoints have requested from this entry when they
 * refused its requests.
 *
 * An endpoint that refuses everything at once has the fewest requests in
 * progress. Without the pause it would be chosen first the whole time, and each
 * request would need a retry at another endpoint.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** The remaining pauses of endpoints. */
export interface EndpointPauses {
  /**
   * Records that an endpoint accepts nothing from this entry for the duration
   * of `pause`.
   */
  record(endpointKey: string, pause: Millis): void;
  /** Returns the remaining pause of an endpoint, or 0 if there is none. */
  readLeft(endpointKey: string): Millis;
  /** Whether no pause is known. */
  isEmpty(): boolean;
}

/** Maximum number of pauses; above it the oldest is evicted. */
const MAX_KNOWN = 4_096;

/** Creates a tracker that knows of no pause. */
export function createEndpointPauses(clock: Clock): EndpointPauses {
  const until = new Map<string, Millis>();

  function readLeft(endpointKey: string): Millis {
    const left = (until.get(endpointKey) ?? 0) - clock.now();
    if (left > 0) return left;
    until.delete(endpointKey);
    return 0;
  }

  /**
   * Answers may arrive out of order, so a shorter pause does not end a longer
   * one.
   */
  function record(endpointKey: string, pause: Millis): void {
    const longest = Math.max(pause, readLeft(endpointKey));
    until.delete(endpointKey);
    putBounded(until, [endpointKey, clock.now() + longest], MAX_KNOWN);
  }

  return { record, readLeft, isEmpty: () => until.size === 0 };
}
