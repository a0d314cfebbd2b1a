/**
 * What an entry that passes routes through knows, and the parts that decide.
 *
 * @module
 */
import type {
  CallerElapsed,
  DelayModel,
  EndpointDirectory,
  EndpointInfo,
  EngineChoice,
  KnowledgeAge,
  Membership,
  RetryBudget,
  RouteTable,
  SendAllowance,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { RunWatch } from "./run_watch.ts";
import type { NoteSignals } from "./endpoint_signals.ts";
import type { CallEndpoint } from "./serving_handles.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** What serving a request needs. */
export interface ServingState {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  metrics: ServingMetrics;
  /** The configuration in force; undefined before the first. */
  readTable: () => RouteTable | undefined;
  configAge: KnowledgeAge;
  /** Whether peers have a newer configuration than the store holds. */
  isBehindPeers: () => boolean;
  /** Knowledge older than this serves no client account. */
  maxKeyAge: Millis;
  membership: Membership;
  directory: EndpointDirectory;
  loads: EndpointLoads;
  sendAllowance: SendAllowance;
  /** Takes what an endpoint's answer says of the work that it takes. */
  noteSignals: NoteSignals;
  /** Notes that nothing listened at an endpoint's address. */
  noteUnreachable: (endpoint: EndpointInfo) => void;
  router: PieceRouter;
  callEndpoint: CallEndpoint;
  runWatch: RunWatch;
  /** The address of the endpoint that holds a result. */
  readMaker: (result: string) => string;
  /** The place of the endpoint at an address. */
  findPlace: (address: string) => string | undefined;
  findBudget: (pool: string) => RetryBudget;
  callerElapsed: CallerElapsed;
  /** Aborts shortly before this process ends: every caller gets an answer. */
  shutdown: AbortSignal;
  findDelays: (pool: string) => DelayModel;
  findEngineChoice: (pool: string) => EngineChoice;
}
