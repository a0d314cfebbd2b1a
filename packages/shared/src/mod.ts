/**
 * Helpers that are shared by all packages.
 *
 * @module
 */
export { hasJsonEnd, isBoundedJson, parseBoundedJson } from "./bounded_json.ts";
export { createListSchema } from "./list_schema.ts";
export { isTokenStreamTooLong } from "./token_stream_limit.ts";
export type { AddressParts } from "./address.ts";
export { parseAddress } from "./address.ts";
export { parseAmount } from "./amount.ts";
export { putBounded } from "./bounded_map.ts";
export type { CancelTimer, Clock, Millis } from "./clock.ts";
export { createSystemClock } from "./clock.ts";
export type { FakeClock } from "./fake_clock.ts";
export { createFakeClock, settlePromises } from "./fake_clock.ts";
export type { Listening, ListeningOptions } from "./listening.ts";
export { checkListening } from "./listening.ts";
export type {
  ConfirmEnd,
  Connect,
  ConnectFailure,
  ConnectFault,
  ConnectOptions,
} from "./connection.ts";
export {
  confirmEnd,
  openConnection,
  probeEnd,
  setEndConfirmation,
} from "./connection.ts";
export { endWithBody } from "./message_body.ts";
export { createSharedController } from "./shared_controller.ts";
export type { Subject } from "./subject.ts";
export { createSubject } from "./subject.ts";
export type {
  ParseSettingsOptions,
  SettingsFault,
  SettingsSource,
} from "./settings.ts";
export { formatSettingsFault, parseSettings } from "./settings.ts";
export type { Logger, LoggerOptions, LogLevel, LogPart } from "./logger.ts";
export { createLogger, createSilentLogger } from "./logger.ts";
export type { CausalClock, CausalTime } from "./causal_clock.ts";
export {
  compareCausalTimes,
  createCausalClock,
  formatCausalTime,
  parseCausalTime,
} from "./causal_clock.ts";
export type {
  EventKind,
  EventSubject,
  Timeline,
  TimelineEvent,
  TimelineOptions,
} from "./timeline.ts";
export { createTimeline } from "./timeline.ts";
export type { ListenFaults } from "./listen_retry.ts";
export type { KeepRunningOptions } from "./restarted_loop.ts";
export { keepRunning } from "./restarted_loop.ts";
export type { SignalHandlers } from "./process_signals.ts";
export { handleSignals } from "./process_signals.ts";
export type {
  AnswerRecorder,
  AnswerSource,
  MalformedAnswer,
} from "./answer_recorder.ts";
export { createAnswerRecorder } from "./answer_recorder.ts";
export type { ErrorRecorder, ErrorSource } from "./error_recorder.ts";
export { createErrorRecorder, handleProcessErrors } from "./error_recorder.ts";
export type { TaskSet } from "./task_set.ts";
export { createTaskSet } from "./task_set.ts";
export type {
  BodyOutcome,
  ListenAddress,
  SendJsonOptions,
  ServerLimits,
} from "./http_server.ts";
export {
  parseJson,
  readBody,
  readServerAddress,
  sendJson,
  startServer,
  stopServer,
} from "./http_server.ts";
export type {
  ServerSentEvent,
  ServerSentEventParser,
} from "./server_sent_events.ts";
export {
  createServerSentEventParser,
  formatServerSentEvent,
} from "./server_sent_events.ts";
export type { EventBoundary, EventPosition } from "./event_boundary.ts";
export type { AnswerMeter } from "./answer_meter.ts";
export { createAnswerMeter } from "./answer_meter.ts";
export { createAnswerFraming } from "./answers/answer_framing.ts";
export type { AnswerInput } from "./answers/answer_input.ts";
export {
  AnswerLimitError,
  openAnswerInput,
  openMeteredInput,
} from "./answers/answer_input.ts";
export { createEventBoundary } from "./event_boundary.ts";
export type { AnswerHead, BodyDelimiter } from "./answer_head.ts";
export { readAnswerHead } from "./answer_head.ts";
export type {
  BufferedCall,
  HttpCall,
  HttpClient,
  HttpClientOptions,
  HttpFault,
  HttpFaultKind,
  HttpHeaders,
  HttpReply,
  HttpStreamReply,
  LimitedBody,
} from "./http_client.ts";
export {
  createHttpClient,
  discardBody,
  hasJsonBrokenOff,
  readBodyBytes,
  readLimitedBody,
  readReplyJson,
} from "./http_client.ts";
export type { HeldBytes, HeldPart } from "./held_bytes.ts";
export { createHeldBytes } from "./held_bytes.ts";
export type { Timeout } from "./timeout.ts";
export type {
  PersistentConnections,
  PersistentConnectionsOptions,
} from "./persistent_connections.ts";
export { createPersistentConnections } from "./persistent_connections.ts";
export { startTimeout, TIMED_OUT } from "./timeout.ts";
export type {
  ConnectionGuard,
  ConnectionGuardOptions,
} from "./connections/connection_guard.ts";
export { createConnectionGuard } from "./connections/connection_guard.ts";
export {
  isLastRequest,
  openMessages,
  recordUse,
  releaseConnection,
} from "./connections/connection_registry.ts";
export type { LimitKind, LimitReport } from "./connections/limit_reporter.ts";
export type { BodyCollector } from "./connections/body_collector.ts";
export { createBodyCollector } from "./connections/body_collector.ts";
export type { ConnectionLimits } from "./connections/connection_limits.ts";
export {
  connectionLimitsSchema,
  DEFAULT_CONNECTION_LIMITS,
} from "./connections/connection_limits.ts";
