/**
 * The part of the wire protocol that all kinds of endpoints share.
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
  readRejectLimit,
} from "./endpoint_protocol.ts";
