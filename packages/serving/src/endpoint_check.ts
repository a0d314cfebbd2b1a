/**
 * Distinguishes a crashed endpoint from a broken connection. A crash takes down
 * all requests that run at the endpoint, and one of them may have caused it.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, Listening, Millis } from "@mangoreach/shared";

/** The state of an endpoint after a connection to it broke. */
export type EndpointCondition = "ended" | "listening" | "unknown";

/** Checks endpoints. */
export interface EndpointCheck {
  /** Probes the endpoint's address, or returns the result of a recent probe. */
  checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition>;
}

/** Options of {@linkcode createEndpointCheck}. */
export interface EndpointCheckOptions {
  clock: Clock;
  checkListening: (address: string) => Promise<Listening>;
}

/**
 * An endpoint that crashes breaks some dozen connections at once, and takes
 * seconds to restart, so that one probe serves for all of them.
 */
const RESULT_TTL: Millis = 500;

const CONDITIONS: Readonly<Record<Listening, EndpointCondition>> = {
  listening: "listening",
  refused: "ended",
  silent: "unknown",
};

/** Creates the check. */
export function createEndpointCheck(
  { clock, checkListening }: EndpointCheckOptions,
): EndpointCheck {
  const results = new Map<string, Promise<EndpointCondition>>();

  function checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition> {
    const key = formatEndpointKey(endpoint);
    const cached = results.get(key);
    if (cached !== undefined) return cached;
    const result = checkListening(endpoint.address)
      .then((listening) => CONDITIONS[listening]);
    results.set(key, result);
    clock.startTimer(RESULT_TTL, () => results.delete(key));
    return result;
  }

  return { checkCondition };
}
