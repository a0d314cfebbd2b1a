/**
 * Gossip between an entry and its peers: which entries are alive or leaving,
 * which endpoints are leaving, endpoint limits and quarantined contents.
 *
 * @module
 */
import type {
  AnswerSize,
  BrittlePools,
  EndpointDirectory,
  EndpointLimits,
  Membership,
  PeerRecord,
  PeerState,
  PeerView,
} from "@mangoreach/coordination";
import {
  createDiscoveryCheck,
  createMembership,
  sampleEntries,
} from "@mangoreach/coordination";
import type { ExchangeLoop, ServingPeerClient } from "@mangoreach/peers";
import { createServingPeerClient, startExchangeLoop } from "@mangoreach/peers";
import type {
  AnswerMeter,
  Clock,
  HeldBytes,
  ListenAddress,
  Listening,
  Millis,
} from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { MemberRegistry, MemberStore } from "./member_registry.ts";
import { createMemberRegistry, publishEntry } from "./member_registry.ts";
import type { QuarantineGossip } from "./quarantine_gossip.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingSettings } from "./serving_options.ts";

/** Options of {@linkcode createPeerGossip}. */
export interface PeerGossipOptions {
  clock: Clock;
  readWallTime: () => Millis;
  random: () => number;
  log: DecisionLog;
  metrics: ServingMetrics;
  settings: ServingSettings;
  /** Differs for every start of the process. */
  incarnation: string;
  checkListening: (address: string) => Promise<Listening>;
  /** Bounds the replies of peers that this process holds. */
  heldBytes: HeldBytes;
  /** Counts what answers of peers cost; not counted if left out. */
  answerMeter?: AnswerMeter | undefined;
  members: MemberStore;
  directory: EndpointDirectory;
  /** Whether callers may be sent to this entry. */
  readState: () => PeerState;
  countInFlight: () => number;
  readConfigVersion: () => number;
  /**
   * Called periodically with the newest configuration version among live peers.
   */
  recordPeerVersion: (version: number) => void;
  /** Called with the configuration version of each record of a peer. */
  noteVersion: (version: number) => void;
  limits: Pick<EndpointLimits, "chooseUpdates" | "applyUpdate">;
  brittle: Pick<BrittlePools, "listUpdates" | "applyUpdate">;
  /** Source and receiver of updates about quarantined contents. */
  quarantine: Pick<QuarantineGossip, "readUpdate" | "applyUpdate">;
}

/** The membership and gossip of one entry. */
export interface PeerGossip {
  readonly self: PeerRecord;
  readonly membership: Membership;
  readonly peers: ServingPeerClient;
  /** Receives the store's records of entries. */
  readonly registry: MemberRegistry;
  /** Writes this entry's record again, which a restored store may lack. */
  republish(signal: AbortSignal): Promise<void>;
  /**
   * Whether this entry has just started beside others and none of them has
   * replied yet.
   */
  isAwaitingPeers(): boolean;
  /** Starts the gossip exchange; it ends when the signal aborts. */
  start(signal: AbortSignal): ExchangeLoop;
  /**
   * Returns at most `limit` entries that a caller may use, among them this one
   * if it is ready.
   */
  chooseEntries(limit: number): PeerRecord[];
}

const EXCHANGE_INTERVAL: Millis = 500;
const PEER_TIMEOUT: Millis = 400;
/**
 * Five exchanges without an update; most updates arrive through others in two.
 */
const SUSPECT_TIMEOUT: Millis = 2_500;
const LOST_TIMEOUT: Millis = 6_000;
/**
 * A message carries updates about some six peers. Among more peers than this,
 * updates about one peer take longer; with 86 about three times as long. The
 * time-outs are scaled accordingly.
 */
const FAST_GOSSIP_PEERS = 24;
const MAX_TIMEOUT_FACTOR = 3;

/** A peer that runs replies to an entry that starts within this time. */
const FIRST_REPLY_TIME: Millis = 1_000;

/** The size of answers is logged at most this often. */
const ANSWER_SIZE_INTERVAL: Millis = 10_000;

/** Jitter, as hundreds of entries republish to a restored store at once. */
const REPUBLISH_JITTER: Millis = 1_000;

/** Creates the gossip of an entry that knows only itself. */
export function createPeerGossip(options: PeerGossipOptions): PeerGossip {
  const { clock, readWallTime, random, log, metrics, settings } = options;
  /** Incarnation and state of each peer as last logged. */
  const peerStates = new Map<string, string>();
  const isDiscovering = createDiscoveryCheck(clock);
  const startedAt = clock.now();
  let hasReply = false;
  let loggedSize = { count: 0, at: -Infinity };

  const self: PeerRecord = {
    entry: settings.entry,
    incarnation: options.incarnation,
    startedAt: readWallTime(),
    place: settings.place,
    callerAddress: formatAddress(settings.callers),
    controlAddress: formatAddress(settings.control),
    state: "live",
    heartbeat: 0,
    configVersion: 0,
    inFlight: 0,
    capacity: settings.capacity,
    strainedPriority: 0,
  };
  const membership: Membership = createMembership({
    clock,
    self,
    random,
    suspectTimeout: SUSPECT_TIMEOUT,
    lostTimeout: LOST_TIMEOUT,
    computeTimeoutFactor: (known) =>
      Math.min(MAX_TIMEOUT_FACTOR, Math.max(1, known / FAST_GOSSIP_PEERS)),
  });
  // Peers are reachable only inside the platform's network, and the platform
  // provides no shared secret to its processes.
  const peers = createServingPeerClient({
    clock,
    siteKey: "",
    timeout: PEER_TIMEOUT,
    heldBytes: options.heldBytes,
    meter: options.answerMeter,
    onFault: metrics.countPeerFault,
    onExchangeBytes: metrics.countPeerBytes,
  });

  const registry = createMemberRegistry({
    decode: options.members.decode,
    onSnapshot: (records) =>
      membership.mergeUnverified(records).forEach(recordPeer),
    onJoined: (record) => membership.merge([record]).forEach(recordPeer),
  });

  function recordMembersLost(reason: string): void {
    log.record("dependency_lost", { dependency: "members", reason });
  }

  function publishSelf(signal: AbortSignal): Promise<void> {
    return publishEntry({
      clock,
      random,
      signal,
      store: options.members,
      self,
      onFault: recordMembersLost,
    }).catch((error) => recordMembersLost(String(error)));
  }

  async function republish(signal: AbortSignal): Promise<void> {
    await clock.sleep(REPUBLISH_JITTER * random(), signal);
    if (!signal.aborted) await publishSelf(signal);
  }

  function listSeeds(): string[] {
    return [...settings.seeds, ...registry.listAddresses()];
  }

  function isAwaitingPeers(): boolean {
    return !hasReply && clock.now() - startedAt < FIRST_REPLY_TIME &&
      listSeeds().some((address) => address !== self.controlAddress);
  }

  function start(signal: AbortSignal): ExchangeLoop {
    void publishSelf(signal);
    const exchange = startExchangeLoop({
      clock,
      random,
      signal,
      membership,
      directory: options.directory,
      interval: EXCHANGE_INTERVAL,
      updateSelf: () => {
        const views = membership.list();
        metrics.setKnown("peers", views.length);
        options.recordPeerVersion(readNewestVersion(views));
        membership.updateSelf({
          inFlight: options.countInFlight(),
          configVersion: options.readConfigVersion(),
          state: options.readState(),
        });
      },
      listSeeds,
      async exchange(address, message) {
        const reply = await peers.exchange(address, message);
        hasReply ||= reply.isOk;
        return reply;
      },
      markLeaving: ({ endpointKey, age, isSaid }) => {
        if (options.directory.markLeaving(endpointKey, { age, isSaid })) {
          log.record("endpoint_changed", {
            endpoint: endpointKey,
            age,
            source: "peer",
            outcome: "leaving",
          });
        }
      },
      chooseLimitUpdates: options.limits.chooseUpdates,
      applyLimitUpdate: options.limits.applyUpdate,
      listBrittleUpdates: options.brittle.listUpdates,
      applyBrittleUpdate: options.brittle.applyUpdate,
      readPoisonUpdate: options.quarantine.readUpdate,
      applyPoison: options.quarantine.applyUpdate,
      onDiscovered: recordPeer,
      onHeartbeat: recordPeer,
      onReply: () => Promise.resolve(),
      onUnanswered: () => metrics.countUnanswered(),
      checkListening: options.checkListening,
    });
    return exchange;
  }

  /** Logs changes only: heartbeats arrive many times a second. */
  function recordPeer(
    { entry, incarnation, state, controlAddress, configVersion }: PeerRecord,
  ) {
    options.noteVersion(configVersion);
    const now = `${incarnation} ${state}`;
    if (peerStates.get(entry) === now) return;
    peerStates.set(entry, now);
    log.record("peer_changed", {
      peer: entry,
      address: controlAddress,
      outcome: state,
    });
  }

  /** Logs occasional changes only: present use changes the size often. */
  function recordAnswerSize(size: AnswerSize): void {
    metrics.setAnswerSize(size);
    const { count, busiest, kept } = size;
    const isKnown = count === loggedSize.count;
    if (isKnown || clock.now() - loggedSize.at < ANSWER_SIZE_INTERVAL) return;
    loggedSize = { count, at: clock.now() };
    log.record("answer_size_changed", { entries: count, busiest, kept });
  }

  return {
    self,
    membership,
    peers,
    registry,
    republish,
    isAwaitingPeers,
    start,
    chooseEntries(limit) {
      const state = options.readState();
      // The own record shows the current state only after the next heartbeat.
      const record: PeerRecord = {
        ...membership.self,
        state,
        inFlight: options.countInFlight(),
      };
      const own = { record, health: "alive", age: 0 } as const;
      const others = membership.list();
      return sampleEntries([own, ...others], {
        limit,
        random,
        isDiscovering: isDiscovering(),
        onSized: recordAnswerSize,
      });
    },
  };
}

function readNewestVersion(views: readonly PeerView[]): number {
  const versions = views.filter(({ health }) => health !== "lost")
    .map(({ record }) => record.configVersion);
  return Math.max(0, ...versions);
}

function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}
