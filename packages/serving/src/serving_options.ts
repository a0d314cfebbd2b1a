/**
 * Options of an entry: its settings and the platform that it runs on.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type {
  EndpointInfo,
  Failure,
  ServingConfig,
} from "@mangoreach/coordination";
import type {
  AnswerMeter,
  AnswerRecorder,
  Clock,
  Connect,
  ConnectionLimits,
  ErrorRecorder,
  HeldBytes,
  ListenAddress,
  ListenFaults,
  Listening,
  Logger,
  Millis,
} from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { EncodeFailure } from "./caller_response.ts";
import type { MemberStore } from "./member_registry.ts";
import type { StreamStore } from "./stream_log.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import type { VersionStore } from "./version_records.ts";
import type {
  CallEndpoint,
  RequestHead,
  StageEndpoints,
  TopicRecord,
  TopicSource,
} from "./platform_interfaces.ts";

/** Settings of one entry. */
export interface ServingSettings {
  /** The name of this entry. */
  entry: string;
  place: string;
  /** Available processor time, in cores. */
  capacity: number;
  callers: ListenAddress;
  control: ListenAddress;
  /** Control addresses of entries to contact first; some may be dead. */
  seeds: readonly string[];
  /** Limits for what connections hold; the default ones if left out. */
  connections?: ConnectionLimits | undefined;
  /** Client accounts are not served by a configuration older than this. */
  maxKeyAge: Millis;
  /** Time from the signal to stop until the process is killed. */
  stopTime: Millis;
  /** Retries per pool above the share, over all entries. */
  repeatSlack: number;
  /** Retries allowed for each first attempt. */
  repeatShare: number;
  /** Whether client accounts have shares of the stage pools. */
  accountShares: boolean;
}

/** The clients of endpoints. */
export interface EndpointClients {
  callEndpoint: CallEndpoint;
  stages: StageEndpoints;
}

/** The platform that an entry runs on. */
export interface ServingPlatform {
  configSource: TopicSource;
  /** The key of the configuration's record in its topic. */
  configKey: string;
  decodeConfig: (value: string) => Result<ServingConfig, string>;
  /** Returns the place if a key of the same topic marks its evacuation. */
  readEvacuatedPlace: (key: string) => string | undefined;
  endpointSource: TopicSource;
  decodeEndpoint: (record: TopicRecord) => Result<EndpointInfo, string>;
  members: MemberStore;
  quarantine: QuarantineStore;
  versions: VersionStore;
  /** Where streams began, for entries that start later. */
  streams: StreamStore;
  /** Whether the store has told that it came back from an older copy. */
  isStoreRestored?: () => boolean;
  /** Creates the clients of endpoints, which open connections by `connect`. */
  createEndpointClients: (connect: Connect) => EndpointClients;
  /** Opens a connection to an endpoint or a peer. */
  connect: Connect;
  /** Probes whether a process listens at a peer's address. */
  checkListening: (address: string) => Promise<Listening>;
  decodeHead: (message: IncomingMessage) => Result<RequestHead, Failure>;
  encodeFailure: EncodeFailure;
}

/** Options of {@linkcode startServingEntry}. */
export interface ServingEntryOptions {
  settings: ServingSettings;
  platform: ServingPlatform;
  clock: Clock;
  /** Bounds the answers that the process holds, of all clients together. */
  heldBytes: HeldBytes;
  /** Returns the time of day, which advances while the process is suspended. */
  readWallTime: () => Millis;
  logger: Logger;
  /** Errors outside of requests, for the metrics. */
  errors?: Pick<ErrorRecorder, "record" | "counts"> | undefined;
  /** Malformed answers by their source, for the metrics. */
  malformedAnswers?: AnswerRecorder["counts"] | undefined;
  /** What answers cost, for the metrics. */
  answerMeter?: AnswerMeter | undefined;
  /** An address that is not available is an error if left out. */
  listenFaults?: ListenFaults | undefined;
  random: () => number;
  /** Differs for every start of the process. */
  incarnation: string;
}
