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
  PipelineBody,
  WholeAnswer,
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
  pipelineBodySchema,
  wholeAnswerSchema,
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
