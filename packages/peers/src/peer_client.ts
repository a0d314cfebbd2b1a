/**
 * The client of the protocol between entries.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import type { ActiveConfig } from "@mangoreach/operators";
import { configInForceSchema } from "@mangoreach/operators";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import { createPeerCaller } from "./peer_caller.ts";
import type {
  OutcomeQuery,
  OutcomeReply,
  PeerExchange,
} from "./peer_protocol.ts";
import { exchangeSchema, outcomeReplySchema } from "./peer_protocol.ts";
import type { PeerRouter } from "./peer_server.ts";

/** Options of {@linkcode createPeerClient}. */
export interface PeerClientOptions {
  clock: Clock;
  siteKey: string;
  timeoutMs: Millis;
}

/** Sends requests to peers; `address` is a control address, `ip:port`. */
export interface PeerClient {
  exchange(
    address: string,
    message: PeerExchange,
  ): Promise<Result<PeerExchange, Failure>>;
  readConfig(
    address: string,
  ): Promise<Result<ActiveConfig | undefined, Failure>>;
  queryOutcome(
    address: string,
    query: OutcomeQuery,
  ): Promise<Result<OutcomeReply, Failure>>;
  close(): Promise<void>;
}

/** Creates the client. */
export function createPeerClient(
  { clock, siteKey, timeoutMs }: PeerClientOptions,
): PeerClient {
  const caller = createPeerCaller<PeerRouter>({
    clock,
    siteKey,
    connectTimeout: timeoutMs,
  });
  const { request } = caller;

  return {
    exchange: (address, message) =>
      request(
        { address, schema: exchangeSchema, timeout: timeoutMs },
        (client, options) => client.exchange.mutate(message, options),
      ),
    readConfig: async (address) => {
      const reply = await request(
        {
          address,
          schema: configInForceSchema.nullable(),
          timeout: timeoutMs,
        },
        (client, options) => client.config.query(undefined, options),
      );
      return reply.map((config) => config ?? undefined);
    },
    queryOutcome: (address, query) =>
      request(
        {
          address,
          schema: outcomeReplySchema,
          timeout: timeoutMs + query.waitMs,
        },
        (client, options) => client.outcome.mutate(query, options),
      ),
    close: () => caller.close(),
  };
}
