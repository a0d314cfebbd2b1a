/**
 * Passes on to other entries what this one reads of a keyed topic, so that not
 * every entry has to ask the platform's store.
 *
 * Keeps the store's own offsets: an entry may read on here, at another entry or
 * at the store, and misses nothing.
 *
 * @module
 */
import type { KnowledgeAge, KnowledgeTime } from "@mangoreach/coordination";
import type { TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { SharedSource } from "./shared_source.ts";
import type {
  KeyedReading,
  KeyedRecord,
  KeyedSource,
  TopicPosition,
} from "./serving_handles.ts";

/** A source; without `mayPassOn` all that is read there is passed on. */
export type ReadableSource =
  & KeyedSource
  & Partial<Pick<SharedSource, "mayPassOn">>;

/** Options of {@linkcode createTopicRelay}. */
export interface TopicRelayOptions {
  clock: Clock;
  /** Where this entry reads: the store, or another entry. */
  source: ReadableSource;
  /** How long ago the store confirmed what is kept here. */
  age: KnowledgeAge;
  /**
   * What a record says, without heartbeats; a record that says the same as the
   * one before is not passed on.
   */
  readContent: (record: KeyedRecord) => string;
}

/** A topic as this entry reads it, and passes it on. */
export interface TopicRelay {
  /** Where this entry reads; what is read goes to others too. */
  readonly source: KeyedSource;
  /**
   * Answers another entry, after a while if there is nothing new yet; at once
   * when the signal aborts.
   */
  answer(question: TopicQuestion, signal?: AbortSignal): Promise<TopicNews>;
}

interface WaitingAsker {
  from: TopicPosition;
  /** From then on a confirmation is answer enough. */
  ripeAt: Millis;
  wake: () => void;
}

interface KeptRecord extends KeyedRecord {
  offset: number;
}

interface KnownKey {
  value: string;
  /** Undefined for what an older copy holds: its next record is news. */
  content: string | undefined;
}

/** An entry that has fallen behind by more gets the newest record of each key. */
const MAX_KEPT = 1_000;

/** Creates a relay that has read nothing yet. */
export function createTopicRelay(
  { clock, source, age, readContent }: TopicRelayOptions,
): TopicRelay {
  let kept: KeptRecord[] = [];
  /** Nothing is known here of records before this offset of the present era. */
  let first = Infinity;
  let next: TopicPosition | undefined;
  const newest = new Map<string, KnownKey>();
  /** Whether `newest` holds every key of the topic. */
  let isComplete = false;
  /** Who waits for news, or for this entry to catch up with them. */
  const waiting = new Set<WaitingAsker>();

  /** Returns whether the record says something new. */
  function noteRecord(record: KeyedRecord): boolean {
    const { key, value } = record;
    const content = readContent(record);
    const known = newest.get(key);
    if (value === undefined) return newest.delete(key);
    newest.set(key, { value, content });
    return known?.content !== content;
  }

  function takeNewest({ records, next: end }: KeyedReading): void {
    const isRestored = next !== undefined && next.era !== end.era;
    beginAt(end);
    records.forEach(noteRecord);
    if (isRestored) markDoubtful();
    isComplete = true;
  }

  /**
   * A copy holds endpoints that have left since. Only those that live write
   * again, and whoever asks here must hear of it, though it says nothing new.
   */
  function markDoubtful(): void {
    for (const known of newest.values()) known.content = undefined;
  }

  function beginAt(end: TopicPosition): void {
    newest.clear();
    isComplete = false;
    kept = [];
    first = end.offset;
    next = end;
  }

  /** Returns whether there was news. */
  function takeChanges(
    { offset: from }: TopicPosition,
    reading: KeyedReading,
  ): boolean {
    const news = reading.records
      .map((record, index) => ({
        key: record.key,
        value: record.value,
        offset: record.offset ?? from + index,
      }))
      .filter(noteRecord);
    kept.push(...news);
    const excess = kept.splice(0, Math.max(0, kept.length - MAX_KEPT));
    first = Math.max(first, (excess.at(-1)?.offset ?? -1) + 1);
    next = reading.next;
    return news.length > 0;
  }

  function releaseAskers(
    isNewsThere: boolean,
    before: TopicPosition | undefined,
  ): void {
    const now = clock.now();
    for (const { from, ripeAt, wake } of [...waiting]) {
      const isCaughtUp = isAhead(from, before) && !isAhead(from, next);
      if (isNewsThere || isCaughtUp || now >= ripeAt) wake();
    }
  }

  function mayPassOn(): boolean {
    return source.mayPassOn?.() ?? true;
  }

  /** They lose no time at an entry that has nothing to pass on. */
  function settleAskers(): void {
    for (const { wake } of [...waiting]) wake();
  }

  function noteConfirmed(
    askedAt: KnowledgeTime,
    { age: old = 0 }: KeyedReading,
  ) {
    age.noteConfirmed({
      monotonic: askedAt.monotonic - old,
      wall: askedAt.wall - old,
    });
  }

  async function readNewest() {
    const askedAt = age.readTime();
    const reading = await source.readNewest();
    if (reading.isErr) return reading;
    takeNewest(reading.value);
    noteConfirmed(askedAt, reading.value);
    releaseAskers(true, next);
    return reading;
  }

  async function readFrom(from: TopicPosition, wait: Millis) {
    const askedAt = age.readTime();
    const reading = await source.readFrom(from, wait);
    if (!mayPassOn()) settleAskers();
    if (reading.isErr) return reading;
    const before = next;
    let isNewsThere = true;
    if (reading.value.isNewest) takeNewest(reading.value);
    // Records in between were read elsewhere and are not kept here.
    else if (!isSamePosition(from, next)) beginAt(reading.value.next);
    else isNewsThere = takeChanges(from, reading.value);
    noteConfirmed(askedAt, reading.value);
    releaseAskers(isNewsThere, before);
    return reading;
  }

  function listNews(from: TopicPosition, arrivedAt: Millis): TopicNews {
    if (!mayPassOn()) return { kind: "unknown" };
    if (next === undefined || isAhead(from, next)) return { kind: "unknown" };
    const known = { next, age: age.read() - (clock.now() - arrivedAt) };
    if (from.era === next.era && from.offset >= first) {
      const records = kept.filter(({ offset }) => offset >= from.offset);
      return { kind: "records", records: records.map(formatRecord), ...known };
    }
    if (!isComplete) return { kind: "unknown" };
    const records = [...newest].map(([key, { value }]) => ({ key, value }));
    return { kind: "newest", records, ...known };
  }

  function waitForNews(
    { from, wait, confirmWait }: TopicQuestion,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        waiting.delete(asker);
        stop();
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      const stop = clock.startTimer(wait + confirmWait, wake);
      const asker = { from, ripeAt: clock.now() + wait, wake };
      waiting.add(asker);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  async function answer(
    question: TopicQuestion,
    signal?: AbortSignal,
  ): Promise<TopicNews> {
    const { from, wait } = question;
    const arrivedAt = clock.now();
    const news = listNews(from, arrivedAt);
    // An entry that has read elsewhere may be ahead for a moment.
    const isSomethingNew = news.kind === "newest" ||
      (news.kind === "records" && news.records.length > 0);
    if (isSomethingNew || wait === 0 || !mayPassOn()) return news;
    await waitForNews(question, signal);
    return listNews(from, arrivedAt);
  }

  return { source: { readNewest, readFrom }, answer };
}

/** Whether a position is of a later era, or of the same and behind the other. */
function isAhead(
  { era, offset }: TopicPosition,
  other: TopicPosition | undefined,
): boolean {
  if (other === undefined) return true;
  return era === other.era ? offset > other.offset : era > other.era;
}

function isSamePosition(
  { era, offset }: TopicPosition,
  other: TopicPosition | undefined,
): boolean {
  return era === other?.era && offset === other.offset;
}

function formatRecord({ key, value, offset }: KeptRecord) {
  return value === undefined ? { key, offset } : { key, value, offset };
}
