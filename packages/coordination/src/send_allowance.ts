/**
 * Combines all limits on the requests that this entry sends to an endpoint.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { BrittleAllowance } from "./brittle_allowance.ts";
import { ROOM_WAIT } from "./brittle_allowance.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointPauses } from "./endpoint_pauses.ts";
import type { LimitAllowance } from "./limit_allowance.ts";

/** The requests that this entry may send. */
export interface SendAllowance {
  /** Whether this entry may send a request to an endpoint now. */
  maySend(endpoint: EndpointInfo): boolean;
  /** Counts a request that is sent to an endpoint. */
  recordSend(endpoint: EndpointInfo): void;
  /**
   * Records the end of a request that was counted; it was rejected if the
   * endpoint had no room for it.
   */
  recordEnd(endpoint: EndpointInfo, isRejected: boolean): void;
  /**
   * Returns the time until an endpoint accepts a request from this entry, by
   * its own limit and pause: 0 for now, `Infinity` if it accepts none at
   * present.
   */
  readWait(endpoint: EndpointInfo): Millis;
  /**
   * Returns the shortest wait of these endpoints; `Infinity` for an empty list.
   */
  readShortestWait(endpoints: readonly EndpointInfo[]): Millis;
  /**
   * Whether only the lack of room at a brittle endpoint delays a request, which
   * ends with any request of this entry there.
   */
  isRoomAwaited(endpoint: EndpointInfo): boolean;
  /** Whether an endpoint has published a limit or asked for a pause. */
  isThrottled(endpoint: EndpointInfo): boolean;
  /** Whether an endpoint has asked for a pause that has not ended. */
  isPaused(endpoint: EndpointInfo): boolean;
  /** Whether the endpoint's limit is old and should be confirmed. */
  isProbeDue(endpoint: EndpointInfo): boolean;
}

/** Options of {@linkcode createSendAllowance}. */
export interface SendAllowanceOptions {
  cold: ColdAllowance;
  limits: Pick<EndpointLimits, "find" | "isStale" | "isEmpty">;
  limited: LimitAllowance;
  pauses: Pick<EndpointPauses, "readLeft" | "isEmpty">;
  brittle: BrittleAllowance;
}

/** Creates the combined allowance of one entry. */
export function createSendAllowance(
  { cold, limits, limited, pauses, brittle }: SendAllowanceOptions,
): SendAllowance {
  function readPause(endpoint: EndpointInfo): Millis {
    return pauses.isEmpty() ? 0 : pauses.readLeft(formatEndpointKey(endpoint));
  }

  function isPaused(endpoint: EndpointInfo): boolean {
    return readPause(endpoint) > 0;
  }

  function readWait(endpoint: EndpointInfo): Millis {
    return Math.max(
      readPause(endpoint),
      limited.readWait(endpoint),
      brittle.readWait(endpoint),
    );
  }

  return {
    maySend: (endpoint) => readWait(endpoint) === 0 && cold.maySend(endpoint),
    recordSend(endpoint) {
      cold.recordSend(endpoint);
      limited.recordSend(endpoint);
      brittle.recordSend(endpoint);
    },
    recordEnd: brittle.recordEnd,
    isRoomAwaited(endpoint) {
      const wait = brittle.readWait(endpoint);
      return wait === ROOM_WAIT && readWait(endpoint) === wait;
    },
    readWait,
    readShortestWait: (endpoints) =>
      Math.min(Infinity, ...endpoints.map(readWait)),
    isThrottled: (endpoint) =>
      isPaused(endpoint) || !limits.isEmpty() &&
        limits.find(formatEndpointKey(endpoint)) !== undefined,
    isPaused,
    isProbeDue: (endpoint) =>
      !limits.isEmpty() && limits.isStale(formatEndpointKey(endpoint)),
  };
}
