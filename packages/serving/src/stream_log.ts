/**
 * Writes where streams began to the platform's store, from which they are known
 * after all entries have restarted.
 *
 * @module
 */
import type { StreamRow } from "@mangoreach/peers";
import { MAX_STREAM_ROWS } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";

/** Streams that one entry wrote together. */
export interface LoggedStreams {
  /** The time of day at which they were written. */
  writtenAt: Millis;
  rows: readonly StreamRow[];
}

/** A log of streams in the platform's store. */
export interface StreamStore {
  append(streams: LoggedStreams): Promise<Result<null, string>>;
  /** Reads at most the `limit` records that were written last. */
  readNewest(limit: number): Promise<Result<readonly LoggedStreams[], string>>;
}

/** Options of {@linkcode createStreamLog}. */
export interface StreamLogOptions {
  clock: Clock;
  readWallTime: () => Millis;
  log: DecisionLog;
  store: StreamStore;
  /** Counts the entries that write to the store, including this one. */
  countEntries: () => number;
}

/** The log as one entry writes and reads it. */
export interface StreamLog {
  /** Writes a stream soon. */
  write(row: StreamRow): void;
  /**
   * Reads the streams that may still be resumed, with the time left for each.
   * Returns none if the store can't be read soon, or was read a moment ago.
   */
  readRows(): Promise<readonly StreamRow[]>;
  /** Whether the store is being read, so that more may be known soon. */
  isReading(): boolean;
}

const MIN_WRITE_INTERVAL: Millis = 250;
/** Bounds the writes of all entries together to 100 a second. */
const WRITE_INTERVAL_PER_ENTRY: Millis = 10;
/** Streams that wait while the store can't be written. */
const MAX_PENDING = 1_024;
/** Covers the longest lifetime of a stream at the highest rate of writes. */
const MAX_RECORDS = 6_000;
/** A caller that resumes an unknown stream waits for the store no longer. */
const READ_TIMEOUT: Millis = 300;
/** Bounds the reads that callers with unknown streams can cause. */
const READ_INTERVAL: Millis = 1_000;

/** Creates the log of one entry. */
export function createStreamLog(options: StreamLogOptions): StreamLog {
  const { clock, readWallTime, log, store } = options;
  let pending: StreamRow[] = [];
  let isScheduled = false;
  let lastReadAt = -Infinity;
  let reading: Promise<readonly StreamRow[]> | undefined;

  function write(row: StreamRow): void {
    if (pending.length < MAX_PENDING) pending.push(row);
    schedule();
  }

  function schedule(): void {
    if (isScheduled || pending.length === 0) return;
    isScheduled = true;
    const interval = Math.max(
      MIN_WRITE_INTERVAL,
      WRITE_INTERVAL_PER_ENTRY * options.countEntries(),
    );
    clock.startTimer(interval, () => void writePending());
  }

  async function writePending(): Promise<void> {
    const rows = pending.slice(0, MAX_STREAM_ROWS);
    pending = pending.slice(MAX_STREAM_ROWS);
    const written = await store.append({ writtenAt: readWallTime(), rows });
    if (written.isErr) {
      recordLost(written.error);
      pending = [...rows, ...pending].slice(-MAX_PENDING);
    }
    isScheduled = false;
    schedule();
  }

  function recordLost(reason: string): void {
    log.record("dependency_lost", { dependency: "streams", reason });
  }

  async function readRows(): Promise<readonly StreamRow[]> {
    if (reading === undefined) {
      if (clock.now() - lastReadAt < READ_INTERVAL) return [];
      reading = readStore();
    }
    return await Promise.race([
      reading,
      clock.sleep(READ_TIMEOUT).then(() => []),
    ]);
  }

  async function readStore(): Promise<readonly StreamRow[]> {
    const records = await store.readNewest(MAX_RECORDS);
    lastReadAt = clock.now();
    reading = undefined;
    if (records.isOk) return listLasting(records.value, readWallTime());
    recordLost(records.error);
    return [];
  }

  return { write, readRows, isReading: () => reading !== undefined };
}

/** Lists the rows that have time left, which is what they say from now on. */
function listLasting(
  records: readonly LoggedStreams[],
  now: Millis,
): StreamRow[] {
  return records.flatMap(({ writtenAt, rows }) =>
    rows.flatMap(([key, pool, endpoint, version, lifetime]): StreamRow[] => {
      const left = Math.min(lifetime, writtenAt + lifetime - now);
      return left > 0 ? [[key, pool, endpoint, version, left]] : [];
    })
  );
}
