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
export { acceptPeers, createPeerListener } from "./peer_server.ts";
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
  WaitsReply,
} from "./piece_protocol.ts";
export {
  MAX_ACCOUNT_LENGTH,
  MAX_OTHER_PRIORITIES,
  MAX_RELEASED,
} from "./piece_protocol.ts";
export type {
  CauseQuery,
  CauseReply,
  CrashedRunRow,
  EndpointCrash,
  PoisonUpdate,
  RunReport,
  RunReportReply,
} from "./run_protocol.ts";
export type { StreamQuery, StreamReply, StreamRow } from "./stream_protocol.ts";
export {
  MAX_POOL_VERSIONS,
  MAX_STREAM_ROWS,
  streamRowsSchema,
} from "./stream_protocol.ts";
export type { TopicName, TopicReply, TopicRequest } from "./topic_protocol.ts";
export type { ChannelFault } from "./frame_channel.ts";
export type { PeerConnections } from "./peer_connection_server.ts";
export type {
  ObserveExchangeBytes,
  ServingPeerClient,
  ServingPeerHandlers,
  ServingPeerServerOptions,
} from "./serving_peers.ts";
export {
  acceptServingPeers,
  createServingPeerClient,
  createServingPeerListener,
} from "./serving_peers.ts";
export type {
  ConnectForPeer,
  TunnelFailure,
  TunnelOptions,
  TunnelTarget,
} from "./tunnel.ts";
export { openTunnel } from "./tunnel.ts";
export type { ExchangeLoop, ExchangeLoopOptions } from "./exchange_loop.ts";
export { startExchangeLoop } from "./exchange_loop.ts";
