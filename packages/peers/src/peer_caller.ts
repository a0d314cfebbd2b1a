/**
 * Calls procedures of peers by tRPC over persistent connections, each with a
 * timeout, a validated reply and a typed failure.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Clock, Millis, PersistentConnections } from "@mangoreach/shared";
import { createPersistentConnections } from "@mangoreach/shared";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, TRPCClientError } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import type { TRPCResponse } from "@trpc/server/rpc";
import { observable } from "@trpc/server/observable";
import { Result } from "true-myth";
import type * as z from "zod";
import { PEER_PATH } from "./peer_path.ts";

/** Options of {@linkcode createPeerCaller}. */
export interface PeerCallerOptions {
  clock: Clock;
  siteKey: string;
  connectTimeout: Millis;
}

/** One request to a peer. */
export interface PeerRequest<T> {
  /** A control address, `ip:port`. */
  address: string;
  /** Validates the reply. */
  schema: z.ZodType<T>;
  timeout: Millis;
  /** Cancels the request. */
  signal?: AbortSignal;
}

/** Options of each call of the tRPC client. */
export interface PeerCallOptions {
  signal: AbortSignal;
  context: { address: string };
}

/** Calls the procedures of one router at any peer. */
export interface PeerCaller<R extends AnyTRPCRouter> {
  request<T>(
    target: PeerRequest<T>,
    send: (
      client: TRPCClient<R>,
      options: PeerCallOptions,
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>>;
  close(): Promise<void>;
}

/**
 * Peers are chosen at random for exchanges, so most of a minute can pass
 * between two requests to the same one. A new connection costs both sides more
 * than the message does.
 */
const KEEP_ALIVE: Millis = 60_000;

/** Creates the caller for one process. */
export function createPeerCaller<R extends AnyTRPCRouter>(
  { clock, siteKey, connectTimeout }: PeerCallerOptions,
): PeerCaller<R> {
  const kept = createPersistentConnections({
    keepAlive: KEEP_ALIVE,
    maxKeepAlive: KEEP_ALIVE,
    connectTimeout,
  });
  // Replaces tRPC's HTTP link, whose use of the standard fetch and Headers
  // costs more than the rest of a call. The address is in the context of each
  // call, so one client serves all peers.
  const client = createTRPCClient<R>({
    links: [
      () => ({ op }) =>
        observable((observer) => {
          sendCall({ ...op, siteKey, kept }).then((data) => {
            observer.next({ result: { type: "data", data } });
            observer.complete();
          }, (error) => observer.error(TRPCClientError.from(error)));
        }),
    ],
  });

  async function request<T>(
    { address, schema, timeout, signal }: PeerRequest<T>,
    send: (
      client: TRPCClient<R>,
      options: PeerCallOptions,
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const stopTimer = clock.startTimer(timeout, () => {
      abort();
      kept.discard(address);
    });
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();
    try {
      const options = { signal: controller.signal, context: { address } };
      const reply = await send(client, options);
      const parsed = schema.safeParse(reply);
      if (parsed.success) return Result.ok(parsed.data);
      return Result.err(fail(address, "the reply is malformed"));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return Result.err(fail(address, message));
    } finally {
      stopTimer();
      signal?.removeEventListener("abort", abort);
    }
  }

  return { request, close: kept.close };
}

interface OutgoingCall {
  /** Contains the address that was given with the call. */
  context: Record<string, unknown>;
  siteKey: string;
  kept: PersistentConnections;
  type: string;
  path: string;
  input: unknown;
  signal: AbortSignal | null | undefined;
}

/** Sends one call in the form of tRPC's HTTP link and returns its data. */
async function sendCall(
  { context, siteKey, kept, type, path, input, signal }: OutgoingCall,
): Promise<unknown> {
  const isQuery = type === "query";
  const text = input === undefined ? undefined : JSON.stringify(input);
  const query = isQuery && text !== undefined
    ? `?input=${encodeURIComponent(text)}`
    : "";
  const { body } = await kept.getPool(String(context.address)).request({
    path: `${PEER_PATH}${path}${query}`,
    method: isQuery ? "GET" : "POST",
    headers: {
      authorization: `Bearer ${siteKey}`,
      ...(isQuery ? {} : { "content-type": "application/json" }),
    },
    body: isQuery ? null : text ?? null,
    signal: signal ?? null,
  });
  const reply = JSON.parse(await body.text()) as TRPCResponse;
  if ("error" in reply) throw new Error(reply.error.message);
  return reply.result.data;
}

function fail(address: string, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: `peer ${address}: ${message}`,
  });
}
