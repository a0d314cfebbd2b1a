/**
 * Exchanges peer state with other entries, one partner at a time, so that the
 * messages of one entry do not grow with the fleet.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
  PeerRecord,
} from "@mangoreach/coordination";
import type {
  Heartbeat,
  OutcomeQuestion,
  OutcomeReply,
  PeerClient,
  PeerExchange,
} from "@mangoreach/peers";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryContext } from "./entry_context.ts";

/** What the exchange works on. */
export interface PeerExchangeOptions {
  membership: Membership;
  directory: EndpointDirectory;
  peers: PeerClient;
  config: Pick<ConfigFollower, "active" | "adopt">;
  markLeaving: (endpointKey: string, age: number) => void;
  /** Requests in progress here. */
  countInFlight: () => number;
  /** The highest priority that missed deadlines here lately, 0 for none. */
  readStrained: () => number;
  /** Told what another entry is strained by. */
  onStrain: (strainedPriority: number) => void;
}

/** A running exchange. */
export interface PeerExchangeLoop {
  /** Answers a message of a peer. */
  answer(message: PeerExchange): PeerExchange;
  /** Takes control addresses from the instance list. */
  addSeeds(entries: readonly EndpointInfo[]): void;
  /** Tells some peers at once, such as when this entry begins to leave. */
  tellPeers(): Promise<void>;
  /** Asks the entry of an incarnation; undefined when it cannot be asked. */
  askOwner(
    incarnation: string,
    question: OutcomeQuestion,
  ): Promise<OutcomeReply | undefined>;
  readonly task: Promise<void>;
}

/** Bounds of a message, which keep its size independent of the fleet. */
const MAX_RECORDS = 6;
const MAX_MARKS = 8;
const PEERS_TOLD_AT_ONCE = 3;

/** Starts to exchange peer state. */
export function startPeerExchange(
  context: EntryContext,
  options: PeerExchangeOptions,
): PeerExchangeLoop {
  const { clock, settings, random, signal, timeline, metrics } = context;
  const { membership, directory, peers, config } = options;
  const logger = context.logger.forPart("peers");
  let seeds: string[] = [...settings.peers];

  function createMessage(known: readonly Heartbeat[]): PeerExchange {
    const records = membership.chooseRecords(MAX_RECORDS);
    const knownIncarnations = new Set(known.map((peer) => peer.incarnation));
    const lacking = records.filter((record) =>
      !knownIncarnations.has(record.incarnation)
    );
    return {
      heartbeats: records.map(formatHeartbeat),
      introductions: lacking,
      leaving: directory.chooseMarks(MAX_MARKS),
    };
  }

  function takeMessage(message: PeerExchange): void {
    metrics.countPeerBytes("in", JSON.stringify(message).length);
    const known = new Map(
      membership.list().map(({ record }) => [record.incarnation, record]),
    );
    const updates = message.heartbeats.flatMap((heartbeat) => {
      const record = known.get(heartbeat.incarnation);
      return record === undefined ? [] : [{ ...record, ...heartbeat }];
    });
    for (const record of membership.merge(message.introductions)) {
      timeline.record("peer_seen", { detail: record.entry });
    }
    for (const { strainedPriority } of membership.merge(updates)) {
      options.onStrain(strainedPriority);
    }
    for (const { endpointKey, age } of message.leaving) {
      options.markLeaving(endpointKey, age);
    }
  }

  function answer(message: PeerExchange): PeerExchange {
    takeMessage(message);
    const reply = createMessage(message.heartbeats);
    metrics.countPeerBytes("out", JSON.stringify(reply).length);
    return reply;
  }

  async function exchangeWith(address: string): Promise<void> {
    // The own introduction always goes along; of the others only heartbeats,
    // the partner fetches what it lacks when it is its turn.
    const message = createMessage(
      membership.chooseRecords(MAX_RECORDS).slice(1).map(formatHeartbeat),
    );
    metrics.countPeerBytes("out", JSON.stringify(message).length);
    const reply = await peers.exchange(address, message);
    if (reply.isErr) {
      logger.debug("No answer from a peer.", { address });
      return;
    }
    takeMessage(reply.value);
    await readNewerConfig(reply.value, address);
  }

  /** Takes a newer configuration from a peer while the log is away or slow. */
  async function readNewerConfig(
    { heartbeats }: PeerExchange,
    address: string,
  ): Promise<void> {
    const version = config.active?.version ?? 0;
    const newest = Math.max(...heartbeats.map((peer) => peer.configVersion));
    if (newest <= version) return;
    const newer = await peers.readConfig(address);
    if (newer.isOk && newer.value !== undefined) config.adopt(newer.value);
  }

  function chooseAddress(): string | undefined {
    const partner = membership.choosePartner()?.controlAddress;
    const known = new Set(
      membership.list().map(({ record }) => record.controlAddress),
    );
    const strangers = seeds.filter((address) =>
      address !== membership.self.controlAddress && !known.has(address)
    );
    const isStrangersTurn = partner === undefined || random() < STRANGER_SHARE;
    if (!isStrangersTurn || strangers.length === 0) return partner;
    return strangers[Math.floor(random() * strangers.length)];
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      membership.beat({
        inFlight: options.countInFlight(),
        strainedPriority: options.readStrained(),
        configVersion: config.active?.version ?? 0,
      });
      const address = chooseAddress();
      if (address !== undefined) await exchangeWith(address);
      const isAlone = membership.list().length === 0;
      const interval = isAlone ? LONELY_INTERVAL : settings.timing.exchangeMs;
      await clock.sleep(interval * (0.75 + random() / 2), signal);
    }
  }

  async function tellPeers(): Promise<void> {
    membership.beat({});
    const alive = membership.list()
      .filter(({ health }) => health === "alive")
      .sort(() => random() - 0.5)
      .slice(0, PEERS_TOLD_AT_ONCE);
    await Promise.all(
      alive.map(({ record }) => exchangeWith(record.controlAddress)),
    );
  }

  async function askOwner(
    incarnation: string,
    question: OutcomeQuestion,
  ): Promise<OutcomeReply | undefined> {
    const owner = findByIncarnation(membership, incarnation);
    if (owner === undefined) return undefined;
    const reply = await peers.askOutcome(owner.controlAddress, question);
    return reply.isOk ? reply.value : undefined;
  }

  return {
    answer,
    addSeeds(entries) {
      seeds = [...settings.peers, ...entries.map(({ address }) => address)];
    },
    tellPeers,
    askOwner,
    task: run(),
  };
}

/** While an entry knows nobody, it tries this often. */
const LONELY_INTERVAL = 200;
/** Share of exchanges with listed entries that are not yet known. */
const STRANGER_SHARE = 0.5;

function findByIncarnation(
  membership: Membership,
  incarnation: string,
): PeerRecord | undefined {
  return membership.list()
    .find(({ record }) => record.incarnation === incarnation)?.record;
}

function formatHeartbeat(record: PeerRecord): Heartbeat {
  return {
    entry: record.entry,
    incarnation: record.incarnation,
    heartbeat: record.heartbeat,
    state: record.state,
    configVersion: record.configVersion,
    inFlight: record.inFlight,
    strainedPriority: record.strainedPriority,
  };
}
