/**
 * A keyed topic as most entries read it: from another entry that knows it
 * already, and from the store itself where that does not do.
 *
 * What it saves is calls to the store, which grow with the fleet otherwise. What
 * it must not cost is fresh knowledge: an entry that is asked tells how old its
 * own is, and is passed over when that is too old, when it is silent, or when it
 * does not know what was asked for.
 *
 * @module
 */
import type { TopicName, TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type {
  KeyedFault,
  KeyedReading,
  KeyedSource,
  TopicPosition,
} from "./serving_handles.ts";
import type { ReadingOutcome, ReadingWatch } from "./reading_watch.ts";
import type { TopicPace } from "./topic_pace.ts";
import type { TopicParents } from "./topic_readers.ts";

/** Options of {@linkcode createSharedSource}. */
export interface SharedSourceOptions {
  clock: Clock;
  random: () => number;
  topic: TopicName;
  /** The store. */
  source: KeyedSource;
  /** Whom this entry asks before the store. */
  chooseParents: () => TopicParents;
  /** Undefined if the entry does not answer. */
  ask: (
    address: string,
    question: TopicQuestion,
  ) => Promise<TopicNews | undefined>;
  pace: Pick<TopicPace, "relayWait" | "confirmWait" | "maxAge">;
  /** Told of each reading, at the store and at other entries. */
  readings: Pick<ReadingWatch, "begin">;
}

/** However slow the store is, a reader does not call it without any wait. */
const SHORTEST_WAIT_SHARE = 0.25;
/** Asked for one reading: the first, and others when it is of no use. */
const MAX_ASKED = 3;
/**
 * An entry that was of no use is not asked for this long at first, and twice as
 * long each time until it is of use again: in an outage of the store nobody has
 * anything to tell, and the questions would take the processor from requests.
 */
const SILENT_PENALTY = { first: 1_000, longest: 8_000 };
/** One that answers, with old news or none yet, is about to get younger itself. */
const OLD_PENALTY = { first: 300, longest: 2_000 };

/**
 * An answer without news is worth a message only so often, also while the store
 * is slow and nobody knows anything young: seven a second for each asker.
 */
const SHORTEST_QUESTION: Millis = 100;

/** Half of the time between two confirmations: the store has spoken since. */
const CLEARLY_YOUNGER: Millis = 300;
/** Three times the age of a configuration's news is near the limit for keys. */
const OLDEST_FACTOR = 3;

interface Penalty {
  duration: Millis;
  until: Millis;
}

/** Creates the source of one topic. */
export function createSharedSource(
  { clock, random, topic, source, chooseParents, ask, pace, readings }:
    SharedSourceOptions,
): KeyedSource {
  const penalties = new Map<string, Penalty>();
  /** When the store confirmed what this entry has read last. */
  let confirmedAt = Infinity;
  /** What the store took last besides the wait. */
  let storeDelay: Millis = 0;
  /** When this entry may read the store itself, while nobody is of use. */
  let storeTurn: Millis | undefined;

  function notePenalty(
    parent: string,
    { first, longest }: { first: Millis; longest: Millis },
  ): void {
    const last = penalties.get(parent)?.duration ?? 0;
    const duration = Math.min(longest, Math.max(first, 2 * last));
    penalties.set(parent, { duration, until: clock.now() + duration });
  }

  /**
   * Of a slow store nobody knows anything young: what is clearly younger than
   * the last reading helps then. One that is cut off tells the same each time.
   */
  function isOfUse(newlyConfirmedAt: Millis): boolean {
    const age = clock.now() - newlyConfirmedAt;
    return age <= pace.maxAge ||
      (age <= OLDEST_FACTOR * pace.maxAge &&
        newlyConfirmedAt - confirmedAt >= CLEARLY_YOUNGER);
  }

  /** Undefined if the entry's answer is of no use. */
  async function askParent(
    parent: string,
    question: Omit<TopicQuestion, "topic">,
  ): Promise<KeyedReading | undefined> {
    const askedAt = clock.now();
    const end = readings.begin("peer", parent);
    const news = await ask(parent, { topic, ...question });
    if (news === undefined) {
      notePenalty(parent, SILENT_PENALTY);
      return void end("silent");
    }
    if (news.kind === "unknown") {
      notePenalty(parent, OLD_PENALTY);
      return void end("unknown");
    }
    const { records, next, age, kind } = news;
    if (!isOfUse(askedAt - age)) {
      notePenalty(parent, OLD_PENALTY);
      return void end("old");
    }
    end("read");
    penalties.delete(parent);
    confirmedAt = askedAt - age;
    return {
      records: records.map(({ key, value, offset }) => ({
        key,
        value,
        offset,
      })),
      next,
      isNewest: kind === "newest",
      isRelayed: true,
      age,
    };
  }

  async function readAtParents(
    parents: readonly string[],
    { from, wait }: { from: TopicPosition; wait: Millis },
  ): Promise<KeyedReading | undefined> {
    const now = clock.now();
    const usable = parents.filter((parent) =>
      (penalties.get(parent)?.until ?? -Infinity) <= now
    );
    const [first, ...others] = usable.slice(0, MAX_ASKED);
    if (first === undefined) return undefined;
    const reading = await askParent(first, { from, ...computeWaits(wait) });
    if (reading !== undefined) return reading;
    // Time was lost already: the others are asked together, for what they know.
    const askedLater = clock.now() - now;
    const readings = await Promise.all(
      others.map((parent) =>
        askParent(parent, { from, wait: 0, confirmWait: 0 })
      ),
    );
    const known = readings.find((reading) => reading !== undefined);
    if (known === undefined) return undefined;
    return { ...known, age: (known.age ?? 0) - askedLater };
  }

  /**
   * A reader that the store has turned away answers without news when the waits
   * are over, and then its word is too old. What is known here must not be older
   * than the limit by so much again before the store itself is asked: over all
   * the wait 2.48 s, and 1.81 s like this (replay of eight entries).
   */
  function computeWaits(wait: Millis) {
    if (wait === 0) return { wait, confirmWait: 0 };
    const ownAge = clock.now() - confirmedAt;
    const left = Math.max(SHORTEST_QUESTION, pace.maxAge - ownAge);
    const limited = Math.min(wait, left);
    return {
      wait: limited,
      confirmWait: Math.min(pace.confirmWait, left - limited),
    };
  }

  /** Whether enough time has passed since this entry last read the store. */
  function takeStoreTurn(storePause: Millis): boolean {
    const now = clock.now();
    // The first turn is spread too: a whole place may have lost its relays.
    storeTurn ??= now + random() * storePause;
    if (now < storeTurn) return false;
    storeTurn = now + storePause * (0.5 + random());
    return true;
  }

  async function callStore(from: TopicPosition, wait: Millis) {
    const end = readings.begin("store");
    const reading = await source.readFrom(from, wait);
    end(describeOutcome(reading));
    return reading;
  }

  /**
   * A slow store takes its time besides the wait. The wait is shorter by that, or
   * everybody's knowledge would be older by it.
   */
  async function readStore(from: TopicPosition, wait: Millis) {
    const shortened = Math.round(
      Math.max(SHORTEST_WAIT_SHARE * wait, wait - storeDelay),
    );
    const askedAt = clock.now();
    const reading = await callStore(from, shortened);
    if (reading.isErr || reading.value.records.length > 0) return reading;
    const took = clock.now() - askedAt;
    // One that does not wait is not fast: longer waits would not slow it down.
    storeDelay = Math.max(0, took - shortened);
    // A record that came during the wait would have ended it.
    const age = took < shortened ? 0 : -shortened;
    return Result.ok<KeyedReading, KeyedFault>({ ...reading.value, age });
  }

  /** As a reader: who is cut off from the store alone hears from the others. */
  async function readStoreFirst(
    from: TopicPosition,
    { storeWait, addresses }: {
      storeWait: Millis;
      addresses: readonly string[];
    },
  ) {
    const reading = await readStore(from, storeWait);
    if (reading.isOk || reading.error === "expired") return reading;
    const relayed = await readAtParents(addresses, { from, wait: 0 });
    return relayed === undefined ? reading : Result.ok(relayed);
  }

  async function readFrom(
    from: TopicPosition,
    storeWait: Millis,
  ): Promise<Result<KeyedReading, KeyedFault>> {
    const { isReader, addresses, storePause } = chooseParents();
    if (isReader) return await readStoreFirst(from, { storeWait, addresses });
    const wait = pace.relayWait;
    const reading = await readAtParents(addresses, { from, wait });
    if (reading !== undefined) {
      storeTurn = undefined;
      return Result.ok(reading);
    }
    if (!takeStoreTurn(storePause)) return Result.err("unavailable");
    return await callStore(from, 0);
  }

  async function readNewest() {
    const askedAt = clock.now();
    const end = readings.begin("store");
    const reading = await source.readNewest();
    end(describeOutcome(reading));
    if (reading.isOk) confirmedAt = askedAt;
    return reading;
  }

  return { readNewest, readFrom };
}

function describeOutcome(
  reading: Result<KeyedReading, KeyedFault>,
): ReadingOutcome {
  return reading.isOk ? "read" : reading.error;
}
