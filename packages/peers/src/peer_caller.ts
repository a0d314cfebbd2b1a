/**
 * Calls procedures of peers by trpc over kept connections, each with a time
 * limit, a checked reply and a typed failure.
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

/** One question to a peer. */
export interface PeerRequest<T> {
  /** A control address, `ip:port`. */
  address: string;
  /** Checks the reply. */
  schema: z.ZodType<T>;
  timeout: Millis;
  /** Gives the question up. */
  signal?: AbortSignal;
}

/** What goes along with each call; for trpc's client. */
export interface PeerCallOptions {
  signal: AbortSignal;
  context: { address: string };
}

/** Calls the procedures of one router at any peer. */
export interface PeerCaller<R extends AnyTRPCRouter> {
  request<T>(
    question: PeerRequest<T>,
    send: (
      client: TRPCClient<R>,
      options: PeerCallOptions,
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>>;
  close(): Promise<void>;
}

/**
 * Partners are drawn from all peers, so it takes most of a minute until one is
 * asked again; a new connection costs both sides more than the message does.
 */
const KEEP_ALIVE: Millis = 60_000;

/** Creates the caller of one process. */
export function createPeerCaller<R extends AnyTRPCRouter>(
  { clock, siteKey, connectTimeout }: PeerCallerOptions,
): PeerCaller<R> {
  const kept = createPersistentConnections({
    keepAlive: KEEP_ALIVE,
    maxKeepAlive: KEEP_ALIVE,
    connectTimeout,
  });
  // In place of trpc's HTTP link, whose fetch and headers of the standard cost
  // more than all the rest of a call. Whom to call stands in the call's context,
  // so one client serves all peers.
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
  /** Holds the address, as it was given with the call. */
  context: Record<string, unknown>;
  siteKey: string;
  kept: PersistentConnections;
  type: string;
  path: string;
  input: unknown;
  signal: AbortSignal | null | undefined;
}

/** Sends one call as trpc's HTTP link would, and returns its data. */
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
