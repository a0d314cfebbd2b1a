/**
 * What the routers of all peers' protocols share: only peers may call.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";
import type { AnyTRPCRouter } from "@trpc/server";
import { initTRPC, TRPCError } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { PEER_PATH } from "./peer_path.ts";

interface PeerContext {
  isPeer: boolean;
}

const builder = initTRPC.context<PeerContext>().create();

/** Creates a router from procedures. */
export const createRouter = builder.router;

/** The base of every procedure. */
export const peerProcedure = builder.procedure.use(({ ctx, next }) => {
  if (!ctx.isPeer) throw new TRPCError({ code: "UNAUTHORIZED" });
  return next();
});

/** Creates the listener for requests whose path begins with the prefix. */
export function createRouterListener(
  router: AnyTRPCRouter,
  isPeer: (request: IncomingMessage) => boolean,
): RequestListener {
  return createHTTPHandler({
    router,
    basePath: PEER_PATH,
    createContext: ({ req }): PeerContext => ({ isPeer: isPeer(req) }),
  });
}
