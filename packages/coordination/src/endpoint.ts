/**
 * Endpoints as described by the instance list and by themselves.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** Whether an endpoint accepts new work. */
export type EndpointState = "live" | "leaving";

/** One endpoint instance. */
export interface EndpointInfo {
  id: string;
  /** Changes when the endpoint restarts, even at the same address. */
  incarnation: string;
  /** When this incarnation started, by the endpoint's wall clock. */
  startedAt?: Millis;
  /** How much longer it stays cold, as of its report. */
  coldLeft?: Millis;
  pool: string;
  /** Version of its software; missing if it does not say. */
  version?: string;
  place: string;
  /** `ip:port`. */
  address: string;
  /** Requests that it works on concurrently; missing if it does not say. */
  slots?: number;
  state: EndpointState;
}

/** A load report; describes the past. */
export interface LoadReport {
  running: number;
  queued: number;
  /** How many requests the endpoint works on concurrently. */
  slots: number;
  /**
   * How long work takes on the endpoint's machine at that moment, relative to
   * the usual time; missing if the endpoint does not report it.
   */
  workFactor?: number;
  /** When the endpoint took the reading, by the reader's clock. */
  takenAt: Millis;
}

/**
 * What an endpoint's answer says about the work that it accepts from now on.
 */
export interface EndpointSignals {
  /**
   * Requests per second that it accepts from all entries together; missing if
   * it announces no limit.
   */
  rateLimit?: number;
  /**
   * It is brittle: it falls over if it has to reject more than this many
   * requests per second, from all entries together, for want of room.
   */
  rejectLimit?: number;
  /** It accepts no new work for the rest of its lifetime. */
  isLeaving?: true;
  /** It accepts no requests from this entry for this long. */
  pause?: Millis;
}

/** Whether a report about an endpoint refers to an earlier incarnation. */
export function isOlderIncarnation(
  reported: EndpointInfo,
  known: EndpointInfo,
): boolean {
  return reported.startedAt !== undefined && known.startedAt !== undefined &&
    reported.startedAt < known.startedAt;
}

/** Formats a key that distinguishes incarnations. */
export function formatEndpointKey(
  { id, incarnation }: Pick<EndpointInfo, "id" | "incarnation">,
): string {
  return `${id}#${incarnation}`;
}
