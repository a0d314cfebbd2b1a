/**
 * Fakes and fixtures for the tests of this package.
 *
 * @module
 */
import { Readable } from "node:stream";
import type {
  EndpointInfo,
  PeerRecord,
  RetryBudget,
  Route,
  RouteTable,
  SendAllowance,
  ServingConfig,
} from "@mangoreach/coordination";
import {
  createCompletionModel,
  createDataAge,
  createDelayModel,
  createEndpointDirectory,
  createEngineSelector,
  createMembership,
  createRetryBudget,
  createRouteTable,
  createVersionHistory,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type {
  BodyDelimiter,
  FakeClock,
  HttpFaultKind,
} from "@mangoreach/shared";
import { createHeldBytes, createSharedController } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { CallerResponse } from "./caller_response.ts";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import type {
  EndpointReply,
  RequestHead,
  StageCall,
  StageEndpoints,
  StageReply,
  TopicPosition,
} from "./platform_interfaces.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";
import { createStopWindow } from "./stop_window.ts";
import type { StageDispatcherOptions } from "./stage_dispatcher.ts";
import { createStageDispatcher } from "./stage_dispatcher.ts";

/** Creates a live endpoint whose address is its id. */
export function createTestEndpoint(
  id: string,
  change: Partial<EndpointInfo> = {},
): EndpointInfo {
  return {
    id,
    incarnation: "1",
    pool: "pool",
    place: "here",
    address: id,
    state: "live",
    ...change,
  };
}

/** Creates the record of a live entry whose addresses are its name. */
export function createTestPeer(entry: string): PeerRecord {
  return {
    entry,
    incarnation: entry,
    startedAt: 0,
    place: "here",
    callerAddress: entry,
    controlAddress: entry,
    state: "live",
    heartbeat: 1,
    configVersion: 1,
    inFlight: 0,
    capacity: 1,
    strainedPriority: 0,
  };
}

/** Creates a route to one pool. */
export function createTestRoute(change: Partial<Route> = {}): Route {
  return {
    name: "route",
    host: "a.example",
    pathPrefix: "/r/",
    kind: "idempotent",
    timeout: 4_000,
    objective: 300,
    priority: 1,
    pools: [{ pool: "pool", weight: 1 }],
    maxAttempts: 2,
    stages: [],
    isPublic: false,
    isResumable: false,
    ...change,
  };
}

/** Creates a configuration with these routes and no pools. */
export function createTestTable(
  routes: readonly Route[],
  accounts?: ServingConfig["accounts"],
): RouteTable {
  return createRouteTable({
    version: 1,
    routes: [...routes],
    pools: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
    accounts,
  });
}

/** Creates a request head. */
export function createTestHead(change: Partial<RequestHead> = {}): RequestHead {
  return {
    id: "request-1",
    method: "POST",
    target: "/r/x",
    host: "a.example",
    budget: 5_000,
    key: undefined,
    promptParts: [],
    outputTokens: undefined,
    pieceCounts: [],
    pieceKey: "key-1",
    resumed: undefined,
    forwardedHeaders: [],
    ...change,
  };
}

/** Creates a topic position; the default is the first era. */
export function createPosition(offset: number, era = 0): TopicPosition {
  return { era, offset };
}

/** Creates a reply with these body chunks, followed by an error if broken. */
export function createTestReply(
  chunks: readonly string[],
  { status = 200, isBroken = false, delimiter = "chunks" }: {
    status?: number;
    isBroken?: boolean;
    delimiter?: BodyDelimiter;
  } = {},
): EndpointReply {
  async function* generate() {
    for (const chunk of chunks) yield await Promise.resolve(Buffer.from(chunk));
    if (isBroken) throw new Error("connection reset");
  }
  return {
    kind: "reply",
    status,
    headers: [["proof", "p"]],
    body: Readable.from(generate(), { objectMode: false }),
    delimiter,
    load: undefined,
  };
}

/** Stage endpoints whose calls are ended by the test. */
export interface FakeStages extends StageEndpoints {
  readonly calls: FakeStageCall[];
  readonly released: string[];
}

/** A call in progress. */
export interface FakeStageCall extends StageCall {
  /** Completes all pieces; results are named `endpoint/request.stage.piece`. */
  finish(): void;
  end(reply: StageReply): void;
  /** Ends the call without a reply, by default with its connection. */
  disconnect(sent: "no" | "maybe", kind?: HttpFaultKind): void;
}

/** Creates stage endpoints without calls. */
export function createFakeStages(): FakeStages {
  const calls: FakeStageCall[] = [];
  const released: string[] = [];
  return {
    calls,
    released,
    run: (call) =>
      new Promise((resolve) => {
        const end = (reply: StageReply) => resolve(Result.ok(reply));
        calls.push({
          ...call,
          end,
          finish: () =>
            end({
              kind: "results",
              results: call.pieces.map(({ requestId, stage, piece }) => ({
                kind: "done",
                result: `${call.endpoint.id}/${requestId}.${stage}.${piece}`,
              })),
            }),
          disconnect: (sent, kind = "cut") =>
            resolve(Result.err({ kind, sent, message: kind })),
        });
      }),
    release: (_address, results) => {
      released.push(...results);
      return Promise.resolve({});
    },
    findProducer: (result) => result.split("/")[0] ?? "",
  };
}

/** Batch spec of the pool of test dispatchers. */
export const TEST_SPEC = {
  slots: 1,
  maxPieces: 4,
  callTime: 200,
  pieceTime: 25,
  storageBytes: 1_000,
  resultLifetime: 4_000,
};

/** Creates a dispatcher with fake stage endpoints. */
export function createTestDispatcher(
  clock: FakeClock,
  endpoints: readonly EndpointInfo[],
  budget: RetryBudget = createRetryBudget({ share: 0.1, max: 4 }),
  options: Partial<
    Pick<StageDispatcherOptions, "handleSignals" | "allowance" | "log">
  > = {},
) {
  const stages = createFakeStages();
  /** Keys of endpoints whose address belongs to another instance. */
  const leaving = new Set<string>();
  /** Inputs that were released after endpoints had fetched them. */
  const fetched: string[] = [];
  const dispatcher = createStageDispatcher({
    clock,
    log: options.log ?? createSilentDecisionLog(),
    pool: "pool",
    stages,
    loads: createEndpointLoads(clock),
    listEndpoints: () =>
      endpoints.filter((endpoint) => !leaving.has(formatEndpointKey(endpoint))),
    markLeaving: (endpointKey) => leaving.add(endpointKey),
    handleSignals: options.handleSignals ?? (() => {}),
    allowance: options.allowance ?? createOpenAllowance(),
    listAt: (address) =>
      endpoints.filter((endpoint) => endpoint.address === address),
    // A fake call ends without a reply only if its endpoint has crashed.
    endpointCheck: { checkCondition: () => Promise.resolve("ended") },
    readSpec: () => TEST_SPEC,
    budget,
    releaseInputs: (_pool, results) => fetched.push(...results),
  });
  return { dispatcher, stages, fetched };
}

/** Creates a response that records what the caller receives, in order. */
export function createRecordedResponse() {
  const seen: string[] = [];
  const response: CallerResponse = {
    get isStarted() {
      return seen.length > 0;
    },
    disconnected: new AbortController().signal,
    onceClosed: () => {},
    sendBuffered: ({ status, body, isUnproven }) =>
      void seen.push(`${status} ${body}${isUnproven ? " unproven" : ""}`),
    startStream: ({ status, isUnproven }) =>
      void seen.push(`stream ${status}${isUnproven ? " unproven" : ""}`),
    write: (chunk) => Promise.resolve(void seen.push(String(chunk))),
    endStream: (end) => void seen.push(end),
    refuse: ({ verdict }) => void seen.push(verdict),
  };
  return { response, seen };
}

/** Creates an allowance without limits. */
export function createOpenAllowance(): SendAllowance {
  return {
    maySend: () => true,
    recordSend: () => {},
    recordEnd: () => {},
    readWait: () => 0,
    readShortestWait: (endpoints) => endpoints.length === 0 ? Infinity : 0,
    isRoomAwaited: () => false,
    isThrottled: () => false,
    isPaused: () => false,
    isProbeDue: () => false,
  };
}

/** Creates the state of an entry without endpoints, peers and stages. */
export function createTestState(
  clock: FakeClock,
  change: Partial<ServingState>,
): ServingState {
  return {
    clock,
    random: () => 0,
    log: createSilentDecisionLog(),
    metrics: createServingMetrics("entry"),
    readTable: () => undefined,
    configAge: createDataAge({ clock, readWallTime: clock.now }),
    isBehindPeers: () => false,
    maxKeyAge: 1_000,
    accountShares: false,
    membership: createMembership({
      clock,
      random: () => 0,
      suspectTimeout: 1,
      lostTimeout: 1,
      self: createTestPeer("entry"),
    }),
    directory: createEndpointDirectory({ clock, markTtl: 1_000 }),
    history: createVersionHistory(clock),
    resumption: {
      recordBegun: () => {},
      findTarget: () => Promise.reject(new Error("no streams")),
    },
    loads: createEndpointLoads(clock),
    sendAllowance: createOpenAllowance(),
    handleSignals: () => {},
    recordUnreachable: () => {},
    router: {
      run: () => Promise.reject(new Error("no stages")),
      readWaits: () => Promise.resolve({ onTime: 0, late: 0, growth: 0 }),
      release: () => {},
    },
    callEndpoint: () => Promise.reject(new Error("no endpoints")),
    endpointCheck: { checkCondition: () => Promise.resolve("listening") },
    crashDetector: {
      handleBrokenRun: () => Promise.resolve(),
      recordCompletion: () => {},
      recordStageCrashes: () => {},
      findRefusal: () => undefined,
    },
    findProducer: () => "",
    callerElapsed: { read: () => 0, recordFailed: () => {} },
    findPlace: () => undefined,
    findBudget: () => createRetryBudget({ share: 0, max: 10 }),
    findDelays: createDelayModel,
    findCompletion: createCompletionModel,
    findStageCompletion: createCompletionModel,
    findEngineChoice: () => createEngineSelector(clock),
    heldBytes: createHeldBytes(Infinity),
    stopWindow: createStopWindow(clock, { stopTime: 8_000, onEnded: () => {} }),
    shutdown: createSharedController().signal,
    ...change,
  };
}
