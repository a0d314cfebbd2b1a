/**
 * The side of an entry that asks its peers.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { ActiveConfig } from "@mangoreach/operators";
import { configInForceSchema } from "@mangoreach/operators";
import type { Clock, Millis } from "@mangoreach/shared";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Result } from "true-myth";
import { Agent, fetch } from "undici";
import type { z } from "zod";
import type {
  OutcomeQuestion,
  OutcomeReply,
  PeerExchange,
} from "./peer_protocol.ts";
import { exchangeSchema, outcomeReplySchema } from "./peer_protocol.ts";
import type { PeerRouter } from "./peer_server.ts";
import { PEER_PATH } from "./peer_server.ts";

/** Options of {@linkcode createPeerClient}. */
export interface PeerClientOptions {
  clock: Clock;
  siteKey: string;
  timeoutMs: Millis;
}

/** Asks peers; `address` is a control address, `ip:port`. */
export interface PeerClient {
  exchange(
    address: string,
    message: PeerExchange,
  ): Promise<Result<PeerExchange, Failure>>;
  readConfig(
    address: string,
  ): Promise<Result<ActiveConfig | undefined, Failure>>;
  askOutcome(
    address: string,
    question: OutcomeQuestion,
  ): Promise<Result<OutcomeReply, Failure>>;
  close(): Promise<void>;
}

const MAX_CLIENTS = 64;
const KEEP_ALIVE: Millis = 4_000;

/** Creates the handle. */
export function createPeerClient(
  { clock, siteKey, timeoutMs }: PeerClientOptions,
): PeerClient {
  const agent = new Agent({
    keepAliveTimeout: KEEP_ALIVE,
    connectTimeout: timeoutMs,
  });
  const clients = new Map<string, TRPCClient<PeerRouter>>();

  function findClient(address: string): TRPCClient<PeerRouter> {
    const known = clients.get(address);
    if (known !== undefined) return known;
    if (clients.size >= MAX_CLIENTS) clients.clear();
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}${PEER_PATH.slice(0, -1)}`,
        headers: { authorization: `Bearer ${siteKey}` },
        fetch: (url, options) =>
          fetch(
            url as string,
            {
              ...options as RequestInit,
              dispatcher: agent,
            } as Parameters<typeof fetch>[1],
          ),
      })],
    });
    clients.set(address, client);
    return client;
  }

  async function ask<T>(
    { address, schema, timeout }: {
      address: string;
      schema: z.ZodType<T>;
      timeout: Millis;
    },
    send: (
      client: TRPCClient<PeerRouter>,
      options: { signal: AbortSignal },
    ) => Promise<unknown>,
  ): Promise<Result<T, Failure>> {
    const controller = new AbortController();
    const stopTimer = clock.startTimer(timeout, () => controller.abort());
    try {
      const reply = await send(findClient(address), {
        signal: controller.signal,
      });
      const parsed = schema.safeParse(reply);
      if (parsed.success) return Result.ok(parsed.data);
      return Result.err(fail(address, "the reply is malformed"));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return Result.err(fail(address, message));
    } finally {
      stopTimer();
    }
  }

  return {
    exchange: (address, message) =>
      ask(
        { address, schema: exchangeSchema, timeout: timeoutMs },
        (client, options) => client.exchange.mutate(message, options),
      ),
    readConfig: async (address) => {
      const reply = await ask(
        {
          address,
          schema: configInForceSchema.nullable(),
          timeout: timeoutMs,
        },
        (client, options) => client.config.query(undefined, options),
      );
      return reply.map((config) => config ?? undefined);
    },
    askOutcome: (address, question) =>
      ask(
        {
          address,
          schema: outcomeReplySchema,
          timeout: timeoutMs + question.waitMs,
        },
        (client, options) => client.outcome.mutate(question, options),
      ),
    close: () => agent.destroy(),
  };
}

function fail(address: string, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: `peer ${address}: ${message}`,
  });
}
