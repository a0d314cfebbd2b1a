/**
 * The caller protocol and the client library for callers.
 *
 * @module
 */
export type {
  AddressAnswer,
  CallerEventName,
  Credentials,
  EntryAddress,
  FailureBody,
  PipelineAnswer,
  PipelineBody,
} from "./caller_protocol.ts";
export {
  addressAnswerSchema,
  CALLER_HEADERS,
  CALLER_PATHS,
  FAILURE_STATUS,
  formatCredentials,
  formatFailure,
  parseCredentials,
  parseFailure,
  pipelineAnswerSchema,
  pipelineBodySchema,
} from "./caller_protocol.ts";
export type {
  CallerClient,
  CallerClientOptions,
  PipelineRequest,
  RequestOptions,
  ServiceAnswer,
  ServiceRequest,
  StreamedAnswer,
} from "./caller_client.ts";
export { createCallerClient } from "./caller_client.ts";
