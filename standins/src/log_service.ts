/**
 * Stand-in of the platform's log service: append-only streams with offsets, a
 * rate limit, limited retention and outages.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import type {
  Standin,
  StandinRequest,
  StandinState,
} from "./standin_server.ts";
import { consumeFault, startStandin } from "./standin_server.ts";

/** Options of {@linkcode startLogService}. */
export interface LogServiceOptions {
  clock: Clock;
  port?: number;
  /** Appends per second to all streams together; others get status 429. */
  maxAppendsPerSecond?: number;
  retentionMs?: Millis;
}

interface StoredRecord {
  offset: number;
  time: Millis;
  value: unknown;
}

interface LogStreamState {
  next: number;
  records: StoredRecord[];
  waiting: Set<() => void>;
}

const DEFAULT_RATE = 400;
const DEFAULT_RETENTION: Millis = 24 * 3_600_000;
const MAX_PAGE_RECORDS = 500;
const BASE_TIME: Millis = 20;

/** Starts the log service. */
export function startLogService(
  {
    clock,
    port = 0,
    maxAppendsPerSecond = DEFAULT_RATE,
    retentionMs = DEFAULT_RETENTION,
  }: LogServiceOptions,
): Promise<Standin> {
  const streams = new Map<string, LogStreamState>();
  let windowStart = clock.now();
  let appends = 0;

  function getOrCreateStream(name: string): LogStreamState {
    const known = streams.get(name);
    if (known !== undefined) return known;
    const created = { next: 0, records: [], waiting: new Set<() => void>() };
    streams.set(name, created);
    return created;
  }

  function isOverRate(): boolean {
    const now = clock.now();
    if (now - windowStart >= 1_000) {
      windowStart = now;
      appends = 0;
    }
    return ++appends > maxAppendsPerSecond;
  }

  function dropExpired(stream: LogStreamState): void {
    const oldest = clock.now() - retentionMs;
    while (stream.records[0] !== undefined && stream.records[0].time < oldest) {
      stream.records.shift();
    }
  }

  async function append(
    { response, parts, body }: StandinRequest,
    { faults }: StandinState,
  ): Promise<void> {
    if (isOverRate()) {
      return sendJson(response, { status: 429, body: { error: "rate" } });
    }
    if (faults.slowFactor > 1) await clock.sleep(BASE_TIME * faults.slowFactor);
    const stream = getOrCreateStream(parts[0] ?? "");
    const record = {
      offset: stream.next++,
      time: clock.now(),
      value: parseJson(body),
    };
    stream.records.push(record);
    for (const wake of stream.waiting) wake();
    // The record has been appended; only the response is lost.
    if (consumeFault(faults, "loseAnswers")) return void response.destroy();
    const { offset, time } = record;
    sendJson(response, { status: 201, body: { offset, time } });
  }

  async function read(
    { response, parts, query }: StandinRequest,
    { faults }: StandinState,
  ): Promise<void> {
    if (faults.slowFactor > 1) await clock.sleep(BASE_TIME * faults.slowFactor);
    const stream = getOrCreateStream(parts[0] ?? "");
    const from = Number(query.get("from") ?? 0);
    const wait = Number(query.get("wait_ms") ?? 0);
    if (stream.next <= from && wait > 0) await waitForAppend(stream, wait);
    if (faults.away) return void response.destroy();
    dropExpired(stream);
    const first = stream.records[0]?.offset ?? stream.next;
    const start = Math.max(0, from - first);
    const records = stream.records.slice(start, start + MAX_PAGE_RECORDS);
    const next = (records.at(-1)?.offset ?? Math.max(from, first) - 1) + 1;
    sendJson(response, { status: 200, body: { first, next, records } });
  }

  function waitForAppend(stream: LogStreamState, wait: Millis): Promise<void> {
    return new Promise((resolve) => {
      const stopTimer = clock.startTimer(wait, finish);
      function finish(): void {
        stopTimer();
        stream.waiting.delete(finish);
        resolve();
      }
      stream.waiting.add(finish);
    });
  }

  return startStandin({
    clock,
    port,
    routes: (state) => ({
      "POST /streams/*": (request) => append(request, state),
      "GET /streams/*": (request) => read(request, state),
    }),
  });
}
