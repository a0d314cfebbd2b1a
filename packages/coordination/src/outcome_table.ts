/**
 * What one entry incarnation remembers of the non-idempotent requests that only
 * it may run, so that none runs twice.
 *
 * Failure guarded against: the answer is lost, the caller sends the same id
 * again. It shows as a second submission. The guard holds because a record is
 * kept until the id itself is refused as expired, by the same clock.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { RequestKey } from "./request_id.ts";
import { formatRequestKey } from "./request_id.ts";

/** What is known when a request is to begin. */
export type BeginOutcome<T> =
  /** Nothing known: the caller of `begin` now owns the run and must finish it. */
  | { kind: "fresh"; run: OwnedRun<T> }
  /** It runs or has run; the outcome is or will be there. */
  | { kind: "known"; outcome: Promise<T> }
  /** It was forbidden before it ran: it never ran and never will. */
  | { kind: "forbidden" }
  /** No room; nothing was recorded, nothing ran. */
  | { kind: "full" };

/** The right to run a request once. */
export interface OwnedRun<T> {
  /** Records the outcome for those who ask again. */
  finish(outcome: T): void;
  /**
   * Gives the run back: nothing was dispatched, a later attempt may run. Those
   * who already wait get `outcome`.
   */
  abandon(outcome: T): void;
}

/** What {@linkcode OutcomeTable.forbid} found. */
export type ForbidOutcome<T> =
  | { kind: "forbidden" }
  | { kind: "known"; outcome: Promise<T> }
  | { kind: "full" };

/** Options of {@linkcode createOutcomeTable}. */
export interface OutcomeTableOptions {
  clock: Clock;
  /** Records held at most; the bound on memory. */
  capacity: number;
}

/** The records of one entry incarnation. */
export interface OutcomeTable<T> {
  readonly size: number;
  begin(key: RequestKey, keepUntil: Millis): BeginOutcome<T>;
  /** Makes sure that an unseen request will never run here. */
  forbid(key: RequestKey, keepUntil: Millis): ForbidOutcome<T>;
}

interface OutcomeRecord<T> {
  keepUntil: Millis;
  outcome: Promise<T> | undefined;
}

const SWEEP_INTERVAL: Millis = 1_000;

/** Creates an empty table. */
export function createOutcomeTable<T>(
  { clock, capacity }: OutcomeTableOptions,
): OutcomeTable<T> {
  const records = new Map<string, OutcomeRecord<T>>();
  let lastSweep = clock.now();

  function dropExpired(): void {
    const now = clock.now();
    if (now - lastSweep < SWEEP_INTERVAL && records.size < capacity) return;
    lastSweep = now;
    for (const [key, record] of records) {
      if (record.keepUntil <= now) records.delete(key);
    }
  }

  /** What is known of a request, or that there is no room for a new one. */
  function findSeen(key: RequestKey): ForbidOutcome<T> | undefined {
    dropExpired();
    const record = records.get(formatRequestKey(key));
    if (record?.outcome !== undefined) {
      return { kind: "known", outcome: record.outcome };
    }
    if (record !== undefined) return { kind: "forbidden" };
    return records.size >= capacity ? { kind: "full" } : undefined;
  }

  function begin(key: RequestKey, keepUntil: Millis): BeginOutcome<T> {
    const seen = findSeen(key);
    if (seen !== undefined) return seen;
    const text = formatRequestKey(key);
    const { promise, resolve } = createResolvable<T>();
    records.set(text, { keepUntil, outcome: promise });
    const run: OwnedRun<T> = {
      finish: resolve,
      abandon(outcome) {
        records.delete(text);
        resolve(outcome);
      },
    };
    return { kind: "fresh", run };
  }

  function forbid(key: RequestKey, keepUntil: Millis): ForbidOutcome<T> {
    const seen = findSeen(key);
    if (seen !== undefined) return seen;
    const text = formatRequestKey(key);
    records.set(text, { keepUntil, outcome: undefined });
    return { kind: "forbidden" };
  }

  return {
    get size() {
      return records.size;
    },
    begin,
    forbid,
  };
}

function createResolvable<T>() {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((done) => resolve = done);
  return { promise, resolve };
}
