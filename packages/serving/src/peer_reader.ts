/**
 * Reads a topic at other entries: at the parents of this entry, and at any other
 * where those tell nothing young.
 *
 * An entry that is asked tells how old its own knowledge is, and is passed over
 * when that is too old, when it is silent, or when it does not know what was
 * asked for.
 *
 * @module
 */
import type { TopicName, TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { createFallbackPeers } from "./fallback_peers.ts";
import { createPeerPenalties } from "./peer_penalties.ts";
import type { ReadingWatch } from "./reading_watch.ts";
import type { KeyedReading, TopicPosition } from "./serving_handles.ts";
import type { TopicPace } from "./topic_pace.ts";

/** Options of {@linkcode createPeerReader}. */
export interface PeerReaderOptions {
  clock: Clock;
  random: () => number;
  topic: TopicName;
  /** Undefined if the entry does not answer. */
  ask: (
    address: string,
    question: TopicQuestion,
  ) => Promise<TopicNews | undefined>;
  pace: Pick<TopicPace, "confirmWait" | "maxAge">;
  readings: Pick<ReadingWatch, "begin">;
}

/** What a peer has told. */
export interface PeerReading {
  address: string;
  reading: KeyedReading;
  /** When the store confirmed it, by this entry's clock. */
  confirmedAt: Millis;
}

/** Reads at peers; a reading is undefined if none was of use. */
export interface PeerReader {
  /** Asks the first that is usable, and others for what they know already. */
  readAtParents(
    parents: readonly string[],
    question: { from: TopicPosition; wait: Millis },
  ): Promise<PeerReading | undefined>;
  /** Asks some of all others, for what they know already. */
  findYounger(
    from: TopicPosition,
    listOthers: () => readonly string[],
  ): Promise<PeerReading | undefined>;
  /** The peer that a search has found, while it stands in for parents. */
  readFound(): string | undefined;
  /** Notes when the store confirmed what this entry has read. */
  noteConfirmed(at: Millis): void;
}

/** Asked for one reading: the first, and others when it is of no use. */
const MAX_ASKED = 3;

/**
 * An answer without news is worth a message only so often, also while the store
 * is slow and nobody knows anything young: seven a second for each asker.
 */
const SHORTEST_QUESTION: Millis = 100;

/** Half of the time between two confirmations: the store has spoken since. */
const CLEARLY_YOUNGER: Millis = 300;
/** Three times the age of a configuration's news is near the limit for keys. */
const OLDEST_FACTOR = 3;

/**
 * Others are searched from this share of the limit on: until then an entry's own
 * knowledge serves, and others have hardly any younger.
 */
const SEARCH_AGE_SHARE = 0.7;
/** The others that were asked together are waited for this long after the first. */
const GATHERING: Millis = 20;

/** Creates the reader of one topic. */
export function createPeerReader(
  { clock, random, topic, ask, pace, readings }: PeerReaderOptions,
): PeerReader {
  const penalties = createPeerPenalties(clock);
  const fallback = createFallbackPeers({ clock, random });
  /** When the store confirmed what this entry has read last. */
  let confirmedAt: Millis | undefined;

  function isSearchDue(): boolean {
    return confirmedAt === undefined ||
      clock.now() - confirmedAt > SEARCH_AGE_SHARE * pace.maxAge;
  }

  /**
   * Of a slow store nobody knows anything young: what is clearly younger than
   * the last reading helps then. One that is cut off tells the same each time.
   */
  function isOfUse(newlyConfirmedAt: Millis): boolean {
    const age = clock.now() - newlyConfirmedAt;
    if (age <= pace.maxAge) return true;
    return confirmedAt !== undefined && age <= OLDEST_FACTOR * pace.maxAge &&
      newlyConfirmedAt - confirmedAt >= CLEARLY_YOUNGER;
  }

  /** Undefined if the entry's answer is of no use. */
  async function askPeer(
    address: string,
    question: Omit<TopicQuestion, "topic">,
  ): Promise<PeerReading | undefined> {
    const askedAt = clock.now();
    const end = readings.begin("peer", address);
    const news = await ask(address, { topic, ...question });
    if (news === undefined) {
      penalties.note(address, "silent");
      return void end("silent");
    }
    if (news.kind === "unknown") return void end("unknown");
    const { records, next, age, kind } = news;
    if (!isOfUse(askedAt - age)) return void end("old");
    end("read");
    penalties.clear(address);
    const reading: KeyedReading = {
      records: records.map(({ key, value, offset }) => ({
        key,
        value,
        offset,
      })),
      next,
      isNewest: kind === "newest",
      isRelayed: true,
    };
    return { address, reading, confirmedAt: askedAt - age };
  }

  /** Not of one that is asked in a search, which is paced itself. */
  function noteUseless(parent: string): void {
    if (penalties.isUsable(parent)) penalties.note(parent, "old");
  }

  async function readAtParents(
    parents: readonly string[],
    { from, wait }: { from: TopicPosition; wait: Millis },
  ): Promise<PeerReading | undefined> {
    const usable = parents.filter(penalties.isUsable).slice(0, MAX_ASKED);
    const [first, ...others] = usable;
    if (first === undefined) return undefined;
    const reading = await askPeer(first, { from, ...computeWaits(wait) });
    if (reading !== undefined) return reading;
    // Time was lost already: the others are asked together, for what they know.
    const found = await askTogether(others, from);
    usable.filter((parent) => parent !== found?.address).forEach(noteUseless);
    return found;
  }

  /**
   * The youngest of those that answer about as fast as the first; one that is
   * silent does not hold it up.
   */
  async function askTogether(
    addresses: readonly string[],
    from: TopicPosition,
  ): Promise<PeerReading | undefined> {
    const question = { from, wait: 0, confirmWait: 0 };
    const answered: PeerReading[] = [];
    const asked = addresses.map(async (address) => {
      const reading = await askPeer(address, question);
      if (reading === undefined) throw new Error(`${address} is of no use`);
      answered.push(reading);
    });
    const isAny = await Promise.any(asked).then(() => true, () => false);
    if (!isAny) return undefined;
    await Promise.race([Promise.allSettled(asked), clock.sleep(GATHERING)]);
    return answered.reduce((youngest, other) =>
      other.confirmedAt > youngest.confirmedAt ? other : youngest
    );
  }

  async function findYounger(
    from: TopicPosition,
    listOthers: () => readonly string[],
  ): Promise<PeerReading | undefined> {
    if (!isSearchDue()) return undefined;
    const searched = fallback.chooseSearched(() =>
      listOthers().filter(penalties.isUsable)
    );
    if (searched.length === 0) return undefined;
    const found = await askTogether(searched, from);
    // Others that the store turns away know no more than this entry.
    const isYounger = found !== undefined &&
      found.confirmedAt > (confirmedAt ?? -Infinity);
    if (!isYounger) {
      fallback.noteNotFound();
      return undefined;
    }
    fallback.noteFound(found.address);
    return found;
  }

  /**
   * A reader that the store has turned away answers without news when the waits
   * are over, and then its word is too old. What is known here must not have
   * grown older than the limit by so much before the store itself is asked.
   */
  function computeWaits(wait: Millis) {
    if (wait === 0) return { wait, confirmWait: 0 };
    const ownAge = confirmedAt === undefined ? 0 : clock.now() - confirmedAt;
    const left = Math.max(SHORTEST_QUESTION, pace.maxAge - ownAge);
    const limited = Math.min(wait, left);
    return {
      wait: limited,
      confirmWait: Math.min(pace.confirmWait, left - limited),
    };
  }

  return {
    readAtParents,
    findYounger,
    readFound: fallback.readKept,
    noteConfirmed: (at) => confirmedAt = at,
  };
}
