/**
 * Helpers for Node's HTTP server: size-limited bodies, JSON responses, start
 * and stop.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Buffer as NodeBuffer } from "node:buffer";
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Server as NetServer } from "node:net";
import { handleClientErrors } from "./client_errors.ts";
import { createBodyCollector } from "./connections/body_collector.ts";
import type { ConnectionGuard } from "./connections/connection_guard.ts";
import { createConnectionGuard } from "./connections/connection_guard.ts";
import { openBody } from "./connections/connection_registry.ts";
import type { ListenFaults } from "./listen_retry.ts";
import { startListening } from "./listen_retry.ts";
import { DEFAULT_CONNECTION_LIMITS } from "./connections/connection_limits.ts";

/** An address to listen on: IP address and port; port 0 selects a free port. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Limits that protect a server from slow, large or many requests. */
export interface ServerLimits {
  maxHeaderBytes: number;
  /**
   * Timeout of headers and body; the answer is 408 and the connection is
   * closed.
   */
  requestTimeoutMs: number;
  /** Beyond it, idle connections are closed for new ones. */
  maxConnections: number;
  /** Requests of one connection served at once. */
  maxRequestsAhead?: number;
  /**
   * Timeout of idle connections; Node's default of some seconds if left out.
   */
  idleTimeoutMs?: number;
}

/** The outcome of reading a body. */
export type BodyOutcome =
  | { kind: "whole"; body: Buffer }
  | { kind: "too_large" }
  /** The process holds too many bytes of other bodies. */
  | { kind: "no_memory" }
  | { kind: "cut" };

const STATUS_EXPECTATION_FAILED = 417;

/** Starts a server and resolves once it listens. */
export async function startServer(
  listener: RequestListener,
  { address, limits, guard = createOwnGuard(limits), faults }: {
    address: ListenAddress;
    limits: ServerLimits;
    /** An address that is not available is an error if left out. */
    faults?: ListenFaults | undefined;
    /** Bounds what the connections of all servers of a process hold. */
    guard?: ConnectionGuard | undefined;
  },
): Promise<Server> {
  const server = createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.requestTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(1_000, limits.requestTimeoutMs),
    noDelay: true,
    ...(limits.idleTimeoutMs === undefined
      ? {}
      : { keepAliveTimeout: limits.idleTimeoutMs }),
  }, listener);
  handleClientErrors(server);
  guard.add(server, limits);
  server.on("checkExpectation", (_message, response) => {
    response.writeHead(STATUS_EXPECTATION_FAILED, { connection: "close" });
    response.end();
  });
  await startListening(server, { ...address, faults });
  return server;
}

/** Creates the guard of a server that shares none. */
function createOwnGuard({ maxConnections }: ServerLimits): ConnectionGuard {
  return createConnectionGuard({
    limits: { ...DEFAULT_CONNECTION_LIMITS, maxConnections },
  });
}

/** The `ip:port` that a started server listens on. */
export function readServerAddress(server: NetServer): string {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}

/** Stops accepting connections and resolves when the open ones are closed. */
export async function stopServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeIdleConnections();
  await closed;
}

/**
 * Reads a request's body up to `limit` bytes, within the memory that its server
 * has for bodies.
 */
export function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const collector = createBodyCollector();
    let length = 0;
    /** The rest is read, or the caller would not read its answer. */
    let isDiscarded = false;
    const held = openBody(request, () => {
      isDiscarded = true;
      collector.clear();
      resolve({ kind: "no_memory" });
    });
    const announced = Math.min(limit, readAnnouncedLength(request));
    if (announced > 0) held?.add(announced);
    // A body of a known length that can't be held is not read at all.
    if (isDiscarded) return;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > limit) {
        request.pause();
        collector.clear();
        held?.release();
        return resolve({ kind: "too_large" });
      }
      if (isDiscarded) return;
      const taken = collector.add(chunk);
      if (announced === 0 && taken > 0) held?.add(taken);
    });
    request.once("end", () => {
      if (isDiscarded) return;
      held?.complete();
      resolve({ kind: "whole", body: collector.join() });
    });
    request.once("close", () => resolve({ kind: "cut" }));
    request.once("error", () => resolve({ kind: "cut" }));
  });
}

/** Returns 0 for a body of unknown length. */
function readAnnouncedLength({ headers }: IncomingMessage): number {
  const length = Number(headers["content-length"] ?? 0);
  return Number.isInteger(length) && length > 0 ? length : 0;
}

/** Options of {@linkcode sendJson}. */
export interface SendJsonOptions {
  status: number;
  body: unknown;
  headers?: Record<string, string>;
}

/** Sends a JSON response, unless one was sent or the connection is closed. */
export function sendJson(
  response: ServerResponse,
  { status, body, headers }: SendJsonOptions,
): void {
  if (response.headersSent || response.destroyed) return;
  const bytes = NodeBuffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
    ...headers,
  });
  response.end(bytes);
}

/** Parses JSON; undefined if it is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
