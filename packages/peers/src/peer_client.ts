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
import { createMessageReader } from "./message_check.ts";
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

const readExchange = createMessageReader(exchangeSchema);
const readConfigInForce = createMessageReader(configInForceSchema.nullable());
const readOutcome = createMessageReader(outcomeReplySchema);

/** Creates the client. */
export function createPeerClient(
  { clock, siteKey, timeoutMs }: PeerClientOptions,
): PeerClient {
  const { request, close } = createPeerCaller<PeerRouter>({
    clock,
    siteKey,
    connectTimeout: timeoutMs,
  });

  return {
    exchange: (address, message) =>
      request({
        address,
        path: "exchange",
        type: "mutation",
        input: message,
        read: readExchange,
        timeout: timeoutMs,
      }),
    readConfig: async (address) => {
      const reply = await request({
        address,
        path: "config",
        type: "query",
        input: undefined,
        read: readConfigInForce,
        timeout: timeoutMs,
      });
      return reply.map((config) => config ?? undefined);
    },
    queryOutcome: (address, query) =>
      request({
        address,
        path: "outcome",
        type: "mutation",
        input: query,
        read: readOutcome,
        timeout: timeoutMs + query.waitMs,
      }),
    close,
  };
}
