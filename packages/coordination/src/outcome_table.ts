/**
 * The outcomes of the non-idempotent requests that only this entry incarnation
 * may run, kept so that none of them runs twice.
 *
 * Guards against a duplicate run when the answer is lost and the caller sends
 * the same id again. A record is kept until the id itself is refused as
 * expired, by the same clock.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { RequestKey } from "./request_id.ts";
import { formatRequestKey } from "./request_id.ts";

/** The result of {@linkcode OutcomeTable.begin}. */
export type BeginResult<T> =
  /**
   * A new request: the caller of `begin` now owns the run and must finish it.
   */
  | { kind: "fresh"; run: RunHandle<T> }
  /**
   * The request is running or has run; `outcome` resolves when it has ended.
   */
  | { kind: "known"; outcome: Promise<T> }
  /** The request was forbidden before it ran: it never ran and never will. */
  | { kind: "forbidden" }
  /** The table is full; nothing was recorded, nothing ran. */
  | { kind: "full" };

/** The right to run a request once. */
export interface RunHandle<T> {
  /** Records the outcome for repeated requests. */
  finish(outcome: T): void;
  /**
   * Releases the run: nothing was dispatched, so a later attempt may run.
   * Requests that already wait get `outcome`.
   */
  abandon(outcome: T): void;
}

/** The result of {@linkcode OutcomeTable.forbid}. */
export type ForbidResult<T> =
  | { kind: "forbidden" }
  | { kind: "known"; outcome: Promise<T> }
  | { kind: "full" };

/** Options of {@linkcode createOutcomeTable}. */
export interface OutcomeTableOptions {
  clock: Clock;
  /** Maximum number of records; bounds the memory. */
  capacity: number;
}

/** The outcome records of one entry incarnation. */
export interface OutcomeTable<T> {
  readonly size: number;
  begin(key: RequestKey, keepUntil: Millis): BeginResult<T>;
  /** Ensures that a request which has not begun will never run here. */
  forbid(key: RequestKey, keepUntil: Millis): ForbidResult<T>;
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

  /**
   * Returns the record of a request, or `full` if there is no room for a new
   * one.
   */
  function findExisting(key: RequestKey): ForbidResult<T> | undefined {
    dropExpired();
    const record = records.get(formatRequestKey(key));
    if (record?.outcome !== undefined) {
      return { kind: "known", outcome: record.outcome };
    }
    if (record !== undefined) return { kind: "forbidden" };
    return records.size >= capacity ? { kind: "full" } : undefined;
  }

  function begin(key: RequestKey, keepUntil: Millis): BeginResult<T> {
    const existing = findExisting(key);
    if (existing !== undefined) return existing;
    const text = formatRequestKey(key);
    const { promise, resolve } = createDeferred<T>();
    records.set(text, { keepUntil, outcome: promise });
    const run: RunHandle<T> = {
      finish: resolve,
      abandon(outcome) {
        records.delete(text);
        resolve(outcome);
      },
    };
    return { kind: "fresh", run };
  }

  function forbid(key: RequestKey, keepUntil: Millis): ForbidResult<T> {
    const existing = findExisting(key);
    if (existing !== undefined) return existing;
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

function createDeferred<T>() {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((done) => resolve = done);
  return { promise, resolve };
}
