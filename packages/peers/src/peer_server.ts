/**
 * The server of the protocol between entries.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { ActiveConfig } from "@mangoreach/operators";
import type {
  OutcomeQuery,
  OutcomeReply,
  PeerExchange,
} from "./peer_protocol.ts";
import type { PeerConnections } from "./peer_connection_server.ts";
import { acceptPeerConnections } from "./peer_connection_server.ts";
import {
  createRouter,
  createRouterListener,
  peerProcedure,
} from "./peer_procedure.ts";
import { exchangeSchema, outcomeQuerySchema } from "./peer_protocol.ts";

/** Handlers of the requests of peers. */
export interface PeerHandlers {
  exchange(message: PeerExchange): PeerExchange;
  /** The configuration in force here; null before the first. */
  readConfig(): ActiveConfig | null;
  handleOutcomeQuery(query: OutcomeQuery): Promise<OutcomeReply>;
}

function createPeerRouter(handlers: PeerHandlers) {
  return createRouter({
    exchange: peerProcedure.input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    config: peerProcedure.query(() => handlers.readConfig()),
    outcome: peerProcedure.input(outcomeQuerySchema)
      .mutation(({ input }) => handlers.handleOutcomeQuery(input)),
  });
}

/** The type of the router, for the client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Options of {@linkcode createPeerListener}. */
export interface PeerListenerOptions {
  handlers: PeerHandlers;
  isPeer: (request: IncomingMessage) => boolean;
}

/** Creates the listener for requests whose path begins with the prefix. */
export function createPeerListener(
  { handlers, isPeer }: PeerListenerOptions,
): RequestListener {
  return createRouterListener(createPeerRouter(handlers), isPeer);
}

/**
 * Accepts connections from peers at a server; peers of older builds call its
 * listener instead.
 */
export function acceptPeers(
  server: Server,
  { handlers, isPeer }: PeerListenerOptions,
): PeerConnections {
  const router = createPeerRouter(handlers);
  return acceptPeerConnections(server, { router, isPeer });
}
