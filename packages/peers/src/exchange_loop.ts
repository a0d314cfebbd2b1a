/**
 * Gossip: exchanges peer state with one other entry at a time, so that the
 * message load of an entry does not grow with the fleet.
 *
 * @module
 */
import type {
  BrittleUpdate,
  EndpointDirectory,
  Failure,
  LeavingMark,
  LimitUpdate,
  Membership,
  PeerRecord,
} from "@mangoreach/coordination";
import { sampleItems } from "@mangoreach/coordination";
import type { Clock, Listening, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { PeerExchange } from "./peer_protocol.ts";
import {
  decodeHeartbeat,
  decodeIntroduction,
  encodeHeartbeat,
  encodeIntroduction,
} from "./peer_protocol.ts";
import type { PoisonUpdate } from "./run_protocol.ts";

/** Options of {@linkcode startExchangeLoop}. */
export interface ExchangeLoopOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  signal: AbortSignal;
  membership: Membership;
  directory: Pick<EndpointDirectory, "chooseLeavingMarks">;
  /** Mean time between two exchanges; the jitter is a quarter of it. */
  interval: Millis;
  /** Increments this entry's heartbeat and updates its own record. */
  updateSelf: () => void;
  /** Control addresses of entries that may not have been discovered yet. */
  listSeeds: () => readonly string[];
  exchange: (
    address: string,
    message: PeerExchange,
  ) => Promise<Result<PeerExchange, Failure>>;
  markLeaving: (mark: LeavingMark) => void;
  /** Chooses at most `count` updates of limits that endpoints reported. */
  chooseLimitUpdates?: (count: number) => readonly LimitUpdate[];
  applyLimitUpdate?: (update: LimitUpdate) => void;
  /** Lists at most `count` pools whose endpoints are brittle. */
  listBrittleUpdates?: (count: number) => readonly BrittleUpdate[];
  applyBrittleUpdate?: (update: BrittleUpdate) => void;
  /** The quarantined and suspected contents; undefined if there are none. */
  readPoisonUpdate?: () => PoisonUpdate | undefined;
  applyPoison?: (update: PoisonUpdate) => void;
  /** Called for each newly discovered entry or incarnation. */
  onDiscovered: (record: PeerRecord) => void;
  /** Called for each newer heartbeat. */
  onHeartbeat: (record: PeerRecord) => void;
  /** Called for each reply, after its updates were applied. */
  onReply: (reply: PeerExchange, address: string) => Promise<void>;
  onUnanswered: (address: string) => void;
  /** Whether a process listens there; used for peers that do not answer. */
  checkListening?: (address: string) => Promise<Listening>;
  /**
   * Counts the bytes of messages, which are encoded once more for it. Left out
   * if the transport counts them.
   */
  onBytes?: (direction: "in" | "out", bytes: number) => void;
}

/** A running exchange loop. */
export interface ExchangeLoop {
  /** Applies a message of a peer and returns the reply. */
  answer(message: PeerExchange): PeerExchange;
  /**
   * Exchanges with some peers at once, such as when this entry begins to
   * leave.
   */
  notifyPeers(count?: number): Promise<void>;
  readonly task: Promise<void>;
}

/**
 * Bounds of a message, which keep its size independent of the fleet. A message
 * with about thirty heartbeats takes 2 KB, and among 195 entries nine in ten
 * heartbeats are less than 7 s old, which is before their entries are
 * suspected.
 */
const MAX_RECORDS = 24;
/** An introduction, which is a full record, is as large as ten heartbeats. */
const MAX_INTRODUCTIONS = 4;
/**
 * Limit for a peer that knows fewer entries; each missing one raises it by
 * one.
 */
const MAX_CATCH_UP_INTRODUCTIONS = 16;
const MAX_MARKS = 8;
const MAX_LIMITS = 16;
const MAX_SUSPICIONS = 8;
/** Minimum time between two heartbeats, as a share of the interval. */
const MIN_INTERVAL_SHARE = 0.75;
const NOTIFY_FANOUT = 3;
/** Time between two attempts while an entry knows no peers. */
const DISCOVERY_INTERVAL: Millis = 200;
/** How long after its discovery the full record of an entry is passed on. */
const INTRODUCTION_PERIOD: Millis = 15_000;
/** Share of exchanges with seeds that have not been discovered yet. */
const UNKNOWN_SEED_SHARE = 0.5;

/** Starts the exchange loop. */
export function startExchangeLoop(options: ExchangeLoopOptions): ExchangeLoop {
  const { clock, random, signal, membership } = options;

  /** When this entry discovered each incarnation. */
  const discoveredAt = new Map<string, Millis>();

  function createMessage(
    introductions: readonly PeerRecord[],
    records: readonly PeerRecord[],
  ): PeerExchange {
    const poison = options.readPoisonUpdate?.();
    const suspicions = membership.chooseSuspicions(MAX_SUSPICIONS);
    const unreached = suspicions.map(({ incarnation, heartbeat }) =>
      [incarnation, heartbeat] satisfies [string, number]
    );
    const detached = listDetached([...records, ...introductions]);
    const limits = options.chooseLimitUpdates?.(MAX_LIMITS) ?? [];
    const brittle = options.listBrittleUpdates?.(MAX_LIMITS) ?? [];
    const message: PeerExchange = {
      heartbeats: records.map(encodeHeartbeat),
      introductions: introductions.map(encodeIntroduction),
      leaving: options.directory.chooseLeavingMarks(MAX_MARKS),
      known: membership.list().length,
      ...(limits.length === 0 ? {} : { limits: [...limits] }),
      ...(brittle.length === 0 ? {} : { brittle: [...brittle] }),
      ...(detached.length === 0 ? {} : { detached }),
      ...(unreached.length === 0 ? {} : { unreached }),
      ...(poison === undefined ? {} : { poison }),
    };
    options.onBytes?.("out", JSON.stringify(message).length);
    return message;
  }

  /**
   * Lists the entries that the peer may not know: this entry, those that were
   * discovered recently, and any of the records if the peer knows fewer
   * entries. One that it knows already is left out, as it costs as much as ten
   * heartbeats.
   */
  function listMissing(
    { heartbeats, known }: PeerExchange,
    records: readonly PeerRecord[],
  ): PeerRecord[] {
    const reported = new Set(heartbeats.map(([incarnation]) => incarnation));
    const others = membership.list().map(({ record }) => record);
    const now = clock.now();
    const recent = others.filter(({ incarnation }) =>
      now - (discoveredAt.get(incarnation) ?? -Infinity) < INTRODUCTION_PERIOD
    );
    const missingCount = Math.max(0, others.length - known);
    const missing = new Set([
      membership.self,
      ...sampleItems(recent, { count: recent.length, random }),
      ...(missingCount > 0 ? records : []),
    ]);
    return [...missing]
      .filter(({ incarnation }) => !reported.has(incarnation))
      .slice(
        0,
        Math.min(MAX_CATCH_UP_INTRODUCTIONS, MAX_INTRODUCTIONS + missingCount),
      );
  }

  function applyIntroductions(
    records: readonly PeerRecord[],
    known: ReadonlyMap<string, PeerRecord>,
  ): void {
    const now = clock.now();
    for (const [incarnation, at] of discoveredAt) {
      if (now - at > INTRODUCTION_PERIOD) discoveredAt.delete(incarnation);
    }
    for (const record of membership.merge(records)) {
      // A peer sends its own record each time; only the first is a discovery.
      if (!known.has(record.incarnation)) {
        discoveredAt.set(record.incarnation, now);
      }
      options.onDiscovered(record);
    }
  }

  function applyMessage(message: PeerExchange): void {
    options.onBytes?.("in", JSON.stringify(message).length);
    const known = new Map(
      membership.list().map(({ record }) => [record.incarnation, record]),
    );
    const { detached } = message;
    const updates = message.heartbeats
      .map((heartbeat) => decodeHeartbeat(heartbeat, detached))
      .flatMap((heartbeat) => {
        const record = known.get(heartbeat.incarnation);
        return record === undefined ? [] : [{ ...record, ...heartbeat }];
      });
    applyIntroductions(
      message.introductions.map((introduction) =>
        decodeIntroduction(introduction, detached)
      ),
      known,
    );
    membership.merge(updates).forEach(options.onHeartbeat);
    for (const [incarnation, heartbeat] of message.unreached ?? []) {
      membership.markSuspected({ incarnation, heartbeat });
    }
    message.leaving.forEach(options.markLeaving);
    for (const limit of message.limits ?? []) options.applyLimitUpdate?.(limit);
    for (const update of message.brittle ?? []) {
      options.applyBrittleUpdate?.(update);
    }
    if (message.poison !== undefined) options.applyPoison?.(message.poison);
  }

  function handleMessage(message: PeerExchange): PeerExchange {
    applyMessage(message);
    const records = membership.chooseRecords(MAX_RECORDS);
    return createMessage(listMissing(message, records), records);
  }

  async function exchangeWith(address: string): Promise<void> {
    // Only this entry's own full record is sent, and of the others heartbeats.
    // The peer receives records that it lacks when it starts an exchange
    // itself.
    const records = membership.chooseRecords(MAX_RECORDS);
    const message = createMessage(records.slice(0, 1), records);
    const reply = await options.exchange(address, message);
    if (reply.isErr) {
      void checkPeer(address);
      return options.onUnanswered(address);
    }
    applyMessage(reply.value);
    await options.onReply(reply.value, address);
  }

  /**
   * A peer that is only short of processor time still accepts connections. One
   * that does not has ended or is behind a network partition: it is
   * suspected, so that callers are not sent there.
   */
  async function checkPeer(address: string): Promise<void> {
    const peer = membership.list()
      .find(({ record }) => record.controlAddress === address);
    if (peer === undefined) return;
    const listening = await options.checkListening?.(address) ?? "listening";
    if (listening === "listening") return;
    const { incarnation, heartbeat } = peer.record;
    // Other entries may have received newer heartbeats of it than this one.
    const missedHeartbeats = Math.ceil(
      peer.age / (MIN_INTERVAL_SHARE * options.interval),
    );
    membership.markSuspected({
      incarnation,
      heartbeat: heartbeat + missedHeartbeats,
    });
  }

  function chooseAddress(): string | undefined {
    const peer = membership.choosePeer()?.controlAddress;
    const known = new Set(
      membership.list().map(({ record }) => record.controlAddress),
    );
    const unknownSeeds = options.listSeeds().filter((address) =>
      address !== membership.self.controlAddress && !known.has(address)
    );
    const isSeedChosen = peer === undefined ||
      random() < UNKNOWN_SEED_SHARE;
    if (!isSeedChosen || unknownSeeds.length === 0) return peer;
    return unknownSeeds[Math.floor(random() * unknownSeeds.length)];
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      options.updateSelf();
      const address = chooseAddress();
      if (address !== undefined) await exchangeWith(address);
      const hasNoPeers = membership.list().length === 0;
      const interval = hasNoPeers ? DISCOVERY_INTERVAL : options.interval;
      const share = MIN_INTERVAL_SHARE +
        random() * (1 - MIN_INTERVAL_SHARE) * 2;
      await clock.sleep(interval * share, signal);
    }
  }

  async function notifyPeers(count = NOTIFY_FANOUT): Promise<void> {
    membership.updateSelf({});
    const alive = membership.list()
      .filter(({ health }) => health === "alive");
    await Promise.all(
      sampleItems(alive, { count, random }).map(({ record }) =>
        exchangeWith(record.controlAddress)
      ),
    );
  }

  return { answer: handleMessage, notifyPeers, task: run() };
}

function listDetached(records: readonly PeerRecord[]): string[] {
  const detached = records.filter(({ state }) => state === "detached");
  return [...new Set(detached.map(({ incarnation }) => incarnation))];
}
