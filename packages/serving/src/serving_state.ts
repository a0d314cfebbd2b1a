/**
 * The state and components of an entry that serving a request uses.
 *
 * @module
 */
import type {
  CompletionModel,
  DataAge,
  DelayModel,
  ElapsedEstimator,
  EndpointDirectory,
  EndpointInfo,
  EngineSelector,
  Membership,
  RetryBudget,
  RouteTable,
  SendAllowance,
  VersionHistory,
} from "@mangoreach/coordination";
import type { Clock, HeldBytes, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { SignalHandler } from "./endpoint_signals.ts";
import type { CallEndpoint } from "./platform_interfaces.ts";
import type { StopWindow } from "./stop_window.ts";
import type { StreamResumption } from "./stream_resumption.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** State and components for serving requests. */
export interface ServingState {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  metrics: ServingMetrics;
  /** Returns the configuration in force; undefined before the first one. */
  readTable: () => RouteTable | undefined;
  configAge: DataAge;
  /** Whether peers have a newer configuration than the store. */
  isBehindPeers: () => boolean;
  /** Client accounts are not served by a configuration older than this. */
  maxKeyAge: Millis;
  /** Whether client accounts have shares of the stage pools. */
  accountShares: boolean;
  membership: Membership;
  directory: EndpointDirectory;
  /** Versions of the endpoints that have served. */
  history: VersionHistory;
  resumption: StreamResumption;
  loads: EndpointLoads;
  sendAllowance: SendAllowance;
  /** Handles the back-pressure signals of an endpoint's answer. */
  handleSignals: SignalHandler;
  /** Records that nothing listened at an endpoint's address. */
  recordUnreachable: (endpoint: EndpointInfo) => void;
  router: PieceRouter;
  callEndpoint: CallEndpoint;
  /** Bounds the answers that this entry holds. */
  heldBytes: HeldBytes;
  crashDetector: CrashDetector;
  endpointCheck: EndpointCheck;
  /** Returns the address of the endpoint that stores a result. */
  findProducer: (result: string) => string;
  /** Returns the place of the endpoint at an address, if it is known. */
  findPlace: (address: string) => string | undefined;
  findBudget: (pool: string) => RetryBudget;
  callerElapsed: ElapsedEstimator;
  /** The time that is left once this entry was told to stop. */
  stopWindow: StopWindow;
  /** Aborts shortly before the process exits: every caller gets an answer. */
  shutdown: AbortSignal;
  findDelays: (pool: string) => DelayModel;
  /** Learns how long answers of a route take from their sending on. */
  findCompletion: (route: string) => CompletionModel;
  /** Learns how long the stages of a route take. */
  findStageCompletion: (route: string) => CompletionModel;
  findEngineChoice: (pool: string) => EngineSelector;
}
