/**
 * Finds the guarded connection of a socket, for those who read its requests or
 * speak another protocol on it.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Millis } from "../clock.ts";
import type { HeldPart } from "../held_bytes.ts";
import type { ConnectionGuard } from "./connection_guard.ts";
import type { RequestInput } from "./request_input.ts";

/** A request whose response has not closed. */
export interface Exchange {
  message: IncomingMessage;
  response: ServerResponse;
}

/** The limits of one listener. */
export interface ListenerLimits {
  maxConnections: number;
  /** Requests of one connection served at once; the guard's own if left out. */
  maxRequestsAhead?: number | undefined;
}

/** An open connection of one of the listeners. */
export interface Connection {
  readonly socket: Socket;
  readonly guard: ConnectionGuard;
  readonly listener: ListenerLimits & { count: number };
  readonly exchanges: Set<Exchange>;
  input: RequestInput | undefined;
  /** Estimated memory, in bytes. */
  bytes: number;
  /** When it last made progress. */
  activeAt: Millis;
  /** Whether a request of it has been answered. */
  hasServed: boolean;
  /** Whether it closes with an answer that has been sent. */
  isClosing: boolean;
  /** Whether it now speaks another protocol. */
  isUpgraded: boolean;
  /** Whether it has not read its answers for a while. */
  isUnread: boolean;
  /** Estimated from the heads of the exchanges. */
  exchangeBytes: number;
  /** Output at the last check, in bytes. */
  outputBytes: number;
  /** Bytes that the socket had sent at the last check. */
  sentBytes: number;
  sentAt: Millis;
  /** Bytes read since the last turn of others. */
  turnBytes: number;
  /** Whether requests that were sent ahead wait. */
  isHeld: boolean;
  recordUse(count: number): void;
}

/** The connections of all guards of the process. */
export const connections = new WeakMap<Socket, Connection>();

/** Lists the requests of a connection whose responses have not closed. */
export function listExchanges(socket: Socket): readonly Exchange[] {
  return [...connections.get(socket)?.exchanges ?? []];
}

/**
 * Whether no request of a connection has been read behind this one. A
 * connection may only close with the answer to its last request, or the others
 * would get none.
 */
export function isLastRequest(message: IncomingMessage): boolean {
  const last = listExchanges(message.socket).at(-1);
  return last === undefined || last.message === message;
}

/**
 * Leaves a connection that asks for an upgrade to its handler, with what was
 * read behind the request.
 */
export function releaseConnection(socket: Duplex): void {
  const connection = connections.get(socket as Socket);
  if (connection === undefined) return;
  connection.input?.detach();
  connection.input = undefined;
  connection.isUpgraded = true;
}

/**
 * Opens the account of the messages of an upgraded connection; `onEnded` is
 * called if the connection has to give way.
 */
export function openMessages(
  socket: Duplex,
  onEnded: () => void,
): HeldPart | undefined {
  const guard = connections.get(socket as Socket)?.guard;
  return guard?.peerMessages.open(() => {
    guard.record("peer_bytes");
    onEnded();
  });
}

/** Records bytes that were read from an upgraded connection. */
export function recordUse(socket: Duplex, count: number): void {
  connections.get(socket as Socket)?.recordUse(count);
}

/** The account of one body. */
export interface BodyAccount extends HeldPart {
  /** Records that the request has been read completely. */
  complete(): void;
}

/**
 * Opens the account of a request's body, which is closed with the response;
 * `onEnded` is called if the body has to give way.
 */
export function openBody(
  message: IncomingMessage,
  onEnded: () => void,
): BodyAccount | undefined {
  const connection = connections.get(message.socket);
  const exchange = findExchange(connection, message);
  if (connection === undefined || exchange === undefined) return undefined;
  const { guard } = connection;
  const part = guard.bodies.open(() => {
    guard.record("body_bytes");
    onEnded();
  });
  exchange.response.once("close", part.release);
  return {
    ...part,
    complete() {
      part.keep();
      guard.beginRequest(exchange.response);
    },
  };
}

function findExchange(
  connection: Connection | undefined,
  message: IncomingMessage,
): Exchange | undefined {
  for (const exchange of connection?.exchanges ?? []) {
    if (exchange.message === message) return exchange;
  }
  return undefined;
}
