/**
 * Tracks the reads of one topic, so that log lines can show why an entry's data
 * is stale: a read that does not end, reads that fail, or no peer to read from.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionFields } from "./decision_log.ts";

/** Where a topic is read from. */
export type ReadSource = "store" | "peer";

/** How a read ended. */
export type ReadOutcome =
  | "read"
  /** The requested records are gone. */
  | "expired"
  /** The store did not answer, or refused this entry. */
  | "unavailable"
  /** The peer's data is too old. */
  | "old"
  /** The peer has not read the topic, or not as far. */
  | "unknown"
  /** The peer did not answer. */
  | "silent";

/** Records how a read ended. */
export type EndRead = (outcome: ReadOutcome) => void;

/** Tracks the reads of one topic. */
export interface ReadTracker {
  /** Records the start of a read; `address` is that of the peer, if any. */
  begin(source: ReadSource, address?: string): EndRead;
  /** Describes the oldest read in progress and the read that ended last. */
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

/** Creates the tracker of a topic that was never read. */
export function createReadTracker(
  { clock, onEnd }: ReadTrackerOptions,
): ReadTracker {
  /** In order of start. */
  const inProgress = new Set<ReadInProgress>();
  let last: DecisionFields = {};

  function begin(source: ReadSource, address?: string): EndRead {
    const at = address === undefined ? source : `${source} ${address}`;
    const read: ReadInProgress = { at, startedAt: clock.now() };
    inProgress.add(read);
    return (outcome) => {
      inProgress.delete(read);
      last = {
        lastReading: at,
        lastOutcome: outcome,
        lastTook: clock.now() - read.startedAt,
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
