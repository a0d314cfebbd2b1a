/**
 * What all endpoints have in common on the wire.
 *
 * @module
 */
export type {
  AnsweredCall,
  CallEcho,
  CallIdentity,
  OnAnswer,
} from "./endpoint_protocol.ts";
export {
  createReplyFailure,
  echoSchema,
  ENDPOINT_HEADERS,
  formatEcho,
  hasLeavingMark,
  isEchoOf,
  LEAVING_STATE,
  readRateLimit,
} from "./endpoint_protocol.ts";
