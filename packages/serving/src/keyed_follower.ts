/**
 * Follows a keyed topic: the newest record of each key first, then every change.
 * Survives outages, lost answers and expired records.
 *
 * @module
 */
import type { KnowledgeTime } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type {
  KeyedReading,
  KeyedRecord,
  KeyedSource,
  TopicPosition,
} from "./serving_handles.ts";

/** What is done with what is read. */
export interface TopicSink {
  /**
   * The store has come back from an older copy of itself: the newest records
   * that are taken next lack what was written last.
   */
  handleRestored(): void;
  /** Takes the newest record of every key. */
  replaceAll(records: readonly KeyedRecord[]): void;
  /** Takes one change. */
  apply(record: KeyedRecord): void;
  /** What was taken so far was complete at `askedAt`. */
  recordConfirmed(askedAt: KnowledgeTime): void;
  /** The topic cannot be read any more. */
  handleUnavailable(): void;
  /** The topic can be read again. */
  handleAvailable(): void;
}

/** Options of {@linkcode followTopic}. */
export interface TopicFollowerOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  source: KeyedSource;
  sink: TopicSink;
  readTime: () => KnowledgeTime;
  /** How long one reading waits for a change. */
  wait: Millis;
  /** Pause between two readings of the store that found something. */
  pause: Millis;
}

/** Pause between two questions to another entry, which waits for changes. */
const RELAYED_READ_PAUSE: Millis = 50;
/** The first pause after a failed reading; doubles up to the longest. */
const MIN_BACKOFF: Millis = 50;
const MAX_BACKOFF: Millis = 400;
/**
 * Nobody of use for a moment is no outage. Taken for one, removals that are read
 * next would not be believed for two seconds, and endpoints that are gone would
 * get requests; while the store is away, no endpoint lapses within three seconds.
 */
const UNAVAILABLE_AFTER: Millis = 1_000;

/** Follows until the signal aborts. */
export async function followTopic(
  { clock, random, signal, source, sink, readTime, wait, pause }:
    TopicFollowerOptions,
): Promise<void> {
  let next: TopicPosition | undefined;
  let era: number | undefined;
  let backoff = MIN_BACKOFF;
  let isUnavailable = false;
  /** When the topic was last read. */
  let readAt = -Infinity;

  /** Returns what was read, or undefined after a failure. */
  async function readOnce(): Promise<KeyedReading | undefined> {
    const reading = next === undefined
      ? await source.readNewest()
      : await source.readFrom(next, wait);
    if (reading.isOk) return reading.value;
    if (reading.error === "expired") next = undefined;
    else handleFailure();
    return undefined;
  }

  function handleFailure(): void {
    if (isUnavailable || clock.now() - readAt < UNAVAILABLE_AFTER) return;
    sink.handleUnavailable();
    isUnavailable = true;
  }

  function applyResult(reading: KeyedReading, askedAt: KnowledgeTime): void {
    if (isUnavailable) sink.handleAvailable();
    isUnavailable = false;
    readAt = clock.now();
    backoff = MIN_BACKOFF;
    const isSnapshot = next === undefined || reading.isNewest === true;
    if (era !== undefined && reading.next.era !== era) sink.handleRestored();
    era = reading.next.era;
    if (isSnapshot) sink.replaceAll(reading.records);
    else reading.records.forEach((record) => sink.apply(record));
    next = reading.next;
    const { age = 0 } = reading;
    sink.recordConfirmed({
      monotonic: askedAt.monotonic - age,
      wall: askedAt.wall - age,
    });
  }

  while (!signal.aborted) {
    const askedAt = readTime();
    const reading = await readOnce();
    if (reading !== undefined) {
      applyResult(reading, askedAt);
      // Another entry has gathered changes already, and tells them as they come.
      const rest = reading.isRelayed === true
        ? Math.min(pause, RELAYED_READ_PAUSE)
        : pause;
      // A spread pause keeps entries that started together from asking together.
      await clock.sleep(rest * (0.75 + random() / 2), signal);
      continue;
    }
    await clock.sleep(backoff * (0.5 + random()), signal);
    backoff = Math.min(MAX_BACKOFF, backoff * 2);
  }
}
