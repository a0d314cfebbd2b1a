/**
 * Endpoints as the instance list and they themselves describe them.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** Whether an endpoint takes new work. */
export type EndpointState = "live" | "leaving";

/** One endpoint instance. */
export interface EndpointInfo {
  id: string;
  /** Changes when the endpoint restarts, also under the same address. */
  incarnation: string;
  /** When this incarnation started, by the endpoint's own time of day. */
  startedAt?: Millis;
  /** How much longer it stays cold, as of its word. */
  coldLeft?: Millis;
  pool: string;
  place: string;
  /** `ip:port`. */
  address: string;
  state: EndpointState;
}

/** A load report; it describes the past. */
export interface LoadReport {
  running: number;
  queued: number;
  /** How many requests the endpoint works on at once. */
  slots: number;
  /** When the endpoint took the reading, by the reader's clock. */
  takenAt: Millis;
}

/** What an endpoint's answer says of the work that it takes from now on. */
export interface EndpointSignals {
  /**
   * Requests a second that it takes from all entries together; missing where it
   * names no limit.
   */
  rateLimit?: number;
  /** It takes nothing new for as long as it lives. */
  isLeaving?: true;
  /** It takes nothing from this entry for so long. */
  pause?: Millis;
}

/** Whether what is said of an endpoint is about an earlier incarnation. */
export function isOlderIncarnation(
  said: EndpointInfo,
  known: EndpointInfo,
): boolean {
  return said.startedAt !== undefined && known.startedAt !== undefined &&
    said.startedAt < known.startedAt;
}

/** A key that tells incarnations apart. */
export function formatEndpointKey(
  { id, incarnation }: Pick<EndpointInfo, "id" | "incarnation">,
): string {
  return `${id}#${incarnation}`;
}
