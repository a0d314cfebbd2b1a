/**
 * Calls procedures of peers over persistent connections, each with a timeout, a
 * validated reply and a typed failure. A peer of a build without such
 * connections is called by tRPC over HTTP.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type {
  AnswerMeter,
  Clock,
  HeldBytes,
  Millis,
  PersistentConnections,
} from "@mangoreach/shared";
import {
  createPersistentConnections,
  discardBody,
  parseBoundedJson,
  readAnswerHead,
  readLimitedBody,
} from "@mangoreach/shared";
import type { AnyTRPCRouter, inferRouterInputs } from "@trpc/server";
import type { TRPCResponse } from "@trpc/server/rpc";
import { Result } from "true-myth";
import type { ChannelFault } from "./frame_channel.ts";
import { MAX_FRAME_BYTES } from "./frame_codec.ts";
import type { OutgoingCall, PeerConnection } from "./peer_connection.ts";
import { openPeerConnection } from "./peer_connection.ts";
import { PEER_PATH } from "./peer_path.ts";
import type { ObserveBytes } from "./peer_procedure.ts";
import type { ReadMessage } from "./message_check.ts";

/** Options of {@linkcode createPeerCaller}. */
export interface PeerCallerOptions {
  clock: Clock;
  siteKey: string;
  connectTimeout: Millis;
  /** Bounds the replies that this process holds; not bounded if left out. */
  heldBytes?: HeldBytes | undefined;
  /** Counts what answers over HTTP cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
  /** Called when a connection is closed for a fault of the peer. */
  onFault?: ((fault: ChannelFault) => void) | undefined;
  onBytes?: ObserveBytes;
}

/** The names of the procedures of a router. */
type ProcedureName<R extends AnyTRPCRouter> =
  & keyof R["_def"]["record"]
  & keyof inferRouterInputs<R>
  & string;

/** One request to a peer. */
export interface PeerRequest<
  R extends AnyTRPCRouter,
  P extends ProcedureName<R>,
  T,
> {
  /** A control address, `ip:port`. */
  address: string;
  path: P;
  type: R["_def"]["record"][P]["_def"]["type"] & OutgoingCall["type"];
  input: inferRouterInputs<R>[P];
  /** Validates the reply; throws if it is malformed. */
  read: ReadMessage<T>;
  timeout: Millis;
  /**
   * The reply can be large. It comes on a connection of its own, as it would
   * delay the other replies by the time that it takes on a slow link.
   */
  isBulk?: boolean;
  /** Cancels the request. */
  signal?: AbortSignal;
}

/** Calls the procedures of one router at any peer. */
export interface PeerCaller<R extends AnyTRPCRouter> {
  request<P extends ProcedureName<R>, T>(
    request: PeerRequest<R, P, T>,
  ): Promise<Result<T, Failure>>;
  close(): Promise<void>;
}

/**
 * Peers are chosen at random for exchanges, so most of a minute can pass
 * between two requests to the same one. A new connection costs both sides more
 * than the message does.
 */
const KEEP_ALIVE: Millis = 60_000;
/** Messages of peers may have the length of a frame, and are logged. */
const MAX_MESSAGE_LENGTH = 1_024;

/** Creates the caller for one process. */
export function createPeerCaller<R extends AnyTRPCRouter>(
  { clock, siteKey, connectTimeout, heldBytes, meter, onFault, onBytes }:
    PeerCallerOptions,
): PeerCaller<R> {
  /** For bulk replies and for all others, by address. */
  const bulkConnections = new Map<string, PeerConnection>();
  const connections = new Map<string, PeerConnection>();
  /** Until when each peer that refused a connection is called over HTTP. */
  const httpUntil = new Map<string, Millis>();
  const kept = createPersistentConnections({
    keepAlive: KEEP_ALIVE,
    maxKeepAlive: KEEP_ALIVE,
    connectTimeout,
    meter,
  });

  /** Returns the connection to a peer; undefined if it supports only HTTP. */
  function findConnection(
    address: string,
    open: Map<string, PeerConnection>,
  ): PeerConnection | undefined {
    const present = open.get(address);
    if (present !== undefined) return present;
    const until = httpUntil.get(address);
    if (until !== undefined) {
      if (clock.now() < until) return undefined;
      httpUntil.delete(address);
    }
    const connection = openPeerConnection({
      clock,
      address,
      siteKey,
      connectTimeout,
      idleTimeout: KEEP_ALIVE,
      meter,
      onFault,
      onRefused: () => keepHttp(address),
      onClosed() {
        if (open.get(address) === connection) open.delete(address);
      },
    });
    open.set(address, connection);
    return connection;
  }

  function keepHttp(address: string): void {
    const now = clock.now();
    // Bounds the map: each restart of a peer can bring a new address.
    for (const [other, until] of httpUntil) {
      if (until <= now) httpUntil.delete(other);
    }
    httpUntil.set(address, now + KEEP_ALIVE);
  }

  /**
   * Discards the connection of a call that timed out: its other calls continue,
   * new ones use a new connection. Undefined stands for HTTP.
   */
  function discard(
    address: string,
    open: Map<string, PeerConnection>,
    connection: PeerConnection | undefined,
  ): void {
    if (connection === undefined) {
      // Another build may have been started at this address.
      httpUntil.delete(address);
      return kept.discard(address);
    }
    if (open.get(address) === connection) open.delete(address);
    connection.retire();
  }

  /** Starts a call; the function returned abandons it. */
  function startHttpCall(address: string, call: OutgoingCall): () => void {
    const controller = new AbortController();
    const { signal } = controller;
    sendHttpCall({ address, siteKey, kept, heldBytes, call, signal })
      .then(call.onReply, (error) => {
        call.onFailed(error instanceof Error ? error.message : String(error));
      });
    return () => controller.abort();
  }

  function request<P extends ProcedureName<R>, T>(
    { address, path, type, input, read, timeout, isBulk, signal }: PeerRequest<
      R,
      P,
      T
    >,
  ): Promise<Result<T, Failure>> {
    const open = isBulk === true ? bulkConnections : connections;
    if (signal?.aborted) {
      return Promise.resolve(Result.err(fail(address, "the call was aborted")));
    }
    return new Promise((resolve) => {
      let isSettled = false;
      let abandon: (() => void) | undefined;
      let connection: PeerConnection | undefined;

      function settle(result: Result<T, Failure>): void {
        if (isSettled) return;
        isSettled = true;
        stopTimer();
        signal?.removeEventListener("abort", cancel);
        resolve(result);
      }

      function settleFailed(message: string): void {
        settle(Result.err(fail(address, message)));
      }

      function cancel(): void {
        settleFailed("the call was aborted");
        abandon?.();
      }

      const stopTimer = clock.startTimer(timeout, () => {
        settleFailed("no reply in time");
        abandon?.();
        discard(address, open, connection);
      });
      signal?.addEventListener("abort", cancel, { once: true });
      const call: OutgoingCall = {
        type,
        path,
        input,
        onReply(data) {
          try {
            settle(Result.ok(read(data)));
          } catch {
            settleFailed("the reply is malformed");
          }
        },
        onFailed: settleFailed,
        onRefused() {
          connection = undefined;
          if (!isSettled) abandon = startHttpCall(address, call);
        },
        onBytes: (direction, bytes) => onBytes?.(path, direction, bytes),
      };
      // Addresses come from records of other entries and can be malformed.
      try {
        connection = findConnection(address, open);
        abandon = connection === undefined
          ? startHttpCall(address, call)
          : connection.call(call);
      } catch (error) {
        settleFailed(error instanceof Error ? error.message : String(error));
      }
    });
  }

  async function close(): Promise<void> {
    for (const open of [connections, bulkConnections]) {
      [...open.values()].forEach((connection) => connection.close());
    }
    await kept.close();
  }

  return { request, close };
}

/** Sends one call in the form of tRPC's HTTP link and returns its data. */
async function sendHttpCall(
  { address, siteKey, kept, heldBytes, call, signal }: {
    address: string;
    siteKey: string;
    kept: PersistentConnections;
    heldBytes: HeldBytes | undefined;
    call: OutgoingCall;
    signal: AbortSignal;
  },
): Promise<unknown> {
  const isQuery = call.type === "query";
  const text = call.input === undefined
    ? undefined
    : JSON.stringify(call.input);
  const query = isQuery && text !== undefined
    ? `?input=${encodeURIComponent(text)}`
    : "";
  call.onBytes("out", text?.length ?? 0);
  const method = isQuery ? "GET" : "POST";
  const { body, headers, statusCode } = await kept.getPool(address).request({
    path: `${PEER_PATH}${call.path}${query}`,
    method,
    headers: {
      authorization: `Bearer ${siteKey}`,
      ...(isQuery ? {} : { "content-type": "application/json" }),
    },
    body: isQuery ? null : text ?? null,
    signal,
  });
  const head = readAnswerHead({ method, status: statusCode, headers });
  if (head.isErr) {
    discardBody(body);
    throw new Error(`the reply is malformed: ${head.error}`);
  }
  const read = await readLimitedBody(body, {
    limit: MAX_FRAME_BYTES,
    heldBytes,
  });
  if (read.isErr) {
    throw new Error(`the reply was not read: ${read.error.fault}`);
  }
  const { bytes, release } = read.value;
  release();
  call.onBytes("in", bytes.length);
  const reply = parseBoundedJson(bytes.toString()) as TRPCResponse | undefined;
  if (reply === undefined) throw new Error("the reply is malformed");
  if ("error" in reply) throw new Error(reply.error.message);
  return reply.result.data;
}

function fail(address: string, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: `peer ${address}: ${message.slice(0, MAX_MESSAGE_LENGTH)}`,
  });
}
