/**
 * A keyed topic as most entries read it: from another entry that knows it
 * already, and from the store itself where that does not do.
 *
 * What it saves is calls to the store, which grow with the fleet otherwise. What
 * it must not cost is fresh knowledge. An entry that the store turns away, also
 * one that reads for others, hears from those that the store answers.
 *
 * @module
 */
import type { TopicName } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { PeerReaderOptions, PeerReading } from "./peer_reader.ts";
import { createPeerReader } from "./peer_reader.ts";
import type { ReadingWatch } from "./reading_watch.ts";
import type {
  KeyedFault,
  KeyedReading,
  KeyedSource,
  TopicPosition,
} from "./serving_handles.ts";
import { createStoreAccess } from "./store_access.ts";
import type { TopicPace } from "./topic_pace.ts";
import type { TopicParents } from "./topic_readers.ts";

/** A topic that entries read at each other. */
export interface SharedSource extends KeyedSource {
  /** Whether others may read here: not at a reader that has lost the store. */
  mayPassOn(): boolean;
}

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
  ask: PeerReaderOptions["ask"];
  pace: Pick<TopicPace, "relayWait" | "confirmWait" | "maxAge">;
  /** Told of each reading, at the store and at other entries. */
  readings: Pick<ReadingWatch, "begin">;
}

/** However slow the store is, a reader does not call it without any wait. */
const SHORTEST_WAIT_SHARE = 0.25;
/**
 * A store that takes so much longer than its wait has turned a reader away, or
 * is too slow to be read for others.
 */
const READER_PATIENCE: Millis = 200;
/** Asked without a wait and silent for this long: peers may know. */
const STRAY_PATIENCE: Millis = 100;
/** A turn at the store that is due within this is waited for. */
const NEAR_TURN: Millis = 350;
/** Pause between two calls of a store that does not answer. */
const LOST_PAUSE: Millis = 500;

/** Creates the source of one topic. */
export function createSharedSource(
  { clock, random, topic, source, chooseParents, ask, pace, readings }:
    SharedSourceOptions,
): SharedSource {
  const peers = createPeerReader({ clock, random, topic, ask, pace, readings });
  const access = createStoreAccess(clock, random);
  /** What the store took last besides the wait. */
  let storeDelay: Millis = 0;
  /** When this entry may read the store itself, while nobody is of use. */
  let storeTurn: Millis | undefined;
  /** Whether it reads for others, by its last look at who lives. */
  let isReaderNow = false;

  /** Whether enough time has passed since this entry last read the store. */
  function takeStoreTurn(storePause: Millis): boolean {
    const now = clock.now();
    const pause = access.isLost()
      ? Math.max(LOST_PAUSE, storePause)
      : storePause;
    // The first turn is spread too: a whole place may have lost its relays.
    storeTurn ??= now + random() * pause / 2;
    if (now < storeTurn) return false;
    storeTurn = now + pause * (0.5 + random());
    return true;
  }

  /** The pauses after failures grow; a turn that is near is not missed for it. */
  async function waitForTurn(): Promise<void> {
    const left = (storeTurn ?? Infinity) - clock.now();
    if (left <= NEAR_TURN) await clock.sleep(left);
  }

  async function watchReading(
    read: () => Promise<Result<KeyedReading, KeyedFault>>,
  ) {
    const end = readings.begin("store");
    const askedAt = clock.now();
    const reading = await read();
    end(reading.isOk ? "read" : reading.error);
    if (reading.isOk) peers.noteConfirmed(askedAt);
    return reading;
  }

  async function callStore(from: TopicPosition, wait: Millis) {
    const reading = await watchReading(() => source.readFrom(from, wait));
    if (isAnswered(reading)) access.noteAnswered();
    else access.noteLost();
    return reading;
  }

  /**
   * A slow store takes its time besides the wait. The wait is shorter by that, or
   * everybody's knowledge would be older by it.
   */
  async function waitAtStore(from: TopicPosition, wait: Millis) {
    const shortened = Math.round(
      Math.max(SHORTEST_WAIT_SHARE * wait, wait - storeDelay),
    );
    const askedAt = clock.now();
    const reading = await callStore(from, shortened);
    if (reading.isErr) return reading;
    const took = clock.now() - askedAt;
    const isWaitOver = reading.value.records.length === 0;
    // One that does not wait is not fast: longer waits would not slow it down.
    if (isWaitOver || wait === 0) storeDelay = Math.max(0, took - shortened);
    if (!isWaitOver) return reading;
    // A record that came during the wait would have ended it.
    const age = took < shortened ? 0 : -shortened;
    peers.noteConfirmed(askedAt - age);
    return Result.ok<KeyedReading, KeyedFault>({ ...reading.value, age });
  }

  /** Undefined if there is no result in time. */
  async function waitAtMost<T>(
    result: Promise<T>,
    limit: Millis,
  ): Promise<T | undefined> {
    const controller = new AbortController();
    const late = clock.sleep(limit, controller.signal).then(() => undefined);
    const first = await Promise.race([result, late]);
    controller.abort();
    return first;
  }

  /** `startedAt`: when the reading began, which may have asked others first. */
  function takeRelayed(
    { reading, confirmedAt }: PeerReading,
    startedAt: Millis,
  ): Result<KeyedReading, KeyedFault> {
    peers.noteConfirmed(confirmedAt);
    return Result.ok({ ...reading, age: startedAt - confirmedAt });
  }

  /**
   * An entry that the store has turned away without a word hears from its peers
   * before its call is given up.
   */
  async function waitBesidePeers(
    stored: Promise<Result<KeyedReading, KeyedFault>>,
    { from, patience, parents, startedAt }: {
      from: TopicPosition;
      patience: Millis;
      parents: TopicParents;
      startedAt: Millis;
    },
  ): Promise<Result<KeyedReading, KeyedFault>> {
    for (let limit = patience;; limit = STRAY_PATIENCE) {
      const outcome = await waitAtMost(stored, limit);
      if (outcome !== undefined && isAnswered(outcome)) return outcome;
      const relayed =
        await peers.readAtParents(parents.addresses, { from, wait: 0 }) ??
          await peers.findYounger(from, parents.listOthers);
      if (relayed !== undefined) return takeRelayed(relayed, startedAt);
      if (outcome !== undefined) return outcome;
    }
  }

  async function readAsReader(
    from: TopicPosition,
    { storeWait, parents }: { storeWait: Millis; parents: TopicParents },
  ): Promise<Result<KeyedReading, KeyedFault>> {
    const startedAt = clock.now();
    // One that is slow as it was before has not turned this entry away.
    const patience = storeWait + storeDelay + READER_PATIENCE;
    const stored = waitAtStore(from, storeWait);
    const cancel = clock.startTimer(patience, access.noteLost);
    void stored.then(cancel, cancel);
    return await waitBesidePeers(stored, {
      from,
      patience,
      parents,
      startedAt,
    });
  }

  /** The store's answer is as young as the call, not as the reading. */
  async function callStoreLater(
    from: TopicPosition,
    startedAt: Millis,
  ): Promise<Result<KeyedReading, KeyedFault>> {
    const calledAt = clock.now();
    const reading = await callStore(from, 0);
    return reading.map((value) => ({ ...value, age: startedAt - calledAt }));
  }

  /** Only an entry that has lost the store reads on at what a search found. */
  function listAsked({ addresses }: TopicParents): readonly string[] {
    const found = access.isLost() ? peers.readFound() : undefined;
    return found === undefined ? addresses : [found, ...addresses];
  }

  async function readFrom(
    from: TopicPosition,
    storeWait: Millis,
  ): Promise<Result<KeyedReading, KeyedFault>> {
    const parents = chooseParents();
    isReaderNow = parents.isReader;
    if (parents.isReader && !access.isLost()) {
      return await readAsReader(from, { storeWait, parents });
    }
    // Beside the reading, which it would hold up for a second.
    if (parents.isReader && access.takeProbe()) void callStore(from, 0);
    const startedAt = clock.now();
    const question = { from, wait: pace.relayWait };
    const relayed = await peers.readAtParents(listAsked(parents), question);
    if (relayed !== undefined) {
      storeTurn = undefined;
      return takeRelayed(relayed, startedAt);
    }
    if (takeStoreTurn(parents.storePause)) {
      return await waitBesidePeers(callStoreLater(from, startedAt), {
        from,
        patience: STRAY_PATIENCE,
        parents,
        startedAt,
      });
    }
    const found = await peers.findYounger(from, parents.listOthers);
    if (found !== undefined) return takeRelayed(found, startedAt);
    await waitForTurn();
    return Result.err("unavailable");
  }

  return {
    readNewest: () => watchReading(() => source.readNewest()),
    readFrom,
    // Who took its word for the store's would not read the store for others.
    mayPassOn: () => !(isReaderNow && access.isLost()),
  };
}

/** Whether the store has spoken, if only to say that the records are gone. */
function isAnswered(reading: Result<KeyedReading, KeyedFault>): boolean {
  return reading.isOk || reading.error === "expired";
}
