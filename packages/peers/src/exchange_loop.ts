/**
 * Exchanges peer state with other entries, one partner at a time, so that the
 * messages of one entry do not grow with the fleet.
 *
 * @module
 */
import type {
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
import { decodeHeartbeat, encodeHeartbeat } from "./peer_protocol.ts";
import type { PoisonNews } from "./run_protocol.ts";

/** What the loop works on. */
export interface ExchangeLoopOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  signal: AbortSignal;
  membership: Membership;
  directory: Pick<EndpointDirectory, "chooseLeavingMarks">;
  /** Time between two exchanges, spread at random by a quarter. */
  interval: Millis;
  /** Raises the own heartbeat with what is news here. */
  beat: () => void;
  /** Control addresses of entries that may not be known yet. */
  listSeeds: () => readonly string[];
  exchange: (
    address: string,
    message: PeerExchange,
  ) => Promise<Result<PeerExchange, Failure>>;
  markLeaving: (mark: LeavingMark) => void;
  /** What to tell of limits that endpoints name, at most `count`. */
  chooseLimitNews?: (count: number) => readonly LimitUpdate[];
  noteLimitNews?: (news: LimitUpdate) => void;
  /** What to tell of contents that are turned away; undefined if nothing. */
  readPoisonNews?: () => PoisonNews | undefined;
  notePoisonNews?: (news: PoisonNews) => void;
  /** Told of entries, or of new incarnations of them. */
  onIntroduced: (record: PeerRecord) => void;
  /** Told of each newer heartbeat. */
  onHeartbeat: (record: PeerRecord) => void;
  /** Told of each reply, after its news was taken in. */
  onReply: (reply: PeerExchange, address: string) => Promise<void>;
  onUnanswered: (address: string) => void;
  /** Whether a process listens there; asked about partners that do not answer. */
  checkListening?: (address: string) => Promise<Listening>;
  onBytes: (direction: "in" | "out", bytes: number) => void;
}

/** A running exchange. */
export interface ExchangeLoop {
  /** Answers a message of a peer. */
  answer(message: PeerExchange): PeerExchange;
  /** Tells some peers at once, such as when this entry begins to leave. */
  tellPeers(count?: number): Promise<void>;
  readonly task: Promise<void>;
}

/**
 * Bounds of a message, which keep its size independent of the fleet. With some
 * thirty heartbeats it takes 2 KB, and among 195 entries nine in ten are heard of
 * within 7 s, before they are suspected.
 */
const MAX_RECORDS = 24;
/** Introductions take as much as ten heartbeats each. */
const MAX_INTRODUCTIONS = 4;
/** So many to who knows fewer entries, one more for each that it lacks. */
const MAX_CATCHING_UP = 16;
const MAX_MARKS = 8;
const MAX_LIMITS = 16;
const MAX_SUSPICIONS = 8;
/** The shortest time between two heartbeats, as a share of the interval. */
const SHORTEST_PAUSE = 0.75;
const PEERS_TOLD_AT_ONCE = 3;
/** While an entry knows nobody, it tries this often. */
const LONELY_INTERVAL: Millis = 200;
/** An entry is told on for this long after it became known here. */
const NEWS_LIFETIME: Millis = 15_000;
/** Share of exchanges with listed entries that are not yet known. */
const STRANGER_SHARE = 0.5;

/** Starts to exchange peer state. */
export function startExchangeLoop(options: ExchangeLoopOptions): ExchangeLoop {
  const { clock, random, signal, membership } = options;

  /** When each incarnation became known here. */
  const introducedAt = new Map<string, Millis>();

  function createMessage(
    introductions: readonly PeerRecord[],
    records: readonly PeerRecord[],
  ): PeerExchange {
    const poison = options.readPoisonNews?.();
    const suspicions = membership.chooseSuspicions(MAX_SUSPICIONS);
    const unreached = suspicions.map(({ incarnation, heartbeat }) =>
      [incarnation, heartbeat] satisfies [string, number]
    );
    const limits = options.chooseLimitNews?.(MAX_LIMITS) ?? [];
    const message: PeerExchange = {
      heartbeats: records.map(encodeHeartbeat),
      introductions: [...introductions],
      leaving: options.directory.chooseLeavingMarks(MAX_MARKS),
      known: membership.list().length,
      ...(limits.length === 0 ? {} : { limits: [...limits] }),
      ...(unreached.length === 0 ? {} : { unreached }),
      ...(poison === undefined ? {} : { poison }),
    };
    options.onBytes("out", JSON.stringify(message).length);
    return message;
  }

  /**
   * Whom the partner may not know: this entry, those that are new here too, and
   * any of the records if it knows fewer entries. Each that a partner knows
   * already costs as much as ten heartbeats.
   */
  function listLacking(
    { heartbeats, known }: PeerExchange,
    records: readonly PeerRecord[],
  ): PeerRecord[] {
    const told = new Set(heartbeats.map(([incarnation]) => incarnation));
    const others = membership.list().map(({ record }) => record);
    const now = clock.now();
    const recent = others.filter(({ incarnation }) =>
      now - (introducedAt.get(incarnation) ?? -Infinity) < NEWS_LIFETIME
    );
    const lacked = Math.max(0, others.length - known);
    const lacking = new Set([
      membership.self,
      ...sampleItems(recent, { count: recent.length, random }),
      ...(lacked > 0 ? records : []),
    ]);
    return [...lacking]
      .filter(({ incarnation }) => !told.has(incarnation))
      .slice(0, Math.min(MAX_CATCHING_UP, MAX_INTRODUCTIONS + lacked));
  }

  function takeIntroductions(
    records: readonly PeerRecord[],
    known: ReadonlyMap<string, PeerRecord>,
  ): void {
    const now = clock.now();
    for (const [incarnation, at] of introducedAt) {
      if (now - at > NEWS_LIFETIME) introducedAt.delete(incarnation);
    }
    for (const record of membership.merge(records)) {
      // A partner introduces itself each time: only the first is news to pass on.
      if (!known.has(record.incarnation)) {
        introducedAt.set(record.incarnation, now);
      }
      options.onIntroduced(record);
    }
  }

  function takeMessage(message: PeerExchange): void {
    options.onBytes("in", JSON.stringify(message).length);
    const known = new Map(
      membership.list().map(({ record }) => [record.incarnation, record]),
    );
    const updates = message.heartbeats.map(decodeHeartbeat)
      .flatMap((heartbeat) => {
        const record = known.get(heartbeat.incarnation);
        return record === undefined ? [] : [{ ...record, ...heartbeat }];
      });
    takeIntroductions(message.introductions, known);
    membership.merge(updates).forEach(options.onHeartbeat);
    for (const [incarnation, heartbeat] of message.unreached ?? []) {
      membership.markSuspected({ incarnation, heartbeat });
    }
    message.leaving.forEach(options.markLeaving);
    for (const news of message.limits ?? []) options.noteLimitNews?.(news);
    if (message.poison !== undefined) options.notePoisonNews?.(message.poison);
  }

  function answer(message: PeerExchange): PeerExchange {
    takeMessage(message);
    const records = membership.chooseRecords(MAX_RECORDS);
    return createMessage(listLacking(message, records), records);
  }

  async function exchangeWith(address: string): Promise<void> {
    // The own introduction always goes along; of the others only heartbeats,
    // the partner fetches what it lacks when it is its turn.
    const records = membership.chooseRecords(MAX_RECORDS);
    const message = createMessage(records.slice(0, 1), records);
    const reply = await options.exchange(address, message);
    if (reply.isErr) {
      void checkPartner(address);
      return options.onUnanswered(address);
    }
    takeMessage(reply.value);
    await options.onReply(reply.value, address);
  }

  /**
   * One that is only short of processor still takes connections. A partner that
   * does not has ended or is cut off, and callers are not sent there.
   */
  async function checkPartner(address: string): Promise<void> {
    const partner = membership.list()
      .find(({ record }) => record.controlAddress === address);
    if (partner === undefined) return;
    const listening = await options.checkListening?.(address) ?? "listening";
    if (listening === "listening") return;
    const { incarnation, heartbeat } = partner.record;
    // Others may have heard of it later than this entry has.
    const missed = Math.ceil(partner.age / (SHORTEST_PAUSE * options.interval));
    membership.markSuspected({ incarnation, heartbeat: heartbeat + missed });
  }

  function chooseAddress(): string | undefined {
    const partner = membership.choosePeer()?.controlAddress;
    const known = new Set(
      membership.list().map(({ record }) => record.controlAddress),
    );
    const strangers = options.listSeeds().filter((address) =>
      address !== membership.self.controlAddress && !known.has(address)
    );
    const isStrangersTurn = partner === undefined || random() < STRANGER_SHARE;
    if (!isStrangersTurn || strangers.length === 0) return partner;
    return strangers[Math.floor(random() * strangers.length)];
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      options.beat();
      const address = chooseAddress();
      if (address !== undefined) await exchangeWith(address);
      const isAlone = membership.list().length === 0;
      const interval = isAlone ? LONELY_INTERVAL : options.interval;
      const share = SHORTEST_PAUSE + random() * (1 - SHORTEST_PAUSE) * 2;
      await clock.sleep(interval * share, signal);
    }
  }

  async function tellPeers(count = PEERS_TOLD_AT_ONCE): Promise<void> {
    membership.updateSelf({});
    const alive = membership.list()
      .filter(({ health }) => health === "alive");
    await Promise.all(
      sampleItems(alive, { count, random }).map(({ record }) =>
        exchangeWith(record.controlAddress)
      ),
    );
  }

  return { answer, tellPeers, task: run() };
}
