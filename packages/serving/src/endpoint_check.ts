/**
 * Tells an endpoint that has ended from one whose connection broke: the first
 * takes down whatever runs there, and may have ended because of it.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, Listening, Millis } from "@mangoreach/shared";

/** What is known of an endpoint after a connection to it broke. */
export type EndpointCondition = "ended" | "listening" | "unknown";

/** Checks endpoints. */
export interface EndpointCheck {
  /** Asks the endpoint's address, unless it was asked a moment ago. */
  checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition>;
}

/** Options of {@linkcode createEndpointCheck}. */
export interface EndpointCheckOptions {
  clock: Clock;
  checkListening: (address: string) => Promise<Listening>;
}

/**
 * An endpoint that ends takes some dozen connections with it at once, and its
 * successor is seconds away: one question does for all of them.
 */
const ANSWER_LIFETIME: Millis = 500;

const CONDITIONS: Readonly<Record<Listening, EndpointCondition>> = {
  listening: "listening",
  refused: "ended",
  silent: "unknown",
};

/** Creates the check. */
export function createEndpointCheck(
  { clock, checkListening }: EndpointCheckOptions,
): EndpointCheck {
  const answers = new Map<string, Promise<EndpointCondition>>();

  function checkCondition(endpoint: EndpointInfo): Promise<EndpointCondition> {
    const key = formatEndpointKey(endpoint);
    const present = answers.get(key);
    if (present !== undefined) return present;
    const answer = checkListening(endpoint.address)
      .then((listening) => CONDITIONS[listening]);
    answers.set(key, answer);
    clock.startTimer(ANSWER_LIFETIME, () => answers.delete(key));
    return answer;
  }

  return { checkCondition };
}
