/**
 * Follows a compacted topic: reads a snapshot with the newest record of each
 * key, then every change. Handles outages, lost responses and expired records.
 *
 * @module
 */
import type { DataTimestamp } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type {
  TopicPosition,
  TopicReadResult,
  TopicRecord,
  TopicSource,
} from "./platform_interfaces.ts";

/** Receives the records of a topic. */
export interface TopicSink {
  /**
   * Called when the store was restored from an older copy, before the snapshot
   * that is read next; that snapshot lacks the most recent writes.
   */
  handleRestored(): void;
  /** Applies a snapshot: the newest record of every key. */
  replaceAll(records: readonly TopicRecord[]): void;
  /** Applies one change. */
  apply(record: TopicRecord): void;
  /**
   * Called when the records applied so far are known to be complete at
   * `requestedAt`.
   */
  recordConfirmed(requestedAt: DataTimestamp): void;
  /** Called when the topic has become unavailable. */
  handleUnavailable(): void;
  /** Called when the topic is available again. */
  handleAvailable(): void;
}

/** Options of {@linkcode followTopic}. */
export interface TopicFollowerOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  source: TopicSource;
  sink: TopicSink;
  readTime: () => DataTimestamp;
  /** Long-poll wait of one read. */
  wait: Millis;
  /** Pause after a successful read from the store. */
  pause: Millis;
}

/** Pause after a read from another entry, which batches changes itself. */
const RELAYED_READ_PAUSE: Millis = 50;
/** The first pause after a failed read; doubles up to the maximum. */
const MIN_BACKOFF: Millis = 50;
const MAX_BACKOFF: Millis = 400;
/**
 * Failures shorter than this are not an outage. If they were treated as one,
 * removals read next would be ignored for two seconds, and removed endpoints
 * would get requests. The delay is safe: while the store is unavailable, no
 * endpoint expires within three seconds.
 */
const UNAVAILABLE_AFTER: Millis = 1_000;

/** Follows a topic until the signal aborts. */
export async function followTopic(
  { clock, random, signal, source, sink, readTime, wait, pause }:
    TopicFollowerOptions,
): Promise<void> {
  let next: TopicPosition | undefined;
  let era: number | undefined;
  let backoff = MIN_BACKOFF;
  let isUnavailable = false;
  /** Time of the last successful read. */
  let readAt = -Infinity;

  /** Resolves to the result, or to undefined after a failure. */
  async function readOnce(): Promise<TopicReadResult | undefined> {
    const result = next === undefined
      ? await source.readSnapshot()
      : await source.readFrom(next, wait);
    if (result.isOk) return result.value;
    if (result.error === "expired") next = undefined;
    else handleFailure();
    return undefined;
  }

  function handleFailure(): void {
    if (isUnavailable || clock.now() - readAt < UNAVAILABLE_AFTER) return;
    sink.handleUnavailable();
    isUnavailable = true;
  }

  function applyResult(
    result: TopicReadResult,
    requestedAt: DataTimestamp,
  ): void {
    if (isUnavailable) sink.handleAvailable();
    isUnavailable = false;
    readAt = clock.now();
    backoff = MIN_BACKOFF;
    const isSnapshot = next === undefined || result.isSnapshot === true;
    if (era !== undefined && result.next.era !== era) sink.handleRestored();
    era = result.next.era;
    if (isSnapshot) sink.replaceAll(result.records);
    else result.records.forEach((record) => sink.apply(record));
    next = result.next;
    const { age = 0 } = result;
    sink.recordConfirmed({
      monotonic: requestedAt.monotonic - age,
      wall: requestedAt.wall - age,
    });
  }

  while (!signal.aborted) {
    const requestedAt = readTime();
    const result = await readOnce();
    if (result !== undefined) {
      applyResult(result, requestedAt);
      // Another entry has batched the changes already and sends them as they
      // come.
      const rest = result.isRelayed === true
        ? Math.min(pause, RELAYED_READ_PAUSE)
        : pause;
      // The jitter keeps entries that started together from polling together.
      await clock.sleep(rest * (0.75 + random() / 2), signal);
      continue;
    }
    await clock.sleep(backoff * (0.5 + random()), signal);
    backoff = Math.min(MAX_BACKOFF, backoff * 2);
  }
}
