/**
 * A keyed topic as most entries read it: from one of the few entries that read
 * the store, and from the store itself where that does not do.
 *
 * What it saves is calls to the store, which grow with the fleet otherwise. What
 * it must not cost is fresh knowledge: an entry that relays tells how old its
 * own is, and is passed over when that is too old, when it is silent, or when it
 * does not know what was asked for.
 *
 * @module
 */
import type { TopicName, TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { KeyedReading, KeyedSource } from "./serving_handles.ts";

/** Options of {@linkcode createSharedSource}. */
export interface SharedSourceOptions {
  clock: Clock;
  topic: TopicName;
  /** The store. */
  source: KeyedSource;
  /**
   * Control addresses of entries that read the store, in the order in which this
   * entry asks them; none if it reads the store itself.
   */
  listReaders: () => readonly string[];
  /** Undefined if the entry does not answer. */
  ask: (
    address: string,
    question: TopicQuestion,
  ) => Promise<TopicNews | undefined>;
}

/**
 * Readers know the store as of half a second ago; what is older comes from one
 * that has lost the store, or was paused.
 */
const MAX_AGE: Millis = 1_000;
/** A reader answers at once if something changes, else after this time. */
const READER_WAIT: Millis = 400;
/** A reader that was of no use is not asked for this long. */
const READER_PENALTY: Millis = 2_000;

/** Creates the source of one topic. */
export function createSharedSource(
  { clock, topic, source, listReaders, ask }: SharedSourceOptions,
): KeyedSource {
  const penalties = new Map<string, Millis>();

  function chooseReader(): string | undefined {
    const [reader] = listReaders();
    if (reader === undefined) return undefined;
    const isPenalized = (penalties.get(reader) ?? -Infinity) > clock.now();
    return isPenalized ? undefined : reader;
  }

  /** Undefined if the entry's answer is of no use. */
  async function readAt(
    reader: string,
    question: TopicQuestion,
  ): Promise<KeyedReading | undefined> {
    const news = await ask(reader, question);
    if (news?.kind !== "records" || news.age > MAX_AGE) return undefined;
    const { records, next, age } = news;
    return {
      records: records.map(({ key, value }) => ({ key, value })),
      next,
      age,
    };
  }

  async function readFrom(from: number, wait: Millis) {
    const reader = chooseReader();
    if (reader === undefined) return await source.readFrom(from, wait);
    const reading = await readAt(reader, { topic, from, wait: READER_WAIT });
    if (reading !== undefined) return Result.ok<KeyedReading, never>(reading);
    penalties.set(reader, clock.now() + READER_PENALTY);
    return await source.readFrom(from, 0);
  }

  return { readNewest: source.readNewest, readFrom };
}
