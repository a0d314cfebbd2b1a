/**
 * The side of an entry that answers its peers.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";
import type { ActiveConfig } from "@mangoreach/operators";
import { initTRPC, TRPCError } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type {
  OutcomeQuestion,
  OutcomeReply,
  PeerExchange,
} from "./peer_protocol.ts";
import { PEER_PATH } from "./peer_path.ts";
import { exchangeSchema, outcomeQuestionSchema } from "./peer_protocol.ts";

/** What an entry does for its peers. */
export interface PeerHandlers {
  exchange(message: PeerExchange): PeerExchange;
  /** The configuration in force here; null before the first. */
  readConfig(): ActiveConfig | null;
  answerOutcome(question: OutcomeQuestion): Promise<OutcomeReply>;
}

interface PeerContext {
  isPeer: boolean;
}

function createPeerRouter(handlers: PeerHandlers) {
  const builder = initTRPC.context<PeerContext>().create();
  const procedure = builder.procedure.use(({ ctx, next }) => {
    if (!ctx.isPeer) throw new TRPCError({ code: "UNAUTHORIZED" });
    return next();
  });
  return builder.router({
    exchange: procedure.input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    config: procedure.query(() => handlers.readConfig()),
    outcome: procedure.input(outcomeQuestionSchema)
      .mutation(({ input }) => handlers.answerOutcome(input)),
  });
}

/** The type of the router, for the client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Options of {@linkcode createPeerListener}. */
export interface PeerListenerOptions {
  handlers: PeerHandlers;
  isPeer: (request: IncomingMessage) => boolean;
}

/** Creates the listener for requests whose path begins with the prefix. */
export function createPeerListener(
  { handlers, isPeer }: PeerListenerOptions,
): RequestListener {
  return createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: PEER_PATH,
    createContext: ({ req }): PeerContext => ({ isPeer: isPeer(req) }),
  });
}
