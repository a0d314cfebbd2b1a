/**
 * HTTP server for callers: buffers requests within the configured limits and
 * passes them to the service. Nothing reaches an endpoint before a request is
 * complete.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Failure, RequestLimits } from "@mangoreach/coordination";
import {
  createFailure,
  createFullFailure,
  createMemoryFailure,
} from "@mangoreach/coordination";
import type {
  Clock,
  ConnectionGuard,
  ListenAddress,
  ListenFaults,
  TaskSet,
} from "@mangoreach/shared";
import {
  createConnectionGuard,
  isLastRequest,
  readBody,
  startServer,
} from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { CallerResponse, EncodeFailure } from "./caller_response.ts";
import { createCallerResponse } from "./caller_response.ts";
import type { RequestHead } from "./platform_interfaces.ts";
import type { RequestContext } from "./request_service.ts";

/** Whether requests are served. */
export type ListenerPhase =
  | "open"
  /**
   * Serves what can end in time, and closes connections so that callers
   * reconnect elsewhere.
   */
  | "leaving"
  /** Refuses new requests and completes those in progress. */
  | "refusing";

/** Options of {@linkcode startCallerListener}. */
export interface CallerListenerOptions {
  clock: Clock;
  address: ListenAddress;
  /** An address that is not available is an error if left out. */
  faults?: ListenFaults | undefined;
  tasks: TaskSet;
  /** Bounds what connections hold; with the default limits if left out. */
  guard?: ConnectionGuard | undefined;
  decodeHead: (message: IncomingMessage) => Result<RequestHead, Failure>;
  encodeFailure: EncodeFailure;
  serve: (context: RequestContext) => Promise<void>;
  readLimits: () => RequestLimits;
  readPhase: () => ListenerPhase;
  /** Creates the refusal of an entry that takes no more requests. */
  createStoppingFailure: () => Failure;
  /** Called for requests that are refused before routing. */
  onRefused: (failure: Failure, id: string | undefined) => void;
}

/** A running listener. */
export interface CallerListener {
  readonly server: Server;
  /** Updates the limits of the HTTP server itself. */
  applyLimits(limits: RequestLimits): void;
}

/** Node rejects longer heads itself, with status 431. */
const MAX_HEADER_BYTES = 16_384;
const MAX_CONNECTIONS = 3_000;
/** The first ends the turn that read the request; the second reads again. */
const READ_TURNS = 2;
/** Ratio of the time limits for a complete request and for its head. */
const BODY_TIME_FACTOR = 4;

/** Starts the listener. */
export async function startCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  const { clock, address, tasks, readLimits, readPhase } = options;
  const guard = options.guard ?? createConnectionGuard({ clock });

  async function handle(
    message: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    const receivedAt = clock.now();
    const response = createCallerResponse(serverResponse, {
      encodeFailure: options.encodeFailure,
      isClosing: () => readPhase() !== "open" && isLastRequest(message),
    });
    const head = options.decodeHead(message);
    const { maxBodyBytes } = readLimits();
    const body = await readBody(message, maxBodyBytes);
    if (body.kind === "cut" || await hasDisconnected(message)) return;
    const id = head.isOk ? head.value.id : undefined;
    if (body.kind === "too_large") {
      return refuse(response, failTooLarge(maxBodyBytes), id);
    }
    if (body.kind === "no_memory") {
      return refuse(response, createMemoryFailure(), id);
    }
    if (head.isErr) return refuse(response, head.error, id);
    if (guard.isFull()) {
      guard.record("requests");
      return refuse(response, createFullFailure(), id);
    }
    if (readPhase() === "refusing") {
      return refuse(response, options.createStoppingFailure(), id);
    }
    const request = { head: head.value, body: body.body };
    await options.serve({ request, response, receivedAt });
    // Callers may read slowly. A process that stops waits for its tasks, and the
    // rest of an answer would be lost with its connection.
    await new Promise<void>((resolve) => response.onceClosed(resolve));
  }

  function refuse(
    response: CallerResponse,
    failure: Failure,
    id: string | undefined,
  ): void {
    response.refuse(failure);
    options.onRefused(failure, id);
  }

  const server = await startServer(
    (message, response) => tasks.add(handle(message, response)),
    {
      address,
      guard,
      faults: options.faults,
      limits: {
        maxHeaderBytes: MAX_HEADER_BYTES,
        requestTimeoutMs: readLimits().headerTimeout,
        maxConnections: MAX_CONNECTIONS,
      },
    },
  );

  function applyLimits({ headerTimeout, idleTimeout }: RequestLimits): void {
    server.headersTimeout = headerTimeout;
    server.requestTimeout = BODY_TIME_FACTOR * headerTimeout;
    server.keepAliveTimeout = idleTimeout;
  }

  applyLimits(readLimits());
  return { server, applyLimits };
}

/**
 * Returns whether the caller has already disconnected. On an instance short of
 * processor time a request may wait long to be read, with the caller's close
 * right behind it, so the event loop reads from the sockets once more first.
 */
async function hasDisconnected({ socket }: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < READ_TURNS; turn++) await setImmediate();
  return socket.readableEnded || socket.destroyed;
}

function failTooLarge(limit: number): Failure {
  return createFailure("too_large", {
    verdict: "not_run",
    message: `the body is larger than ${limit} bytes`,
  });
}
