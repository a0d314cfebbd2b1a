/**
 * Reports how often limits act, once a second at most.
 *
 * @module
 */
import type { Clock, Millis } from "../clock.ts";

/** A limit that has acted. */
export type LimitKind =
  /** A connection was closed for a newer one. */
  | "connections"
  /** A connection was closed to free memory. */
  | "connection_bytes"
  /** A request was refused. */
  | "requests"
  /** Requests that were sent ahead wait. */
  | "requests_ahead"
  /** A body was refused or gave way to a smaller one. */
  | "body_bytes"
  /** A connection of a peer was closed. */
  | "peer_bytes";

/** How often a limit has acted since its last report. */
export interface LimitReport {
  limit: LimitKind;
  count: number;
}

const REPORT_INTERVAL: Millis = 1_000;

/** Creates a function that counts an act of a limit. */
export function createLimitReporter(
  { clock, onLimited }: {
    clock: Clock;
    onLimited: ((report: LimitReport) => void) | undefined;
  },
): (limit: LimitKind) => void {
  const counts = new Map<LimitKind, number>();
  let isWaiting = false;

  return (limit) => {
    if (onLimited === undefined) return;
    counts.set(limit, (counts.get(limit) ?? 0) + 1);
    if (isWaiting) return;
    isWaiting = true;
    clock.startTimer(REPORT_INTERVAL, () => {
      isWaiting = false;
      counts.forEach((count, kind) => onLimited({ limit: kind, count }));
      counts.clear();
    });
  };
}
