/**
 * Our own processes among themselves, by trpc.
 *
 * @module
 */
export type {
  Heartbeat,
  OutcomeQuestion,
  OutcomeReply,
  PeerExchange,
  StoredAnswer,
} from "./peer_protocol.ts";
export type { PeerHandlers, PeerListenerOptions } from "./peer_server.ts";
export { createPeerListener, PEER_PATH } from "./peer_server.ts";
export type { PeerClient, PeerClientOptions } from "./peer_client.ts";
export { createPeerClient } from "./peer_client.ts";
