/**
 * An entry that forwards requests of its routes to endpoints. Wires the site
 * state, the components that make decisions, and the listeners.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import type {
  PeerRecord,
  PeerState,
  RequestLimits,
} from "@mangoreach/coordination";
import {
  createColdAllowance,
  createCompletionModels,
  createElapsedEstimator,
  createEntryAllowance,
  createPoisonQuarantine,
  createRecentCompletions,
  createStreamOrigins,
  formatEndpointKey,
  listKnownEntries,
  listSendingMembers,
} from "@mangoreach/coordination";
import type {
  ConnectForPeer,
  PieceRun,
  ServingPeerServerOptions,
} from "@mangoreach/peers";
import {
  acceptServingPeers,
  createServingPeerListener,
  openTunnel,
} from "@mangoreach/peers";
import type { ConnectionGuard, Millis } from "@mangoreach/shared";
import {
  createConnectionGuard,
  createSharedController,
  createTaskSet,
  keepRunning,
  readServerAddress,
  startServer,
  stopServer,
} from "@mangoreach/shared";
import { startCallerListener } from "./caller_listener.ts";
import type { ListenerPhase } from "./caller_listener.ts";
import { createConfigFreshness } from "./config_freshness.ts";
import { createDecisionLog } from "./decision_log.ts";
import { createEndpointCheck } from "./endpoint_check.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createSignalHandler } from "./endpoint_signals.ts";
import { createEndpointReplacement } from "./endpoint_replacement.ts";
import { createEndpointPaths } from "./endpoint_paths.ts";
import { createPeerGossip } from "./peer_gossip.ts";
import { createPieceRouter } from "./piece_router.ts";
import { createPoolComponents } from "./pool_components.ts";
import { answerWaitsQuery } from "./pool_wait_cache.ts";
import { createQuarantineGossip } from "./quarantine_gossip.ts";
import { createPoolReach } from "./pool_reach.ts";
import { serveRequest } from "./request_service.ts";
import { createCrashDetector } from "./crash_detector.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import type { ServingEntryOptions } from "./serving_options.ts";
import type { ServingState } from "./serving_state.ts";
import { createStoppingFailure, hasLivePeer } from "./stop_admission.ts";
import { createStopWindow } from "./stop_window.ts";
import { createStreamLog } from "./stream_log.ts";
import { createVersionRecords, listResumablePools } from "./version_records.ts";
import { createStreamOriginGossip } from "./stream_origin_gossip.ts";
import { createStreamResumption } from "./stream_resumption.ts";
import { createRelayedSource } from "./relayed_source.ts";
import { createSiteState } from "./site_state.ts";
import {
  createTopicRequestBatcher,
  handleTopicRequests,
} from "./topic_request_batcher.ts";
import { TOPIC_TIMINGS } from "./topic_timing.ts";
import { chooseTopicParents } from "./topic_parents.ts";

/** A running entry. */
export interface ServingEntry {
  /** Whether callers may be sent here. */
  isReady(): boolean;
  /**
   * Returns at most `limit` entries that a caller may use, among them this one
   * if it is ready.
   */
  chooseEntries(limit: number): PeerRecord[];
  /** Bounds the connections of all servers of the process. */
  readonly guard: ConnectionGuard;
  /** Serves the entry's metrics. */
  readonly metricsListener: RequestListener;
  /** Records that the settings file was reloaded. */
  reload(outcome: string): void;
  /** Leaves the site, finishes the requests in progress, then resolves. */
  stop(): Promise<void>;
  /** Ends at once, even with requests in progress. */
  kill(): void;
}

/**
 * Callers cache the list of entries for at most three seconds, and longer only
 * while no entry answers their lookups. An entry without work stays that long.
 */
const LEAVE_DELAY: Millis = 3_200;
/** Longer than a peer takes to confirm the end of a tunnel. */
const TUNNEL_LINGER: Millis = 200;
/**
 * Time to send the responses of requests that are cut off, enough for an
 * instance short of processor time.
 */
const MAX_REPLY_FLUSH: Millis = 500;
/** The same as a share of the time until the process is killed. */
const REPLY_FLUSH_SHARE = 0.6;
/** Maximum number of peers notified at once when this entry leaves. */
const MAX_NOTIFIED_PEERS = 10;
/** Limits in use until the first configuration is known. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

const PEER_LIMITS = {
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 10_000,
  maxConnections: 1_000,
  maxRequestsAhead: 1,
  // Longer than the idle time-out of the peers' clients, which could otherwise
  // send a request on a connection that is just being closed.
  idleTimeoutMs: 65_000,
};

/** Starts an entry; resolves once it listens. */
export async function startServingEntry(
  options: ServingEntryOptions,
): Promise<ServingEntry> {
  const { settings, platform, clock, readWallTime, random, heldBytes } =
    options;
  const logger = options.logger.forPart("entry");
  const controller = createSharedController();
  const { signal } = controller;
  const shutdown = createSharedController();
  const metrics = createServingMetrics(settings.entry);
  if (options.errors) metrics.setErrorCounts(options.errors.counts);
  const { malformedAnswers, answerMeter } = options;
  if (malformedAnswers) metrics.setMalformedCounts(malformedAnswers);
  if (answerMeter) metrics.setAnswerMeter(answerMeter);
  const log = createDecisionLog({
    clock,
    logger,
    onDropped: (kind) => metrics.countDroppedLine(kind),
  });
  const guard = createConnectionGuard({
    clock,
    limits: settings.connections,
    onLimited({ limit, count }) {
      metrics.countLimited(limit, count);
      log.record("connections_limited", {
        limit,
        count,
        connections: guard.connectionCount,
        bytes: guard.bytes,
      });
    },
  });
  const tasks = createTaskSet((error) =>
    logger.error("Background task failed.", { error: String(error) })
  );
  const stopWindow = createStopWindow(clock, {
    stopTime: settings.stopTime,
    onEnded: metrics.countStopped,
  });
  let phase: ListenerPhase = "open";

  function recordLoopError(error: unknown): void {
    logger.error("A loop failed and starts again.", { error: String(error) });
    options.errors?.record("loop", error);
  }

  const loads = createEndpointLoads(clock);
  const siteState = createSiteState({
    clock,
    readWallTime,
    random,
    log,
    logger,
    metrics,
    platform,
    createRelayedSource: (topic, source, reads) =>
      createRelayedSource({
        clock,
        random,
        topic,
        source,
        timing: TOPIC_TIMINGS[topic],
        reads,
        chooseParents: () => chooseTopicParents(membership),
        request: (address, query) => topicRequests.request(address, query),
      }),
    onConfig: ({ limits }) => listener.applyLimits(limits),
    onEndpoints() {
      pools.refreshDispatchers();
      versionRecords.update();
    },
    onError: recordLoopError,
    onRestored() {
      if (phase !== "open") return;
      void gossip.republish(signal);
      quarantineGossip.republish();
    },
    members: {
      replaceAll(records) {
        gossip.registry.replaceAll(records);
        quarantineGossip.applyRecords(records);
        versionRecords.replaceAll(records);
      },
      apply(record) {
        gossip.registry.apply(record);
        quarantineGossip.applyRecords([record]);
        versionRecords.apply(record);
      },
    },
  });
  const { configAge, directory, history, readTable } = siteState;
  const freshness = createConfigFreshness({
    clock,
    random,
    log,
    metrics,
    siteState,
    // What a store says that was never restored needs no confirmation.
    isAwaitingPeers: () =>
      (platform.isStoreRestored?.() ?? false) && gossip.isAwaitingPeers(),
  });
  const { isBehindPeers, readVersion } = freshness;

  function isServing(): boolean {
    return phase === "open" && readTable() !== undefined &&
      siteState.hasEndpoints() && configAge.read() <= settings.maxKeyAge &&
      !isBehindPeers();
  }

  /**
   * An entry that is not ready still acts as a dispatcher and a store reader.
   * If it were treated as leaving, then after a restart of all entries, or in
   * an outage of the store, each entry would see no others and do all work
   * alone.
   */
  function readState(): PeerState {
    if (phase !== "open") return "leaving";
    if (!isServing()) return "unready";
    return paths.isDetached() ? "detached" : "live";
  }

  const gossip = createPeerGossip({
    clock,
    readWallTime,
    random,
    log,
    metrics,
    settings,
    incarnation: options.incarnation,
    checkListening: platform.checkListening,
    heldBytes,
    answerMeter,
    members: platform.members,
    directory,
    readState,
    countInFlight: () => tasks.size,
    readConfigVersion: readVersion,
    recordPeerVersion: freshness.recordPeerVersion,
    noteVersion: freshness.noteVersion,
    limits: {
      chooseUpdates: (count) => limits.chooseUpdates(count),
      applyUpdate: (limitNews) => limits.applyUpdate(limitNews),
    },
    brittle: {
      listUpdates: (count) => brittle.listUpdates(count),
      applyUpdate: (update) => brittle.applyUpdate(update),
    },
    quarantine: {
      readUpdate: () => quarantineGossip.readUpdate(),
      applyUpdate: (poison) => quarantineGossip.applyUpdate(poison),
    },
  });
  const { membership, peers } = gossip;
  const topicRequests = createTopicRequestBatcher({
    clock,
    send: async (address, queries) => {
      const reply = await peers.readTopics(address, queries);
      return reply.isOk ? reply.value : undefined;
    },
  });

  const quarantine = createPoisonQuarantine(clock);
  const quarantineGossip = createQuarantineGossip({
    clock,
    readWallTime,
    random,
    log,
    quarantine,
    completions: createRecentCompletions(clock),
    store: platform.quarantine,
    membership,
    report: async (address, report) => {
      const reply = await peers.reportRuns(address, report);
      return reply.isOk ? reply.value : undefined;
    },
    checkCauses: async (address, query) => {
      const reply = await peers.checkCauses(address, query);
      return reply.isOk ? reply.value : undefined;
    },
    signal,
  });

  const versionRecords = createVersionRecords({
    clock,
    log,
    store: platform.versions,
    history,
    membership,
    listPools: () => listResumablePools(readTable()),
  });

  const originGossip = createStreamOriginGossip({
    clock,
    origins: createStreamOrigins(clock),
    history,
    readEndpointAge: siteState.readEndpointAge,
    membership,
    streamLog: createStreamLog({
      clock,
      readWallTime,
      log,
      store: platform.streams,
      countEntries: () => membership.list().length + 1,
    }),
    send: peers.recordStreams,
    query: async (address, query) => {
      const reply = await peers.findStream(address, query);
      return reply.isOk ? reply.value : undefined;
    },
  });

  const paths = createEndpointPaths({
    clock,
    random,
    log,
    signal,
    connectDirectly: platform.connect,
    connectThrough: (peer, target, connectOptions) =>
      openTunnel(target, {
        ...connectOptions,
        peer,
        connect: platform.connect,
        meter: answerMeter,
      }),
    listPeers: membership.list,
    listAt: siteState.listAt,
    listEndpoints: directory.listAll,
    recordConnect: createPoolReach({
      clock,
      log,
      metrics,
      listUsable: directory.listUsable,
    }),
    // A peer does not know that its connection would be cut off here.
    mayRelay: () => phase === "open" || !hasLivePeer(membership),
    isPaused: (endpoint) => pauses.readLeft(formatEndpointKey(endpoint)) > 0,
  });
  const { callEndpoint, stages } = platform.createEndpointClients(
    paths.connect,
  );

  const endpointCheck = createEndpointCheck({
    clock,
    checkListening: paths.checkListening,
  });
  function listSenders(): string[] | undefined {
    return siteState.hasMembers() ? listKnownEntries(membership) : undefined;
  }

  const { allowance, limits, brittle, pauses } = createEntryAllowance({
    clock,
    random,
    entry: settings.entry,
    listMembers: () =>
      siteState.hasMembers() ? listSendingMembers(membership) : undefined,
    listEntries: listSenders,
    directory,
    isDispatched: (pool) => readTable()?.findPool(pool)?.batching !== undefined,
    readRoom(endpoint) {
      const [view] = loads.view([endpoint]);
      return { load: view?.load ?? 0, slots: view?.report?.slots };
    },
    cold: createColdAllowance({
      clock,
      entry: settings.entry,
      listEntries: listSenders,
      isCold: siteState.isCold,
      readUpdateAge: siteState.readEndpointAge,
      readRate: (pool) => readTable()?.findPool(pool)?.coldRate ?? 0,
    }),
  });
  const { listAt } = siteState;
  const handleSignals = createSignalHandler({
    log,
    metrics,
    limits,
    brittle,
    directory,
    pauses,
    listAt,
    // The endpoint asks whoever connects to it.
    reportPause(endpoint, { pause, sentAt }) {
      const endpointKey = formatEndpointKey(endpoint);
      for (const peer of paths.listRelays(endpoint.address, sentAt)) {
        void peers.reportPause(peer, { endpointKey, pause });
      }
    },
  });

  const pools = createPoolComponents({
    clock,
    random,
    log,
    metrics,
    loads,
    endpointCheck,
    stages,
    listUsable: directory.listUsable,
    markLeaving: (endpointKey) => directory.markLeaving(endpointKey),
    handleSignals,
    allowance,
    listAt,
    readTable,
    releaseInputs: (pool, results) => router.release(pool, results),
    countEntries: () => membership.list().length + 1,
    repeatShare: settings.repeatShare,
    repeatSlack: settings.repeatSlack,
  });
  const { findDispatcher, findPeerDispatcher } = pools;
  metrics.setAccountUse(pools.listAccountUse);
  metrics.setHeldBytes(() => heldBytes.size);
  const router = createPieceRouter({
    clock,
    random,
    log,
    membership,
    peers,
    findDispatcher,
    listUsable: directory.listUsable,
    readPlace: (result) => siteState.findPlace(stages.findProducer(result)),
  });

  const state: ServingState = {
    clock,
    random,
    log,
    metrics,
    readTable,
    configAge,
    isBehindPeers,
    maxKeyAge: settings.maxKeyAge,
    accountShares: settings.accountShares,
    membership,
    directory,
    history,
    resumption: createStreamResumption({
      log,
      metrics,
      gossip: originGossip,
      history,
      directory,
      isListCurrent: siteState.isEndpointListCurrent,
    }),
    loads,
    sendAllowance: allowance,
    handleSignals,
    recordUnreachable: siteState.recordUnreachable,
    router,
    callEndpoint,
    heldBytes,
    endpointCheck,
    crashDetector: createCrashDetector({
      clock,
      log,
      endpointCheck,
      replacement: createEndpointReplacement({
        clock,
        listAt: siteState.listAt,
        isLeaving: directory.isLeaving,
        signal,
      }),
      quarantine,
      gossip: quarantineGossip,
    }),
    findProducer: stages.findProducer,
    findPlace: siteState.findPlace,
    findBudget: pools.findBudget,
    findDelays: pools.findDelays,
    findEngineChoice: pools.findEngineChoice,
    callerElapsed: createElapsedEstimator(clock),
    findCompletion: createCompletionModels(),
    findStageCompletion: createCompletionModels(),
    stopWindow,
    shutdown: shutdown.signal,
  };

  const listener = await startCallerListener({
    clock,
    address: settings.callers,
    faults: options.listenFaults,
    tasks,
    guard,
    decodeHead: platform.decodeHead,
    encodeFailure: platform.encodeFailure,
    serve: (served) => serveRequest(state, served),
    readLimits: () => readTable()?.config.limits ?? DEFAULT_LIMITS,
    readPhase: () => phase,
    createStoppingFailure: () => createStoppingFailure(state),
    onRefused: (failure, id) => {
      metrics.countRequest("none", "request_refused");
      stopWindow.recordEnd("refused");
      log.record("request_refused", {
        request: id,
        reason: failure.message,
        failure: failure.kind,
        verdict: failure.verdict,
        phase,
      });
    },
  });

  const exchange = gossip.start(signal);
  const peerServer: ServingPeerServerOptions = {
    isPeer: () => true,
    handlers: {
      exchange: (message) => exchange.answer(message),
      runPieces: (run, stop) => runForPeer(run, stop),
      reportRuns: quarantineGossip.answer,
      checkCauses: quarantineGossip.answerCauses,
      recordStreams: originGossip.handleRows,
      findStream: originGossip.answer,
      readConfig: () => siteState.readPublished() ?? null,
      readTopics: (queries) => handleTopicRequests(siteState.relays, queries),
      readWaits: (query) =>
        answerWaitsQuery(
          query,
          (priority) =>
            findPeerDispatcher(query.pool, query.partition)
              .readWaits(priority, query.account),
        ),
      reportPause({ endpointKey, pause }) {
        pauses.record(endpointKey, pause);
        log.record("endpoint_changed", {
          endpoint: endpointKey,
          pause,
          source: "peer",
          outcome: "paused",
        });
      },
      releaseResults: ({ pool, partition, results }) =>
        findPeerDispatcher(pool, partition).release(results),
    },
    onExchangeBytes: metrics.countPeerBytes,
  };
  const control = await startServer(
    createServingPeerListener(peerServer),
    {
      address: settings.control,
      limits: PEER_LIMITS,
      guard,
      faults: options.listenFaults,
    },
  );
  const peerConnections = acceptServingPeers(control, {
    ...peerServer,
    onFault: metrics.countPeerFault,
    connectForPeer: openForPeer,
  });

  /**
   * A tunnel is work in progress, which a stopping entry finishes; it also
   * waits for the peer to confirm the end.
   */
  async function openForPeer(...parameters: Parameters<ConnectForPeer>) {
    const connection = await paths.connectForPeer(...parameters);
    if (connection.isOk) {
      tasks.add(
        new Promise((resolve) =>
          connection.value.once(
            "close",
            () => clock.startTimer(TUNNEL_LINGER, () => resolve(null)),
          )
        ),
      );
    }
    return connection;
  }

  function runForPeer(run: PieceRun, stop: AbortSignal) {
    const reply = findPeerDispatcher(run.pool, run.partition).run(run, stop);
    tasks.add(reply);
    return reply;
  }

  // Each topic that it follows is kept running by itself.
  void siteState.follow(signal);
  const loops = [
    () => freshness.follow(signal, { membership, peers }),
    () => quarantineGossip.releaseExpired(),
  ];
  for (const loop of loops) {
    void keepRunning(loop, { clock, signal, onError: recordLoopError });
  }

  log.record("process_started", {
    incarnation: options.incarnation,
    callers: readServerAddress(listener.server),
    control: readServerAddress(control),
  });

  let stopped: Promise<void> | undefined;

  /** The signal may come again while this entry stops. */
  function stop(): Promise<void> {
    return stopped ??= runStop();
  }

  async function runStop(): Promise<void> {
    phase = "leaving";
    stopWindow.begin();
    log.record("process_stopping", { inProgress: tasks.size });
    membership.updateSelf({ state: "leaving" });
    void exchange.notifyPeers(MAX_NOTIFIED_PEERS);
    void platform.members.remove(membership.self);
    await clock.sleep(Math.min(LEAVE_DELAY, stopWindow.readTimeLeft()));
    await waitAtMost(tasks.waitUntilEmpty());
    phase = "refusing";
    controller.abort();
    await waitAtMost(finishWork());
    const cutOff = tasks.size;
    shutdown.abort();
    await Promise.race([
      tasks.waitUntilEmpty(),
      clock.sleep(
        Math.min(
          MAX_REPLY_FLUSH,
          REPLY_FLUSH_SHARE * stopWindow.readTimeToKill(),
        ),
      ),
    ]);
    log.record("process_stopped", { cutOff, ...stopWindow.readCounts() });
  }

  function kill(): void {
    controller.abort();
    peerConnections.close();
    for (const server of [listener.server, control]) {
      server.closeAllConnections();
      server.close();
    }
  }

  function waitAtMost(work: Promise<void>): Promise<void> {
    return Promise.race([work, clock.sleep(stopWindow.readTimeLeft())]);
  }

  async function finishWork(): Promise<void> {
    const closed = stopServer(listener.server);
    await tasks.waitUntilEmpty();
    await closed;
  }

  return {
    isReady: isServing,
    guard,
    chooseEntries: gossip.chooseEntries,
    metricsListener: (_request, response) => {
      metrics.registry.metrics().then(
        (text) => response.end(text),
        (error) => {
          logger.error("Metrics collection failed.", { error: String(error) });
          response.destroy();
        },
      );
    },
    reload: (outcome) => log.record("settings_reloaded", { outcome }),
    stop,
    kill,
  };
}
