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
  /**
   * Probes the endpoint's address. Uses no result of a probe that began before
   * this call, except that an endpoint that has ended stays so.
   */
  checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition>;
}

/** Options of {@linkcode createEndpointCheck}. */
export interface EndpointCheckOptions {
  clock: Clock;
  checkListening: (address: string) => Promise<Listening>;
}

/**
 * An endpoint that crashes breaks some dozen connections, and takes seconds to
 * restart, so that few probes serve for all of them.
 */
const ENDED_TTL: Millis = 500;

const CONDITIONS: Readonly<Record<Listening, EndpointCondition>> = {
  listening: "listening",
  refused: "ended",
  silent: "unknown",
};

interface Probe {
  startedAt: Millis;
  result: Promise<EndpointCondition>;
  /** The result for calls that came after the probe began. */
  next: Promise<EndpointCondition> | undefined;
}

/** Creates the check. */
export function createEndpointCheck(
  { clock, checkListening }: EndpointCheckOptions,
): EndpointCheck {
  /** By endpoint key: probes that run, or found that the endpoint has ended. */
  const probes = new Map<string, Probe>();

  function checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition> {
    const probe = probes.get(formatEndpointKey(endpoint));
    if (probe === undefined) return probeEndpoint(endpoint);
    if (probe.startedAt === clock.now()) return probe.result;
    probe.next ??= probe.result.then((condition) =>
      condition === "ended" ? condition : checkCondition(endpoint)
    );
    return probe.next;
  }

  function probeEndpoint(endpoint: EndpointInfo): Promise<EndpointCondition> {
    const key = formatEndpointKey(endpoint);
    const result = checkListening(endpoint.address).then((listening) => {
      const condition = CONDITIONS[listening];
      if (condition !== "ended") probes.delete(key);
      else clock.startTimer(ENDED_TTL, () => probes.delete(key));
      return condition;
    });
    probes.set(key, { startedAt: clock.now(), result, next: undefined });
    return result;
  }

  return { checkCondition };
}
