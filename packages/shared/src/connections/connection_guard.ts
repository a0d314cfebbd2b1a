/**
 * Bounds what all peers together can make a process hold: connections, requests,
 * heads, bodies, and answers that are not read. What does no work for a peer
 * that reads gives way first.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Millis } from "../clock.ts";
import { createSystemClock } from "../clock.ts";
import type { HeldBytes } from "../held_bytes.ts";
import { createHeldBytes } from "../held_bytes.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import {
  computeMaxConnections,
  DEFAULT_CONNECTION_LIMITS,
} from "./connection_limits.ts";
import type {
  Connection,
  Exchange,
  ListenerLimits,
} from "./connection_registry.ts";
import { connections } from "./connection_registry.ts";
import { chooseByAge, chooseByMemory } from "./eviction.ts";
import type { LimitKind, LimitReport } from "./limit_reporter.ts";
import { createLimitReporter } from "./limit_reporter.ts";
import { createRequestInput } from "./request_input.ts";
import { createTurnQueue } from "./turn_queue.ts";

/** The guard of all listeners of a process. */
export interface ConnectionGuard {
  readonly limits: ConnectionLimits;
  /** Bodies of requests, until their responses have closed. */
  readonly bodies: HeldBytes;
  /** Messages of connections that peers have upgraded. */
  readonly peerMessages: HeldBytes;
  /** Estimated memory of connections, in bytes. */
  readonly bytes: number;
  readonly connectionCount: number;
  /** Whether a new request has to be refused. */
  isFull(): boolean;
  /** Records that a request has been read; it ends with its response. */
  beginRequest(response: ServerResponse): void;
  /** Reports an act of a limit. */
  record(limit: LimitKind): void;
  /** Guards the connections of a server. */
  add(server: Server, limits: ListenerLimits): void;
}

/** Options of {@linkcode createConnectionGuard}. */
export interface ConnectionGuardOptions {
  limits?: ConnectionLimits | undefined;
  clock?: Clock;
  /** Called once a second at most for each limit. */
  onLimited?: ((report: LimitReport) => void) | undefined;
}

/** A socket, its parser and their listeners. */
const CONNECTION_BYTES = 8_192;
/** A request with its response, timers and closures. */
const EXCHANGE_BYTES = 16_384;
/** Memory that short headers take, each of them as strings of its own. */
const HEAD_FACTOR = 8;
/** Shares of the limits above which no connection is served ahead. */
const AHEAD_MEMORY_SHARE = 0.5;
const AHEAD_REQUEST_SHARE = 0.1;
/** Share to which memory is freed. */
const FREED_SHARE = 0.9;
/** Bytes that are read before other connections have their turn. */
const TURN_BYTES = 131_072;
const CHECK_INTERVAL: Millis = 100;
/** Fewer connections than this do not hold much unread. */
const CHECKED_CONNECTIONS = 32;
/** A caller that reads has taken bytes within this time. */
const UNREAD_TIME: Millis = 500;
/** A body that makes no progress for this long gives way first. */
const STALLED_TIME: Millis = 1_000;

/** Creates the guard of a process. */
export function createConnectionGuard(
  {
    limits = DEFAULT_CONNECTION_LIMITS,
    clock = createSystemClock(),
    onLimited,
  }: ConnectionGuardOptions = {},
): ConnectionGuard {
  const maxConnections = computeMaxConnections(limits);
  const open = new Set<Connection>();
  const turns = createTurnQueue(clock);
  const record = createLimitReporter({ clock, onLimited });
  let bytes = 0;
  /** Requests whose responses have not closed. */
  let exchangeCount = 0;
  /** Those of them that have been read completely. */
  let requestCount = 0;
  let isChecking = false;

  function updateBytes(connection: Connection): void {
    if (!open.has(connection)) return;
    const { input, exchangeBytes, outputBytes } = connection;
    const next = CONNECTION_BYTES + exchangeBytes + outputBytes +
      (input?.waitingBytes ?? 0) + HEAD_FACTOR * (input?.headBytes ?? 0);
    bytes += next - connection.bytes;
    connection.bytes = next;
    if (bytes > limits.maxConnectionBytes) evictLargest();
  }

  function evictLargest(): void {
    const excess = bytes - FREED_SHARE * limits.maxConnectionBytes;
    const now = clock.now();
    for (const victim of chooseByMemory(open, { now, bytes: excess })) {
      record("connection_bytes");
      evict(victim);
    }
  }

  function evict(connection: Connection): void {
    remove(connection);
    connection.socket.resetAndDestroy();
  }

  function remove(connection: Connection): void {
    if (!open.delete(connection)) return;
    connection.listener.count--;
    bytes -= connection.bytes;
    connection.bytes = 0;
  }

  /** Makes room for a new connection; returns whether there is any. */
  function admitConnection(listener: Connection["listener"]): boolean {
    const isListenerFull = listener.count >= listener.maxConnections;
    if (!isListenerFull && open.size < maxConnections) return true;
    record("connections");
    const victim = chooseByAge(open, {
      now: clock.now(),
      mayClose: (one) => !isListenerFull || one.listener === listener,
    });
    if (victim === undefined) return false;
    evict(victim);
    return true;
  }

  function handleConnection(
    server: Server,
    socket: Socket,
    listener: Connection["listener"],
  ): void {
    const known = connections.get(socket);
    if (known !== undefined) {
      // An upgrade that was refused goes on as a request.
      known.isUpgraded = false;
      return openInput(server, known);
    }
    if (!admitConnection(listener)) return void socket.destroy();
    const now = clock.now();
    const connection: Connection = {
      socket,
      guard,
      listener,
      exchanges: new Set(),
      input: undefined,
      bytes: 0,
      activeAt: now,
      hasServed: false,
      isClosing: false,
      isUpgraded: false,
      isUnread: false,
      exchangeBytes: 0,
      outputBytes: 0,
      sentBytes: 0,
      sentAt: now,
      turnBytes: 0,
      isHeld: false,
      recordUse(count) {
        connection.activeAt = clock.now();
        scheduleReading(connection, count);
      },
    };
    connections.set(socket, connection);
    open.add(connection);
    listener.count++;
    openInput(server, connection);
    updateBytes(connection);
    socket.once("close", () => closeConnection(connection));
    socket.on("drain", () => schedule(connection));
    scheduleCheck();
  }

  function openInput(server: Server, connection: Connection): void {
    const { socket } = connection;
    connection.input = createRequestInput(socket, {
      mayBegin: () => mayBegin(connection),
      onWaiting: () => schedule(connection),
      onHeld: () => updateBytes(connection),
      onMalformed: () => {
        const error = Object.assign(new Error("a chunk is malformed"), {
          code: "HPE_INVALID_CHUNK_SIZE",
        });
        server.emit("clientError", error, socket);
      },
      onBody: (count, message) => recordBody(connection, { count, message }),
      onDropped: (count) => scheduleReading(connection, count),
    });
  }

  function schedule(connection: Connection): void {
    const { input } = connection;
    if (input !== undefined && input.waitingBytes > 0) {
      turns.add(connection, () => input.resume());
    }
  }

  function mayBegin(connection: Connection): boolean {
    const { socket, exchanges, listener } = connection;
    if (socket.writableNeedDrain) return false;
    if (connection.isClosing || hasClosingAnswer(connection)) return false;
    if (exchanges.size === 0) {
      connection.isHeld = false;
      return true;
    }
    const maxAhead = listener.maxRequestsAhead ?? limits.maxRequestsAhead;
    const isAllowed = exchanges.size < maxAhead &&
      exchangeCount < AHEAD_REQUEST_SHARE * limits.maxRequests &&
      bytes < AHEAD_MEMORY_SHARE * limits.maxConnectionBytes &&
      sumOutput(connection) < socket.writableHighWaterMark;
    if (!isAllowed && !connection.isHeld) record("requests_ahead");
    connection.isHeld = !isAllowed;
    return isAllowed;
  }

  /** Reads other connections before the rest of a long body. */
  function recordBody(
    connection: Connection,
    { count, message }: { count: number; message: IncomingMessage },
  ): void {
    connection.activeAt = clock.now();
    connection.turnBytes += count;
    if (connection.turnBytes < TURN_BYTES || message.isPaused()) return;
    connection.turnBytes = 0;
    if (message.complete) return;
    message.pause();
    turns.add(message, () => message.resume());
  }

  /** Reads other connections before more bytes that are not of a body. */
  function scheduleReading(connection: Connection, count: number): void {
    const { socket } = connection;
    connection.turnBytes += count;
    if (connection.turnBytes < TURN_BYTES) return;
    connection.turnBytes = 0;
    socket.pause();
    turns.add(socket, () => socket.resume());
  }

  function handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    const connection = connections.get(message.socket);
    if (connection === undefined) return;
    const exchange: Exchange = { message, response };
    const cost = EXCHANGE_BYTES +
      HEAD_FACTOR * (connection.input?.headBytes ?? 0);
    connection.exchanges.add(exchange);
    connection.exchangeBytes += cost;
    connection.activeAt = clock.now();
    connection.input?.begin(message, response);
    exchangeCount++;
    response.once("close", () => {
      connection.exchanges.delete(exchange);
      connection.exchangeBytes -= cost;
      connection.hasServed = true;
      connection.isClosing ||= !response.shouldKeepAlive;
      connection.activeAt = clock.now();
      exchangeCount--;
      connection.isUnread = false;
      updateBytes(connection);
      schedule(connection);
    });
  }

  function closeConnection(connection: Connection): void {
    remove(connection);
    // Responses behind another one have no socket, and are not told.
    setImmediate(() => {
      for (const { response } of [...connection.exchanges]) {
        if (!response.closed) response.emit("close");
      }
    });
  }

  function scheduleCheck(): void {
    if (isChecking || open.size < CHECKED_CONNECTIONS) return;
    isChecking = true;
    clock.startTimer(CHECK_INTERVAL, () => {
      isChecking = false;
      checkOutput();
      scheduleCheck();
    });
  }

  /** Estimates what connections hold because their answers are not read. */
  function checkOutput(): void {
    const now = clock.now();
    for (const connection of [...open]) {
      if (!open.has(connection)) continue;
      const { socket } = connection;
      // The account of messages has those of upgraded connections.
      const output = connection.isUpgraded ? 0 : sumOutput(connection);
      const sent = socket.bytesWritten - socket.writableLength;
      if (output === 0 || sent !== connection.sentBytes) {
        connection.sentAt = now;
      }
      connection.sentBytes = sent;
      connection.outputBytes = output;
      connection.isUnread = now - connection.sentAt >= UNREAD_TIME;
      updateBytes(connection);
    }
  }

  const guard: ConnectionGuard = {
    limits,
    bodies: createHeldBytes(limits.maxBodyBytes, {
      clock,
      stallTime: STALLED_TIME,
      // A body within the limits of its listener is always read in calm.
      mayExceedAlone: true,
    }),
    peerMessages: createHeldBytes(limits.maxPeerBytes),
    get bytes() {
      return bytes;
    },
    get connectionCount() {
      return open.size;
    },
    isFull: () =>
      requestCount > limits.maxRequests || bytes > limits.maxConnectionBytes,
    beginRequest(response) {
      requestCount++;
      response.once("close", () => requestCount--);
    },
    record,
    add(server, listenerLimits) {
      const listener = { ...listenerLimits, count: 0 };
      server.on(
        "connection",
        (socket: Socket) => handleConnection(server, socket, listener),
      );
      server.prependListener("request", handleRequest);
    },
  };
  return guard;
}

/** Bytes of answers that the connection has not taken. */
function sumOutput({ socket, exchanges }: Connection): number {
  let sum = socket.writableLength;
  for (const { response } of exchanges) {
    if (response.socket === null) sum += response.writableLength;
  }
  return sum;
}

/** Whether an answer that closes the connection has begun. */
function hasClosingAnswer({ exchanges }: Connection): boolean {
  for (const { response } of exchanges) {
    if (response.headersSent && !response.shouldKeepAlive) return true;
  }
  return false;
}
