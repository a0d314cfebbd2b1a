/**
 * Follows a stream of the log, as a `most` stream of events that continues
 * after outages.
 *
 * @module
 */
import type { Clock, Millis, Subject } from "@mangoreach/shared";
import { createSubject } from "@mangoreach/shared";
import type { Stream } from "most";
import type { LogClient } from "./log_client.ts";
import type { LogPage, LogRecord, LogStream } from "./records.ts";

/** An event of the tail. */
export type TailEvent =
  | { kind: "record"; record: LogRecord }
  /** Records before `first` expired before they were read. */
  | { kind: "trimmed"; first: number }
  /** All records that were in the log at the time have been read. */
  | { kind: "caught_up"; next: number }
  /** The log is currently unavailable. */
  | { kind: "away"; message: string };

/** Options of {@linkcode startLogTail}. */
export interface LogTailOptions {
  clock: Clock;
  log: LogClient;
  stream: LogStream;
  from: number;
  signal: AbortSignal;
  /** How long one read waits at the log for new records. */
  waitMs?: Millis;
  /**
   * Returns a number from 0 up to 1, for the jitter of reads after an outage.
   */
  random: () => number;
}

/** A running tail. */
export interface LogTail {
  readonly events: Stream<TailEvent>;
  /** The task that reads; it ends when the signal aborts. */
  readonly task: Promise<void>;
}

const DEFAULT_WAIT: Millis = 10_000;
const INITIAL_BACKOFF: Millis = 100;
const MAX_BACKOFF: Millis = 2_000;

/** Starts to follow a stream; observers must subscribe before they await. */
export function startLogTail(options: LogTailOptions): LogTail {
  const subject = createSubject<TailEvent>();
  const task = Promise.resolve().then(() => followLog(options, subject));
  return { events: subject.stream, task };
}

async function followLog(
  { clock, log, stream, from, signal, waitMs = DEFAULT_WAIT, random }:
    LogTailOptions,
  subject: Subject<TailEvent>,
): Promise<void> {
  let next = from;
  let backoff = INITIAL_BACKOFF;
  let hasCaughtUp = false;
  while (!signal.aborted) {
    // Until the end is reached, reads do not wait: a process that starts needs to
    // know the end.
    const wait = hasCaughtUp ? waitMs : 0;
    const page = await log.read(stream, { from: next, waitMs: wait, signal });
    if (signal.aborted) break;
    if (page.isErr) {
      subject.push({ kind: "away", message: page.error.message });
      hasCaughtUp = false;
      await clock.sleep(backoff * (0.5 + random()), signal);
      backoff = Math.min(MAX_BACKOFF, 2 * backoff);
      continue;
    }
    backoff = INITIAL_BACKOFF;
    next = pushPage(subject, { page: page.value, next });
    hasCaughtUp = page.value.records.length === 0 || hasCaughtUp;
    if (hasCaughtUp) subject.push({ kind: "caught_up", next });
  }
  subject.end();
}

function pushPage(
  subject: Subject<TailEvent>,
  { page, next }: { page: LogPage; next: number },
): number {
  if (page.first > next) subject.push({ kind: "trimmed", first: page.first });
  for (const record of page.records) {
    // A record below the requested offset was emitted before.
    if (record.offset >= next) subject.push({ kind: "record", record });
  }
  return Math.max(next, page.next, page.first);
}
