/**
 * Passes on to other entries what this one reads of a keyed topic, so that not
 * every entry has to ask the platform's store.
 *
 * Keeps the store's own offsets: an entry may read on here, at another entry or
 * at the store, and misses nothing.
 *
 * @module
 */
import type { KnowledgeAge } from "@mangoreach/coordination";
import type { TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type {
  KeyedReading,
  KeyedRecord,
  KeyedSource,
} from "./serving_handles.ts";

/** Options of {@linkcode createTopicRelay}. */
export interface TopicRelayOptions {
  clock: Clock;
  /** The store. */
  source: KeyedSource;
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
  /** The store; what is read goes to others too. */
  readonly source: KeyedSource;
  /** Answers another entry, after a while if there is nothing new yet. */
  answer(question: TopicQuestion): Promise<TopicNews>;
}

interface WaitingAsker {
  from: number;
  wake: () => void;
}

interface KeptRecord extends KeyedRecord {
  offset: number;
}

/** An entry that has fallen behind by more reads the newest records itself. */
const MAX_KEPT = 1_000;

/** Creates a relay that has read nothing yet. */
export function createTopicRelay(
  { clock, source, age, readContent }: TopicRelayOptions,
): TopicRelay {
  let kept: KeptRecord[] = [];
  /** Nothing is known here of records before this offset. */
  let first = Infinity;
  let next = -Infinity;
  const contents = new Map<string, string>();
  /** Who waits for news, or for this entry to catch up with them. */
  const waiting = new Set<WaitingAsker>();

  function isNews(record: KeyedRecord): boolean {
    const content = readContent(record);
    if (contents.get(record.key) === content) return false;
    if (record.value === undefined) contents.delete(record.key);
    else contents.set(record.key, content);
    return true;
  }

  function takeNewest({ records, next: end }: KeyedReading): void {
    contents.clear();
    records.forEach(isNews);
    kept = [];
    first = end;
    next = end;
  }

  function takeChanges(from: number, reading: KeyedReading): void {
    const news = reading.records
      .map((record, index) => ({ ...record, offset: from + index }))
      .filter(isNews);
    kept.push(...news);
    const excess = kept.splice(0, Math.max(0, kept.length - MAX_KEPT));
    first = Math.max(first, (excess.at(-1)?.offset ?? -1) + 1);
    const before = next;
    next = reading.next;
    for (const { from: asked, wake } of [...waiting]) {
      const isCaughtUp = asked > before && asked <= next;
      if (news.length > 0 || isCaughtUp) wake();
    }
  }

  async function readNewest() {
    const askedAt = age.readTime();
    const reading = await source.readNewest();
    if (reading.isErr) return reading;
    takeNewest(reading.value);
    age.noteConfirmed(askedAt);
    return reading;
  }

  async function readFrom(from: number, wait: number) {
    const askedAt = age.readTime();
    const reading = await source.readFrom(from, wait);
    if (reading.isErr) return reading;
    // Records in between went to this entry by others: those are not kept here.
    if (from === next) takeChanges(from, reading.value);
    else takeNewest({ records: [], next: reading.value.next });
    age.noteConfirmed(askedAt);
    return reading;
  }

  function listNews(from: number): TopicNews {
    if (from < first || from > next) return { kind: "unknown" };
    const records = kept.filter(({ offset }) => offset >= from)
      .map(({ key, value }) => value === undefined ? { key } : { key, value });
    return { kind: "records", records, next, age: age.read() };
  }

  function waitForNews(from: number, wait: Millis): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        waiting.delete(asker);
        stop();
        resolve();
      };
      const stop = clock.startTimer(wait, wake);
      const asker = { from, wake };
      waiting.add(asker);
    });
  }

  async function answer(
    { from, wait }: TopicQuestion,
  ): Promise<TopicNews> {
    const news = listNews(from);
    // An entry that has read the store itself may be ahead for a moment.
    const mayWait = news.kind === "unknown"
      ? from > next
      : news.records.length === 0;
    if (!mayWait) return news;
    await waitForNews(from, wait);
    return listNews(from);
  }

  return { source: { readNewest, readFrom }, answer };
}
