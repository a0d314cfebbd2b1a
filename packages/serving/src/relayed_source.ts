/**
 * Reads a compacted topic through other entries, and falls back to the store.
 *
 * Most entries read from a peer, so the number of calls to the store does not
 * grow with the number of entries. The data must stay as fresh as if every
 * entry read the store: an entry that the store does not serve, even one that
 * reads on behalf of others, reads from the entries that the store does serve.
 *
 * @module
 */
import type { TopicName } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { PeerReaderOptions, PeerReadResult } from "./peer_reader.ts";
import { createPeerReader } from "./peer_reader.ts";
import type { ReadTracker } from "./read_tracker.ts";
import type {
  TopicPosition,
  TopicReadError,
  TopicReadResult,
  TopicSource,
} from "./platform_interfaces.ts";
import { createStoreHealth } from "./store_health.ts";
import type { TopicTiming } from "./topic_timing.ts";
import type { TopicParents } from "./topic_parents.ts";

/** A topic source that entries share. */
export interface RelayedSource extends TopicSource {
  /**
   * Whether peers may read from this entry; false for a store reader that
   * cannot reach the store.
   */
  mayRelay(): boolean;
}

/** Options of {@linkcode createRelayedSource}. */
export interface RelayedSourceOptions {
  clock: Clock;
  random: () => number;
  topic: TopicName;
  /** The store. */
  source: TopicSource;
  /** Returns the entries to read from before the store. */
  chooseParents: () => TopicParents;
  /** Resolves to undefined if the entry does not answer. */
  request: PeerReaderOptions["request"];
  timing: Pick<TopicTiming, "relayWait" | "confirmWait" | "maxAge">;
  /** Tracks every read, from the store and from other entries. */
  reads: Pick<ReadTracker, "begin">;
}

/**
 * The wait of a store read is never cut below this share, however slow the
 * store is.
 */
const MIN_WAIT_SHARE = 0.25;
/**
 * A store read that exceeds its expected duration by this much counts as
 * failed: the store does not serve this reader, or is too slow to be read for
 * others.
 */
const READER_GRACE: Millis = 200;
/**
 * Peers are asked if a store read without a wait has not returned after this.
 */
const PEER_FALLBACK_DELAY: Millis = 100;
/** A store read that is due within this time is waited for. */
const MAX_DUE_WAIT: Millis = 350;
/** Minimum pause between two calls to a store that does not answer. */
const UNREACHABLE_STORE_PAUSE: Millis = 500;

/** Creates the shared source of one topic. */
export function createRelayedSource(
  {
    clock,
    random,
    topic,
    source,
    chooseParents,
    request,
    timing,
    reads,
  }: RelayedSourceOptions,
): RelayedSource {
  const peers = createPeerReader({
    clock,
    random,
    topic,
    request,
    timing,
    reads,
  });
  const storeHealth = createStoreHealth(clock, random);
  /** How much longer than the wait the last store read took. */
  let storeDelay: Millis = 0;
  /** When this entry may read the store itself while no peer is usable. */
  let nextStoreReadAt: Millis | undefined;
  /** Whether this entry was a store reader at its last read. */
  let wasReader = false;

  /** Returns whether a store read is due, and schedules the next one if so. */
  function reserveStoreRead(storePause: Millis): boolean {
    const now = clock.now();
    const pause = storeHealth.isUnreachable()
      ? Math.max(UNREACHABLE_STORE_PAUSE, storePause)
      : storePause;
    // The first read is jittered too: a whole place may have lost its relays at
    // once.
    nextStoreReadAt ??= now + random() * pause / 2;
    if (now < nextStoreReadAt) return false;
    nextStoreReadAt = now + pause * (0.5 + random());
    return true;
  }

  /**
   * Sleeps until a store read that is almost due, which the caller's back-off
   * could otherwise miss.
   */
  async function waitForStoreRead(): Promise<void> {
    const left = (nextStoreReadAt ?? Infinity) - clock.now();
    if (left <= MAX_DUE_WAIT) await clock.sleep(left);
  }

  async function trackStoreRead(
    read: () => Promise<Result<TopicReadResult, TopicReadError>>,
  ) {
    const end = reads.begin("store");
    const requestedAt = clock.now();
    const result = await read();
    end(result.isOk ? "read" : result.error);
    if (result.isOk) peers.recordConfirmed(requestedAt);
    return result;
  }

  async function callStore(from: TopicPosition, wait: Millis) {
    const result = await trackStoreRead(() => source.readFrom(from, wait));
    if (isStoreResponse(result)) storeHealth.recordSuccess();
    else storeHealth.recordFailure();
    return result;
  }

  /**
   * Reads the store with a wait that is shortened by the store's response
   * delay. Otherwise a slow store would make the data of all entries older by
   * that delay.
   */
  async function pollStore(from: TopicPosition, wait: Millis) {
    const shortened = Math.round(
      Math.max(MIN_WAIT_SHARE * wait, wait - storeDelay),
    );
    const requestedAt = clock.now();
    const result = await callStore(from, shortened);
    if (result.isErr) return result;
    const took = clock.now() - requestedAt;
    const isEmpty = result.value.records.length === 0;
    // A store that returns before the wait is over does not honour the wait; a
    // longer wait would not slow it down, so the delay is never negative.
    if (isEmpty || wait === 0) storeDelay = Math.max(0, took - shortened);
    if (!isEmpty) return result;
    // A record written during the wait would have ended it, so the result is as
    // fresh as the end of the wait.
    const age = took < shortened ? 0 : -shortened;
    peers.recordConfirmed(requestedAt - age);
    return Result.ok<TopicReadResult, TopicReadError>({ ...result.value, age });
  }

  /** Resolves to undefined if there is no result within the limit. */
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

  /**
   * Converts a peer's result; its age counts from `startedAt`, when the whole
   * read began, which may have asked other peers first.
   */
  function acceptPeerResult(
    { result, confirmedAt }: PeerReadResult,
    startedAt: Millis,
  ): Result<TopicReadResult, TopicReadError> {
    peers.recordConfirmed(confirmedAt);
    return Result.ok({ ...result, age: startedAt - confirmedAt });
  }

  /**
   * Waits for a store read, and reads from peers if it is slow. An entry that
   * gets no response from the store thus has data before its call times out.
   */
  async function readStoreOrPeers(
    stored: Promise<Result<TopicReadResult, TopicReadError>>,
    { from, timeout, parents, startedAt }: {
      from: TopicPosition;
      timeout: Millis;
      parents: TopicParents;
      startedAt: Millis;
    },
  ): Promise<Result<TopicReadResult, TopicReadError>> {
    for (let limit = timeout;; limit = PEER_FALLBACK_DELAY) {
      const outcome = await waitAtMost(stored, limit);
      if (outcome !== undefined && isStoreResponse(outcome)) return outcome;
      const relayed =
        await peers.readAtParents(parents.addresses, { from, wait: 0 }) ??
          await peers.findFresher(from, parents.listOthers);
      if (relayed !== undefined) return acceptPeerResult(relayed, startedAt);
      if (outcome !== undefined) return outcome;
    }
  }

  async function readAsReader(
    from: TopicPosition,
    { storeWait, parents }: { storeWait: Millis; parents: TopicParents },
  ): Promise<Result<TopicReadResult, TopicReadError>> {
    const startedAt = clock.now();
    // A store that is as slow as at the last read is not taken for unreachable.
    const timeout = storeWait + storeDelay + READER_GRACE;
    const stored = pollStore(from, storeWait);
    const cancel = clock.startTimer(timeout, storeHealth.recordFailure);
    void stored.then(cancel, cancel);
    return await readStoreOrPeers(stored, {
      from,
      timeout,
      parents,
      startedAt,
    });
  }

  /**
   * Reads the store late in a read; the age counts from this call, not from
   * `startedAt`.
   */
  async function callStoreAsFallback(
    from: TopicPosition,
    startedAt: Millis,
  ): Promise<Result<TopicReadResult, TopicReadError>> {
    const calledAt = clock.now();
    const result = await callStore(from, 0);
    return result.map((value) => ({ ...value, age: startedAt - calledAt }));
  }

  /**
   * A peer found by a search comes first, but only while the store is
   * unreachable.
   */
  function listCandidates({ addresses }: TopicParents): readonly string[] {
    const found = storeHealth.isUnreachable()
      ? peers.readFallback()
      : undefined;
    return found === undefined ? addresses : [found, ...addresses];
  }

  async function readFrom(
    from: TopicPosition,
    storeWait: Millis,
  ): Promise<Result<TopicReadResult, TopicReadError>> {
    const parents = chooseParents();
    wasReader = parents.isReader;
    if (parents.isReader && !storeHealth.isUnreachable()) {
      return await readAsReader(from, { storeWait, parents });
    }
    // Not awaited: the probe could delay the read by a second.
    if (parents.isReader && storeHealth.reserveProbe()) void callStore(from, 0);
    const startedAt = clock.now();
    const query = { from, wait: timing.relayWait };
    const relayed = await peers.readAtParents(
      listCandidates(parents),
      query,
    );
    if (relayed !== undefined) {
      nextStoreReadAt = undefined;
      return acceptPeerResult(relayed, startedAt);
    }
    if (reserveStoreRead(parents.storePause)) {
      return await readStoreOrPeers(callStoreAsFallback(from, startedAt), {
        from,
        timeout: PEER_FALLBACK_DELAY,
        parents,
        startedAt,
      });
    }
    const found = await peers.findFresher(from, parents.listOthers);
    if (found !== undefined) return acceptPeerResult(found, startedAt);
    await waitForStoreRead();
    return Result.err("unavailable");
  }

  return {
    readSnapshot: () => trackStoreRead(() => source.readSnapshot()),
    readFrom,
    // A peer that took this entry's stale data for the store's would not read
    // the store itself.
    mayRelay: () => !(wasReader && storeHealth.isUnreachable()),
  };
}

/**
 * Whether the store responded, even if only to say that the records are gone.
 */
function isStoreResponse(
  result: Result<TopicReadResult, TopicReadError>,
): boolean {
  return result.isOk || result.error === "expired";
}
