/**
 * The protocol between entries, over tRPC.
 *
 * @module
 */
export type {
  Heartbeat,
  OutcomeQuery,
  OutcomeReply,
  PeerExchange,
  StoredAnswer,
} from "./peer_protocol.ts";
export { decodeHeartbeat, introductionSchema } from "./peer_protocol.ts";
export type { PeerHandlers, PeerListenerOptions } from "./peer_server.ts";
export { createPeerListener } from "./peer_server.ts";
export { PEER_PATH } from "./peer_path.ts";
export type { PeerClient, PeerClientOptions } from "./peer_client.ts";
export { createPeerClient } from "./peer_client.ts";
export type {
  PieceOrder,
  PieceOutcome,
  PieceRun,
  PieceRunReply,
  PieceSource,
  WaitsQuery,
} from "./piece_protocol.ts";
export { MAX_ACCOUNT_LENGTH, MAX_RELEASED } from "./piece_protocol.ts";
export type {
  EndpointCrash,
  PoisonUpdate,
  RunReport,
  RunReportReply,
} from "./run_protocol.ts";
export type { TopicName, TopicReply, TopicRequest } from "./topic_protocol.ts";
export type {
  ServingPeerClient,
  ServingPeerHandlers,
} from "./serving_peers.ts";
export {
  createServingPeerClient,
  createServingPeerListener,
} from "./serving_peers.ts";
export type { ExchangeLoop, ExchangeLoopOptions } from "./exchange_loop.ts";
export { startExchangeLoop } from "./exchange_loop.ts";
