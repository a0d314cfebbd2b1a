/**
 * The timeline of one process: a ring buffer of events in causal order.
 *
 * @module
 */
import type { CausalClock, CausalTime } from "./causal_clock.ts";

/** The kinds of events, by which operators filter. */
export type EventKind =
  | "request_received"
  | "request_refused"
  | "request_answered"
  | "request_cancelled"
  | "stage_sent"
  | "stage_answered"
  | "stage_failed"
  | "stage_result_dropped"
  | "stream_resumed"
  | "claim_appended"
  | "claim_lost"
  | "config_in_force"
  | "config_rejected"
  | "peer_seen"
  | "peer_lost"
  | "endpoint_ejected"
  | "endpoint_returned"
  | "endpoint_leaving"
  | "order_sent"
  | "order_refused"
  | "lease_acquired"
  | "lease_lost"
  | "process_started"
  | "process_stopping"
  | "process_stopped";

/** What an event is about; all fields are optional. */
export interface EventSubject {
  request?: string;
  endpoint?: string;
  stage?: string;
  detail?: string;
}

/** One event of the timeline. */
export interface TimelineEvent extends EventSubject {
  process: string;
  kind: EventKind;
  time: CausalTime;
}

/** Records events; when the buffer is full, the oldest are evicted. */
export interface Timeline {
  readonly clock: CausalClock;
  record(kind: EventKind, subject?: EventSubject): void;
  /** All events in the buffer, oldest first. */
  list(): TimelineEvent[];
}

/** Options of {@linkcode createTimeline}. */
export interface TimelineOptions {
  process: string;
  clock: CausalClock;
  /** Maximum number of events, at about 200 bytes each. */
  capacity?: number;
}

const DEFAULT_CAPACITY = 8_192;

/** Creates the timeline of one process. */
export function createTimeline(
  { process, clock, capacity = DEFAULT_CAPACITY }: TimelineOptions,
): Timeline {
  const ring: TimelineEvent[] = [];
  let next = 0;

  function record(kind: EventKind, subject: EventSubject = {}): void {
    ring[next] = { process, kind, time: clock.tick(), ...subject };
    next = (next + 1) % capacity;
  }

  function list(): TimelineEvent[] {
    if (ring.length < capacity) return ring.slice();
    return [...ring.slice(next), ...ring.slice(0, next)];
  }

  return { clock, record, list };
}
