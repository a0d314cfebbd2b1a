/**
 * Calls procedures of peers by trpc over kept connections, each with a time
 * limit, a checked reply and a typed failure.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { Result } from "true-myth";
import { Agent, request } from "undici";
import type { z } from "zod";
import { PEER_PATH } from "./peer_path.ts";

/** Options of {@linkcode createPeerCaller}. */
export interface PeerCallerOptions {
  clock: Clock;
  siteKey: string;
  connectTimeout: Millis;
}

/** One question to a peer. */
export interface PeerQuestion<T> {
  /** A control address, `ip:port`. */
  address: string;
  /** Checks the reply. */
  schema: z.ZodType<T>;
  timeout: Millis;
  /** Gives the question up. */
  signal?: AbortSignal;
}

/** Calls the procedures of one router at any peer. */
export interface PeerCaller<R extends AnyTRPCRouter> {
  ask<T>(
    question: PeerQuestion<T>,
    send: (
      client: TRPCClient<R>,
      options: { signal: AbortSignal },
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>>;
  close(): Promise<void>;
}

const MAX_CLIENTS = 64;
const KEEP_ALIVE: Millis = 4_000;

/** Creates the caller of one process. */
export function createPeerCaller<R extends AnyTRPCRouter>(
  { clock, siteKey, connectTimeout }: PeerCallerOptions,
): PeerCaller<R> {
  const agent = new Agent({ keepAliveTimeout: KEEP_ALIVE, connectTimeout });
  const clients = new Map<string, TRPCClient<R>>();

  function findClient(address: string): TRPCClient<R> {
    const known = clients.get(address);
    if (known !== undefined) return known;
    if (clients.size >= MAX_CLIENTS) clients.clear();
    const link = httpLink(
      {
        url: `http://${address}${PEER_PATH.slice(0, -1)}`,
        headers: { authorization: `Bearer ${siteKey}` },
        fetch: (url, options) => sendRequest(String(url), { options, agent }),
        // The routers carry no transformer, which the types of a generic router
        // cannot tell.
      } as Parameters<typeof httpLink>[0],
    );
    const client = createTRPCClient<R>({ links: [link] });
    clients.set(address, client);
    return client;
  }

  async function ask<T>(
    { address, schema, timeout, signal }: PeerQuestion<T>,
    send: (
      client: TRPCClient<R>,
      options: { signal: AbortSignal },
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const stopTimer = clock.startTimer(timeout, abort);
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();
    try {
      const options = { signal: controller.signal };
      const reply = await send(findClient(address), options);
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

  return { ask, close: () => agent.destroy() };
}

/**
 * What trpc needs of a fetch, by undici's plain request: the standard's streams
 * cost half of what an idle entry spends.
 */
async function sendRequest(
  url: string,
  { options = {}, agent }: { options: FetchOptions | undefined; agent: Agent },
): Promise<FetchReply> {
  const { statusCode, body } = await request(url, {
    dispatcher: agent,
    method: options.method ?? "GET",
    headers: options.headers as Record<string, string> ?? {},
    body: options.body as string ?? null,
    signal: options.signal ?? null,
  });
  const text = await body.text();
  return {
    ok: statusCode >= 200 && statusCode < 300,
    status: statusCode,
    json: () => Promise.resolve(JSON.parse(text)),
  } as FetchReply;
}

type LinkFetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;
type FetchOptions = NonNullable<Parameters<LinkFetch>[1]>;
type FetchReply = Awaited<ReturnType<LinkFetch>>;

function fail(address: string, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: `peer ${address}: ${message}`,
  });
}
