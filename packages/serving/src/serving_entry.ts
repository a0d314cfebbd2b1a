/**
 * An entry that passes routes through to endpoints: wires what it knows, what
 * decides, and where it listens.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";
import type {
  EndpointInfo,
  EndpointRoster,
  Failure,
  LatencyModel,
  Membership,
  PeerRecord,
  RequestLimits,
  RetryBudget,
  RouteTable,
  ServingConfig,
} from "@mangoreach/coordination";
import {
  createEndpointDirectory,
  createEndpointRoster,
  createKnowledgeAge,
  createLatencyModel,
  createMembership,
  createRetryBudget,
  createRouteTable,
} from "@mangoreach/coordination";
import type { PieceRun } from "@mangoreach/peers";
import {
  createServingPeerClient,
  createServingPeerListener,
  startExchangeLoop,
} from "@mangoreach/peers";
import type { Clock, ListenAddress, Logger, Millis } from "@mangoreach/shared";
import {
  createTaskSet,
  readServerAddress,
  startServer,
  stopServer,
} from "@mangoreach/shared";
import type { Result } from "true-myth";
import { startCallerListener } from "./caller_listener.ts";
import type { ListenerPhase } from "./caller_listener.ts";
import type { EncodeFailure } from "./caller_response.ts";
import { createDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import type { KeyedSink } from "./keyed_follower.ts";
import { followKeyedTopic } from "./keyed_follower.ts";
import type { MemberStore } from "./member_registry.ts";
import { startMemberRegistry } from "./member_registry.ts";
import { createPieceRouter } from "./piece_router.ts";
import { serveRequest } from "./request_service.ts";
import type {
  CallEndpoint,
  KeyedRecord,
  KeyedSource,
  RequestHead,
  StageEndpoints,
} from "./serving_handles.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";
import type { StageFeeder } from "./stage_feeder.ts";
import { createStageFeeder } from "./stage_feeder.ts";

/** What an entry is told when it starts. */
export interface ServingSettings {
  /** The name of this entry. */
  entry: string;
  place: string;
  callers: ListenAddress;
  control: ListenAddress;
  /** Control addresses of entries to begin with; some may be dead. */
  seeds: readonly string[];
  /** Knowledge older than this serves no client account. */
  maxKeyAge: Millis;
  /** Time from the signal to stop until the process is killed. */
  stopTime: Millis;
  /** Repeats that a pool may get beyond the share, over all entries. */
  repeatSlack: number;
  /** Repeats for each first request. */
  repeatShare: number;
}

/** The platform as an entry sees it. */
export interface ServingPlatform {
  configSource: KeyedSource;
  /** The key of the configuration in its topic. */
  configKey: string;
  decodeConfig: (value: string) => Result<ServingConfig, string>;
  endpointSource: KeyedSource;
  decodeEndpoint: (record: KeyedRecord) => Result<EndpointInfo, string>;
  members: MemberStore;
  callEndpoint: CallEndpoint;
  stages: StageEndpoints;
  decodeHead: (message: IncomingMessage) => Result<RequestHead, Failure>;
  encodeFailure: EncodeFailure;
}

/** Options of {@linkcode startServingEntry}. */
export interface ServingEntryOptions {
  settings: ServingSettings;
  platform: ServingPlatform;
  clock: Clock;
  /** The time of day; counts on while a process is suspended. */
  readWallTime: () => Millis;
  logger: Logger;
  random: () => number;
  /** Changes with every start of the process. */
  incarnation: string;
}

/** A running entry. */
export interface ServingEntry {
  /** Whether callers may be sent here. */
  isReady(): boolean;
  /** Entries that callers may use, with this one if it is ready. */
  listEntries(): PeerRecord[];
  /** Answers for its metrics. */
  readonly metricsListener: RequestListener;
  /** Notes that the settings file was read again. */
  reload(outcome: string): void;
  /** Leaves, finishes what is in progress and resolves. */
  stop(): Promise<void>;
  /** Ends at once, whatever is in progress. */
  kill(): void;
}

/** Reading waits this long for a change; bounds how old knowledge gets. */
const CONFIG_WAIT: Millis = 1_000;
const CONFIG_PAUSE: Millis = 50;
/** Endpoints write their heartbeats all the time; reading gathers them. */
const ENDPOINT_PAUSE: Millis = 500;
/** Entries lapsed in an outage come back within two seconds. */
const RETURN_GRACE: Millis = 1_800;
/** A mark of an endpoint's own is believed this long without confirmation. */
const MARK_LIFETIME: Millis = 4_000;
const EXCHANGE_INTERVAL: Millis = 500;
const PEER_TIMEOUT: Millis = 400;
/** Five exchanges without news; most news comes through others in two. */
const SUSPECT_AFTER: Millis = 2_500;
const LOSE_AFTER: Millis = 6_000;
/** Callers keep an answer for three seconds at most, then none comes here. */
const LEAVE_TIME: Millis = 3_200;
/** What is still in progress this long before the kill is cut off. */
const STOP_MARGIN: Millis = 600;
/** Entries among which the slack of a budget is shared out. */
const EXPECTED_ENTRIES = 10;
/** Pieces are repeated at a feeder, which may be any entry. */
const PIECE_REPEAT_SHARE = 0.1;
const PIECE_REPEAT_SLACK = 10;

const FIRST_LIMITS: RequestLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

const PEER_LIMITS = {
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 10_000,
  maxConnections: 1_000,
};

/** Starts an entry; resolves once it listens. */
export async function startServingEntry(
  options: ServingEntryOptions,
): Promise<ServingEntry> {
  const { settings, platform, clock, readWallTime, random } = options;
  const logger = options.logger.forPart("entry");
  const controller = new AbortController();
  const { signal } = controller;
  const metrics = createServingMetrics(settings.entry);
  const log = createDecisionLog({
    clock,
    logger,
    onDropped: (kind) => metrics.countDroppedLine(kind),
  });
  const tasks = createTaskSet((error) =>
    logger.error("A task failed.", { error: String(error) })
  );
  let table: RouteTable | undefined;
  let phase: ListenerPhase = "open";
  let isEndpointsKnown = false;

  const configAge = createKnowledgeAge({ clock, readWallTime });
  const endpointAge = createKnowledgeAge({ clock, readWallTime });
  const directory = createEndpointDirectory({
    clock,
    markLifetime: MARK_LIFETIME,
  });
  const loads = createEndpointLoads(clock);
  const feeders = new Map<string, StageFeeder>();
  const budgets = new Map<string, RetryBudget>();
  const latencies = new Map<string, LatencyModel>();
  /** Incarnation and state of each peer as last logged. */
  const peerStates = new Map<string, string>();

  const roster: EndpointRoster = createEndpointRoster({
    clock,
    returnGrace: RETURN_GRACE,
    onChange(endpoints) {
      directory.replaceAll(endpoints);
      metrics.setKnown("endpoints", endpoints.length);
      for (const feeder of feeders.values()) feeder.refresh();
    },
  });

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
    strainedPriority: 0,
  };
  const membership: Membership = createMembership({
    clock,
    self,
    random,
    suspectAfter: SUSPECT_AFTER,
    loseAfter: LOSE_AFTER,
  });
  // Peers are reachable only inside the platform's network, which gives its
  // processes no shared secret.
  const peers = createServingPeerClient({
    clock,
    siteKey: "",
    timeout: PEER_TIMEOUT,
  });

  function findFeeder(pool: string): StageFeeder {
    const known = feeders.get(pool);
    if (known !== undefined) return known;
    const feeder = createStageFeeder({
      clock,
      log,
      pool,
      stages: platform.stages,
      loads,
      listEndpoints: () => directory.listUsable(pool),
      readSpec: () => readBatchSpec(table, pool),
      releaseInputs: (used, results) => router.release(used, results),
      budget: createRetryBudget({
        share: PIECE_REPEAT_SHARE,
        max: PIECE_REPEAT_SLACK,
      }),
    });
    feeders.set(pool, feeder);
    return feeder;
  }

  function findBudget(pool: string): RetryBudget {
    const known = budgets.get(pool);
    if (known !== undefined) return known;
    const entries = Math.max(EXPECTED_ENTRIES, membership.list().length + 1);
    const budget = createRetryBudget({
      share: settings.repeatShare,
      max: Math.max(1, settings.repeatSlack / entries),
    });
    budgets.set(pool, budget);
    return budget;
  }

  function findLatencies(pool: string): LatencyModel {
    const known = latencies.get(pool) ?? createLatencyModel();
    latencies.set(pool, known);
    return known;
  }

  const router = createPieceRouter({
    clock,
    log,
    membership,
    peers,
    findFeeder,
  });

  const state: ServingState = {
    clock,
    random,
    log,
    metrics,
    readTable: () => table,
    configAge,
    maxKeyAge: settings.maxKeyAge,
    membership,
    directory,
    loads,
    router,
    callEndpoint: platform.callEndpoint,
    readMaker: platform.stages.readMaker,
    findPlace: (address) =>
      roster.list().find((endpoint) => endpoint.address === address)?.place,
    findBudget,
    findLatencies,
  };

  const listener = await startCallerListener({
    clock,
    address: settings.callers,
    tasks,
    decodeHead: platform.decodeHead,
    encodeFailure: platform.encodeFailure,
    serve: (served) => serveRequest(state, served),
    readLimits: () => table?.config.limits ?? FIRST_LIMITS,
    readPhase: () => phase,
    onRefused: (failure, id) => {
      metrics.countRequest("none", "request_refused");
      log.record("request_refused", {
        request: id,
        reason: failure.message,
        failure: failure.kind,
        verdict: failure.verdict,
        phase,
      });
    },
  });

  const registry = startMemberRegistry({
    clock,
    random,
    signal,
    store: platform.members,
    self,
    onFault: (reason) =>
      log.record("dependency_lost", { dependency: "members", reason }),
  });

  const exchange = startExchangeLoop({
    clock,
    random,
    signal,
    membership,
    directory,
    interval: EXCHANGE_INTERVAL,
    beat: () => {
      metrics.setKnown("peers", membership.list().length);
      membership.beat({
        inFlight: tasks.size,
        configVersion: table?.config.version ?? 0,
        state: isServing() ? "live" : "leaving",
      });
    },
    listSeeds: () => [...settings.seeds, ...registry.listAddresses()],
    exchange: (address, message) => peers.exchange(address, message),
    markLeaving: (endpointKey, age) => {
      if (directory.markLeaving(endpointKey, age)) {
        log.record("endpoint_changed", {
          endpoint: endpointKey,
          age,
          source: "peer",
          outcome: "leaving",
        });
      }
    },
    onIntroduced: notePeer,
    onHeartbeat: notePeer,
    onReply: () => Promise.resolve(),
    onUnanswered: () => metrics.countUnanswered(),
    onBytes: (direction, bytes) => metrics.countPeerBytes(direction, bytes),
  });

  const control = await startServer(
    createServingPeerListener({
      isPeer: () => true,
      handlers: {
        exchange: (message) => exchange.answer(message),
        runPieces: (run, stop) => runForPeer(run, stop),
        releaseResults: ({ pool, results }) =>
          findFeeder(pool).release(results),
      },
    }),
    { address: settings.control, limits: PEER_LIMITS },
  );

  function runForPeer(run: PieceRun, stop: AbortSignal) {
    const reply = findFeeder(run.pool).run(run, stop);
    tasks.add(reply);
    return reply;
  }

  /** Logs changes only: heartbeats come many times a second. */
  function notePeer({ entry, incarnation, state, controlAddress }: PeerRecord) {
    const now = `${incarnation} ${state}`;
    if (peerStates.get(entry) === now) return;
    peerStates.set(entry, now);
    log.record("peer_changed", {
      peer: entry,
      address: controlAddress,
      outcome: state,
    });
  }

  function isServing(): boolean {
    return phase === "open" && table !== undefined && isEndpointsKnown &&
      configAge.read() <= settings.maxKeyAge;
  }

  function takeConfig(value: string | undefined): void {
    if (value === undefined) return;
    const decoded = platform.decodeConfig(value);
    if (decoded.isErr) {
      return log.record("config_rejected", { reason: decoded.error });
    }
    const config = decoded.value;
    const version = table?.config.version ?? 0;
    // Versions only rise: a late answer of the store must not revert.
    if (config.version <= version) return;
    table = createRouteTable(config);
    listener.applyLimits(config.limits);
    metrics.setConfigVersion(config.version);
    log.record("config_in_force", {
      version: config.version,
      before: version,
      routes: config.routes.length,
      accounts: config.accounts?.length,
    });
  }

  const configSink: KeyedSink = {
    replaceAll: (records) => records.forEach(takeConfigRecord),
    apply: takeConfigRecord,
    noteConfirmed: configAge.noteConfirmed,
    noteAway: () => noteDependency("lost", "config"),
    noteBack: () => noteDependency("regained", "config"),
  };

  function takeConfigRecord({ key, value }: KeyedRecord): void {
    if (key === platform.configKey) takeConfig(value);
  }

  function noteDependency(change: "lost" | "regained", name: string): void {
    log.record(`dependency_${change}`, {
      dependency: name,
      configAge: configAge.read(),
      endpointAge: endpointAge.read(),
    });
  }

  const endpointSink: KeyedSink = {
    replaceAll(records) {
      roster.replaceAll(records.flatMap(readEndpoint));
      isEndpointsKnown = true;
    },
    apply(record) {
      if (record.value === undefined) {
        log.record("endpoint_changed", {
          endpoint: record.key,
          source: "instance_list",
          outcome: "removed",
        });
        return roster.remove(record.key);
      }
      readEndpoint(record).forEach(putEndpoint);
    },
    noteConfirmed: endpointAge.noteConfirmed,
    noteAway() {
      roster.noteAway();
      noteDependency("lost", "instance_list");
    },
    noteBack() {
      roster.noteBack();
      noteDependency("regained", "instance_list");
    },
  };

  function putEndpoint(endpoint: EndpointInfo): void {
    const known = roster.list().find(({ id }) => id === endpoint.id);
    if (known?.state !== endpoint.state) {
      log.record("endpoint_changed", {
        endpoint: endpoint.id,
        pool: endpoint.pool,
        address: endpoint.address,
        source: "instance_list",
        outcome: endpoint.state,
      });
    }
    roster.put(endpoint);
  }

  function readEndpoint(record: KeyedRecord): EndpointInfo[] {
    if (record.value === undefined) return [];
    const decoded = platform.decodeEndpoint(record);
    if (decoded.isOk) return [decoded.value];
    logger.warn("An endpoint's record cannot be read.", {
      endpoint: record.key,
      reason: decoded.error,
    });
    return [];
  }

  const following = [
    registry.task,
    followKeyedTopic({
      clock,
      random,
      signal,
      source: platform.configSource,
      sink: configSink,
      readTime: configAge.readTime,
      wait: CONFIG_WAIT,
      pause: CONFIG_PAUSE,
    }),
    followKeyedTopic({
      clock,
      random,
      signal,
      source: platform.endpointSource,
      sink: endpointSink,
      readTime: endpointAge.readTime,
      wait: 0,
      pause: ENDPOINT_PAUSE,
    }),
  ];
  for (const task of following) {
    task.catch((error) =>
      logger.error("A task that reads the platform's store has ended.", {
        error: String(error),
      })
    );
  }

  log.record("process_started", {
    incarnation: options.incarnation,
    callers: readServerAddress(listener.server),
    control: readServerAddress(control),
  });

  async function stop(): Promise<void> {
    const startedAt = clock.now();
    phase = "leaving";
    log.record("process_stopping", { inProgress: tasks.size });
    membership.beat({ state: "leaving" });
    void exchange.tellPeers(EXPECTED_ENTRIES);
    void platform.members.withdraw(self);
    await clock.sleep(LEAVE_TIME);
    phase = "refusing";
    controller.abort();
    listener.server.closeIdleConnections();
    const left = settings.stopTime - STOP_MARGIN - (clock.now() - startedAt);
    await Promise.race([finishWork(), clock.sleep(left)]);
    log.record("process_stopped", { cutOff: tasks.size });
  }

  function kill(): void {
    controller.abort();
    for (const server of [listener.server, control]) {
      server.closeAllConnections();
      server.close();
    }
  }

  async function finishWork(): Promise<void> {
    const closed = stopServer(listener.server);
    await tasks.waitUntilEmpty();
    await closed;
  }

  return {
    isReady: isServing,
    listEntries: () => listLiveEntries(membership, isServing()),
    metricsListener: (_request, response) => {
      metrics.registry.metrics().then(
        (text) => response.end(text),
        (error) => {
          logger.error("Metrics cannot be read.", { error: String(error) });
          response.destroy();
        },
      );
    },
    reload: (outcome) => log.record("settings_reloaded", { outcome }),
    stop,
    kill,
  };
}

function listLiveEntries(
  membership: Membership,
  isSelfReady: boolean,
): PeerRecord[] {
  const others = membership.list()
    .filter(({ health, record }) =>
      health === "alive" && record.state === "live"
    )
    .map(({ record }) => record);
  return isSelfReady ? [membership.self, ...others] : others;
}

function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}

/** A pool whose specification is not published takes one piece a call. */
const SINGLE_PIECES = {
  slots: 1,
  maxPieces: 1,
  callTime: 200,
  pieceTime: 20,
  roomBytes: Infinity,
  resultLifetime: 4_000,
};

function readBatchSpec(table: RouteTable | undefined, pool: string) {
  return table?.findPool(pool)?.batching ?? SINGLE_PIECES;
}
