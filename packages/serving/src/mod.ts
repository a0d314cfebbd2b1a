/**
 * Serves published routes: forwards requests to endpoints unchanged, after
 * running their stages, whose work is shared between entries.
 *
 * @module
 */
export type {
  CalledPiece,
  CallEndpoint,
  EndpointAnswer,
  EndpointCall,
  EndpointReply,
  ForwardedRequest,
  HeaderList,
  NotRunReason,
  ReleaseOptions,
  RequestHead,
  ResumedStream,
  Signalled,
  StageCall,
  StageEndpoints,
  StageReply,
  StageResult,
  TopicPosition,
  TopicReadError,
  TopicReadResult,
  TopicRecord,
  TopicSource,
} from "./platform_interfaces.ts";
export type { EncodeFailure } from "./caller_response.ts";
export type { LoggedStreams, StreamStore } from "./stream_log.ts";
export type { MemberStore } from "./member_registry.ts";
export type {
  CrashRecord,
  CrashRecordKey,
  StoredCrash,
  StoredRun,
} from "./crash_records.ts";
export type { QuarantineRecord, QuarantineStore } from "./quarantine_store.ts";
export type { VersionRecord, VersionStore } from "./version_records.ts";
export type {
  EndpointClients,
  ServingEntryOptions,
  ServingPlatform,
  ServingSettings,
} from "./serving_options.ts";
export type { ServingEntry } from "./serving_entry.ts";
export { startServingEntry } from "./serving_entry.ts";
