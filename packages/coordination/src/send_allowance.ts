/**
 * Whether this entry may send an endpoint a request now, by all that bounds it.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointPauses } from "./endpoint_pauses.ts";
import type { LimitAllowance } from "./limit_allowance.ts";

/** What this entry may send. */
export interface SendAllowance {
  /** Whether it may send a request there now. */
  mayBegin(endpoint: EndpointInfo): boolean;
  /** Counts a request that is sent there. */
  begin(endpoint: EndpointInfo): void;
  /**
   * Time until the endpoint takes a request from here, by its own word: 0 for
   * now, `Infinity` for none while it says so.
   */
  readWait(endpoint: EndpointInfo): Millis;
  /** The shortest of these endpoints' waits; `Infinity` without any. */
  readShortestWait(endpoints: readonly EndpointInfo[]): Millis;
  /** Whether an endpoint has asked to be sent less, or nothing for a while. */
  isHeldBack(endpoint: EndpointInfo): boolean;
  /** Whether it is time to hear whether the endpoint's limit stands. */
  isAskDue(endpoint: EndpointInfo): boolean;
}

/** Options of {@linkcode createSendAllowance}. */
export interface SendAllowanceOptions {
  cold: ColdAllowance;
  limits: Pick<EndpointLimits, "find" | "isOld" | "isEmpty">;
  limited: LimitAllowance;
  pauses: Pick<EndpointPauses, "readLeft" | "isEmpty">;
}

/** Joins what bounds the requests of one entry. */
export function createSendAllowance(
  { cold, limits, limited, pauses }: SendAllowanceOptions,
): SendAllowance {
  function readPause(endpoint: EndpointInfo): Millis {
    return pauses.isEmpty() ? 0 : pauses.readLeft(formatEndpointKey(endpoint));
  }

  function readWait(endpoint: EndpointInfo): Millis {
    return Math.max(readPause(endpoint), limited.readWait(endpoint));
  }

  return {
    mayBegin: (endpoint) => readWait(endpoint) === 0 && cold.mayBegin(endpoint),
    begin(endpoint) {
      cold.begin(endpoint);
      limited.begin(endpoint);
    },
    readWait,
    readShortestWait: (endpoints) =>
      Math.min(Infinity, ...endpoints.map(readWait)),
    isHeldBack: (endpoint) =>
      readPause(endpoint) > 0 || !limits.isEmpty() &&
        limits.find(formatEndpointKey(endpoint)) !== undefined,
    isAskDue: (endpoint) =>
      !limits.isEmpty() && limits.isOld(formatEndpointKey(endpoint)),
  };
}
