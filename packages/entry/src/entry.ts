/**
 * Creates the components of an entry, and starts and stops it.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Membership } from "@mangoreach/coordination";
import {
  createAdmission,
  createAttainmentTracker,
  createDemandTracker,
  createDiscoveryCheck,
  createEndpointDirectory,
  createEntryAllowance,
  createFailure,
  createMembership,
  createOutcomeTable,
  createPrefixAffinity,
  createRetryBudget,
  formatEndpointKey,
  listKnownEntries,
  listSendingMembers,
} from "@mangoreach/coordination";
import type { AnsweredCall } from "@mangoreach/endpoints";
import {
  hasLeavingMark,
  readRateLimit,
  readRejectLimit,
} from "@mangoreach/endpoints";
import type { EntryStatus } from "@mangoreach/operators";
import type { StoredAnswer } from "@mangoreach/peers";
import { acceptPeers, createPeerListener } from "@mangoreach/peers";
import type {
  Clock,
  Logger,
  MalformedAnswer,
  Millis,
} from "@mangoreach/shared";
import {
  createAnswerMeter,
  createAnswerRecorder,
  createCausalClock,
  createConnectionGuard,
  createTaskSet,
  createTimeline,
  readServerAddress,
  startServer,
  stopServer,
} from "@mangoreach/shared";
import { createFailureAnswer, sendAnswer } from "./caller_answer.ts";
import { createCallerListener } from "./caller_listener.ts";
import { startClaimService } from "./claim_service.ts";
import { startConfigFollower } from "./config_follower.ts";
import { createControlListener } from "./control_listener.ts";
import { createCredentialsCheck } from "./credentials_check.ts";
import { startEndpointWatch } from "./endpoint_watch.ts";
import type { EntryContext } from "./entry_context.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { startLeaseManager } from "./lease_manager.ts";
import { createAtMostOnceGuard } from "./at_most_once_guard.ts";
import { runPlacementController } from "./placement_controller.ts";
import { startPeerExchange } from "./peer_exchange.ts";
import { createPipelineRunner } from "./pipeline_runner.ts";
import { createPoolSet } from "./pool_set.ts";
import { createRequestExecution } from "./request_execution.ts";
import { createRequestHandler } from "./request_handler.ts";
import { createResumeTokens } from "./resume_token.ts";
import { createSecondAttemptPolicy } from "./second_attempts.ts";
import { createServiceRunner } from "./service_runner.ts";
import { createSiteClients } from "./site_clients.ts";
import { createStreamHandler } from "./stream_handler.ts";

/** A running entry. */
export interface Entry {
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly status: EntryStatus;
  /**
   * Stops gracefully: is no longer listed in address responses, serves callers
   * with older address lists for a while, and finishes requests in progress.
   * Resolves with the number of requests that were cut off.
   */
  stop(): Promise<number>;
  /** Stops immediately and cuts off requests in progress. */
  kill(): void;
}

/** Options of {@linkcode startEntry}. */
export interface EntryOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  random: () => number;
  createUniqueText: () => string;
  /** Called when an operator requests a drain over the control port. */
  onDrain: () => void;
}

const AFFINITY_CAPACITY = 512;
const CONTROL_CONNECTIONS = 1_000;
const STOP_CHECK_INTERVAL: Millis = 20;

/** Starts an entry; resolves once it listens on both ports. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const { settings, clock, random } = options;
  const shutdown = new AbortController();
  const context = createContext(options, shutdown.signal);
  const { incarnation, logger, metrics, timeline } = context;
  const entryLogger = logger.forPart("entry");
  let phase: "serving" | "leaving" | "stopping" = "serving";
  /** When requests in progress are cut off. */
  let cutOffAt = Infinity;

  const directory = createEndpointDirectory({
    clock,
    markTtl: settings.timing.leavingMarkMs,
  });
  const isDiscovering = createDiscoveryCheck(clock);
  const { allowance, limits, brittle, pauses } = createEntryAllowance({
    clock,
    random,
    entry: settings.entry,
    listMembers: () =>
      isDiscovering() ? undefined : listSendingMembers(membership),
    listEntries: () =>
      isDiscovering() ? undefined : listKnownEntries(membership),
    directory,
    isDispatched: () => false,
  });
  const attainment = createAttainmentTracker(clock);
  const pools = createPoolSet(context, {
    directory,
    attainment,
    hasModel: (endpoint, model) => watch.hasModel(endpoint, model),
    allowance,
    onPause: (endpoint, pause) =>
      pauses.record(formatEndpointKey(endpoint), pause),
  });
  const demand = createDemandTracker(clock);
  const affinity = createPrefixAffinity({ clock, capacity: AFFINITY_CAPACITY });
  const answers = createAnswerRecorder({
    clock,
    logger: logger.forPart("endpoints"),
  });
  metrics.setMalformedCounts(answers.counts);
  const meter = createAnswerMeter({
    clock,
    logger: logger.forPart("endpoints"),
  });
  metrics.setAnswerMeter(meter);
  const endpointOptions = {
    onAnswer: ({ endpoint, headers, sentAt }: AnsweredCall) => {
      const key = formatEndpointKey(endpoint);
      if (hasLeavingMark(headers)) watch.markLeaving(key, { isSaid: true });
      limits.record(key, readRateLimit(headers), sentAt);
      const rejectLimit = readRejectLimit(headers);
      if (rejectLimit !== undefined) brittle.record(endpoint.pool, rejectLimit);
    },
    onDropped: ({ requestId, stage }: { requestId: string; stage: string }) => {
      metrics.countDropped();
      timeline.record("stage_result_dropped", { request: requestId, stage });
    },
    onMalformed: (answer: MalformedAnswer) =>
      answers.record("endpoint", answer),
    meter,
  };
  const clients = createSiteClients(context, endpointOptions);
  const { log, engines, orders, weights, peers } = clients;
  const config = startConfigFollower(context, {
    log,
    onChange: () => pools.refresh(),
  });
  const claims = startClaimService(context, log);
  const requestTasks = createTaskSet((error) =>
    entryLogger.error("A request task failed.", { error: String(error) })
  );
  const policy = createSecondAttemptPolicy(settings.policy, {
    budget: createRetryBudget(RETRY_BUDGET),
  });
  const isMangoreachPolicy = settings.policy === "mangoreach";
  const admission = isMangoreachPolicy
    ? createAdmission({
      clock,
      random,
      maxInProgress: settings.limits.maxInProgress,
      readLowestPriority: () => config.site?.lowestPriority ?? 1,
    })
    : undefined;
  const credentials = createCredentialsCheck(settings);
  const resumeTokens = createResumeTokens({
    clock,
    siteKey: settings.siteKey,
  });
  const outcomes = createOutcomeTable<StoredAnswer>({
    clock,
    capacity: settings.limits.maxRemembered,
  });
  const guard = createAtMostOnceGuard(context, {
    outcomes,
    claims,
    queryOwner: (owner, query) => exchange.queryOwner(owner, query),
  });
  const pipelines = createPipelineRunner(context, {
    pools,
    stages: clients.stages,
    engines,
    affinity,
    policy,
    demand,
    dropsInfeasible: isMangoreachPolicy,
  });
  const services = createServiceRunner(context, {
    pools,
    services: clients.services,
    policy,
  });
  const callersLogger = logger.forPart("callers");
  const connections = createConnectionGuard({
    clock,
    limits: settings.connections,
    onLimited({ limit, count }) {
      metrics.countLimited(limit, count);
      callersLogger.warn("A limit of connections has acted.", {
        limit,
        count,
        connections: connections.connectionCount,
        bytes: connections.bytes,
      });
    },
  });
  const requests = createRequestHandler(context, {
    credentials,
    readSite: () => config.site,
    guard,
    connections,
    admission,
    attainment,
    pools,
    pipelines,
    services,
    execution: createRequestExecution(context, {
      pipelines,
      services,
      resumeTokens,
    }),
    isStopping: () => phase === "stopping",
    readTimeLeft: () => cutOffAt - clock.now(),
  });
  const serverLimits = {
    maxHeaderBytes: settings.limits.maxHeaderBytes,
    requestTimeoutMs: settings.limits.requestTimeoutMs,
  };
  // Callers that already know the address may connect before the components
  // below exist.
  let handleCallerRequest = refuseWhileStarting;
  let handleControlRequest = refuseWhileStarting;
  const callerServer = await startServer(
    (request, response) => handleCallerRequest(request, response),
    {
      address: settings.callerAddress,
      limits: {
        ...serverLimits,
        maxConnections: settings.limits.maxConnections,
      },
      guard: connections,
    },
  );
  const controlServer = await startServer(
    (request, response) => handleControlRequest(request, response),
    {
      address: settings.controlAddress,
      limits: {
        ...serverLimits,
        maxConnections: CONTROL_CONNECTIONS,
        maxRequestsAhead: 1,
      },
      guard: connections,
    },
  );
  const membership = createOwnMembership(context, {
    callerServer,
    controlServer,
  });
  handleCallerRequest = createCallerListener(context, {
    credentials,
    membership,
    requests,
    streams: createStreamHandler(context, {
      credentials,
      resumeTokens,
      engines,
    }),
    tasks: requestTasks,
  });
  const watch = startEndpointWatch(context, {
    instanceList: clients.instanceList,
    engines,
    orders,
    directory,
    pools,
    affinity,
    isEnginePool: (pool) => config.site?.findPool(pool)?.kind === "engine",
    isThrottled: allowance.isThrottled,
    onEntries: (entries) => exchange.addSeeds(entries),
  });
  const exchange = startPeerExchange(context, {
    membership,
    directory,
    peers,
    config,
    markLeaving: ({ endpointKey, ...evidence }) =>
      watch.markLeaving(endpointKey, evidence),
    limits,
    brittle,
    countInFlight: () => requestTasks.size,
    readStrainedPriority: () => admission?.strainedPriority ?? 0,
    onStrainedPriority: (priority) => admission?.shedBelow(priority),
  });
  const peerServer = {
    handlers: {
      exchange: exchange.answer,
      readConfig: () => config.active ?? null,
      handleOutcomeQuery: guard.answer,
    },
    isPeer: credentials.isPeer,
  };
  const peerConnections = acceptPeers(controlServer, peerServer);
  handleControlRequest = createControlListener(context, {
    credentials,
    handlePeerRequest: createPeerListener(peerServer),
    readStatus,
    isReady,
    drain: options.onDrain,
  });
  if (settings.placesModels) {
    void runPlacementController(context, {
      leases: startLeaseManager(context, log),
      orders,
      weights,
      directory,
      demand,
      readConfig: () => config.active?.config,
    });
  }
  timeline.record("process_started", { detail: incarnation });
  entryLogger.info("Entry started.", {
    callers: readServerAddress(callerServer),
    control: readServerAddress(controlServer),
    incarnation,
  });

  function isReady(): boolean {
    return phase === "serving" && config.site !== undefined;
  }

  function readStatus(): EntryStatus {
    const { self } = membership;
    return {
      entry: settings.entry,
      incarnation,
      place: settings.place,
      dataCentre: settings.dataCentre,
      callerAddress: self.callerAddress,
      state: self.state,
      isReady: isReady(),
      configVersion: config.site?.version ?? 0,
      isLogReachable: config.isLogReachable,
      inProgress: requestTasks.size,
      peers: membership.list().map(({ record, health }) => ({
        entry: record.entry,
        health,
        configVersion: record.configVersion,
      })),
      attainment: attainment.list(),
      pools: pools.readStatus(),
    };
  }

  async function stop(): Promise<number> {
    phase = "leaving";
    const { drainMs, shutdownMs } = settings.timing;
    cutOffAt = clock.now() + drainMs + shutdownMs;
    timeline.record("process_stopping");
    entryLogger.info("Leaving; no longer listed in address responses.");
    membership.updateSelf({ state: "leaving" });
    await exchange.notifyPeers();
    // Callers cache address lists for a while, so they are still served.
    await clock.sleep(drainMs, shutdown.signal);
    phase = "stopping";
    await waitForRequests();
    const cutOffCount = requestTasks.size;
    timeline.record("process_stopped", { detail: `${cutOffCount} cut off` });
    kill();
    await clients.close();
    entryLogger.info("Entry stopped.", { cutOff: cutOffCount });
    return cutOffCount;
  }

  async function waitForRequests(): Promise<void> {
    void stopServer(callerServer);
    while (requestTasks.size > 0 && clock.now() < cutOffAt) {
      await clock.sleep(STOP_CHECK_INTERVAL, shutdown.signal);
      if (shutdown.signal.aborted) return;
    }
  }

  function kill(): void {
    shutdown.abort();
    callerServer.closeAllConnections();
    peerConnections.close();
    controlServer.closeAllConnections();
    callerServer.close();
    controlServer.close();
  }

  return {
    callerAddress: readServerAddress(callerServer),
    controlAddress: readServerAddress(controlServer),
    get status() {
      return readStatus();
    },
    stop,
    kill,
  };
}

function refuseWhileStarting(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  sendAnswer(response, createFailureAnswer(STARTING_FAILURE));
}

const STARTING_FAILURE = createFailure("stopping", {
  verdict: "not_run",
  message: "this entry is starting",
});

/**
 * One second attempt per twenty stages, with a small reserve for an entry with
 * little traffic.
 */
const RETRY_BUDGET = { share: 0.05, max: 4 };

function createContext(
  { settings, clock, logger, random, createUniqueText }: EntryOptions,
  signal: AbortSignal,
): EntryContext {
  const incarnation = `${settings.entry}-${createUniqueText()}`;
  return {
    settings,
    clock,
    logger,
    random,
    createUniqueText,
    incarnation,
    signal,
    metrics: createEntryMetrics(settings.entry),
    timeline: createTimeline({
      process: settings.entry,
      clock: createCausalClock(clock),
    }),
  };
}

function createOwnMembership(
  { settings, clock, random, incarnation }: EntryContext,
  { callerServer, controlServer }: {
    callerServer: Server;
    controlServer: Server;
  },
): Membership {
  return createMembership({
    clock,
    random,
    suspectTimeout: settings.timing.suspectMs,
    lostTimeout: settings.timing.loseMs,
    self: {
      entry: settings.entry,
      incarnation,
      startedAt: clock.now(),
      place: settings.place,
      callerAddress: readServerAddress(callerServer),
      controlAddress: readServerAddress(controlServer),
      state: "live",
      heartbeat: 0,
      configVersion: 0,
      inFlight: 0,
      capacity: 1,
      strainedPriority: 0,
    },
  });
}
