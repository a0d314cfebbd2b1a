/**
 * Watches the readings of one topic, so that a log line can tell why an entry's
 * knowledge of it is old: a reading that does not end, readings that fail, or
 * nobody to ask.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionFields } from "./decision_log.ts";

/** Where a topic is read. */
export type ReadSource = "store" | "peer";

/** How a reading ended. */
export type ReadOutcome =
  | "read"
  /** The records asked for are gone. */
  | "expired"
  /** The store did not answer, or turned this entry away. */
  | "unavailable"
  /** The peer's own knowledge is too old. */
  | "old"
  /** The peer has not read the topic, or not as far. */
  | "unknown"
  /** The peer did not answer. */
  | "silent";

/** Notes how a reading ended. */
export type EndRead = (outcome: ReadOutcome) => void;

/** The readings of one topic. */
export interface ReadTracker {
  /** Notes a reading that begins, at the peer with this address if at one. */
  begin(source: ReadSource, address?: string): EndRead;
  /** The reading that takes longest by now, and the one that ended last. */
  describe(): DecisionFields;
}

/** Options of {@linkcode createReadTracker}. */
export interface ReadTrackerOptions {
  clock: Clock;
  onEnd: (source: ReadSource, outcome: ReadOutcome) => void;
}

interface ReadInProgress {
  /** Source and address. */
  at: string;
  startedAt: Millis;
}

/** Creates the watch of a topic that was never read. */
export function createReadTracker(
  { clock, onEnd }: ReadTrackerOptions,
): ReadTracker {
  /** In the order in which they began. */
  const inProgress = new Set<ReadInProgress>();
  let last: DecisionFields = {};

  function begin(source: ReadSource, address?: string): EndRead {
    const at = address === undefined ? source : `${source} ${address}`;
    const reading: ReadInProgress = { at, startedAt: clock.now() };
    inProgress.add(reading);
    return (outcome) => {
      inProgress.delete(reading);
      last = {
        lastReading: at,
        lastOutcome: outcome,
        lastTook: clock.now() - reading.startedAt,
      };
      onEnd(source, outcome);
    };
  }

  function describe(): DecisionFields {
    const [oldest] = inProgress;
    if (oldest === undefined) return last;
    const { at, startedAt } = oldest;
    return { ...last, reading: at, readingFor: clock.now() - startedAt };
  }

  return { begin, describe };
}
