/**
 * What the soak's stand-ins share: a server on loopback.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, readServerAddress, startServer } from "@mangoreach/shared";

/** A running server. */
export interface SoakServer {
  /** `ip:port`. */
  readonly address: string;
  /** Ends all connections and takes no new ones. */
  close(): void;
}

/** Answers one request; after a fault its connection is ended. */
export type SoakAnswer = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Wide: what the program does must not be hidden by a limit of the stand-in. */
const LIMITS = {
  maxHeaderBytes: 65_536,
  requestTimeoutMs: 60_000,
  maxConnections: 10_000,
};
const MAX_BODY_BYTES = 1_000_000;

/** Starts a server on a free port. */
export async function startSoakServer(answer: SoakAnswer): Promise<SoakServer> {
  const server = await startServer((request, response) => {
    // A caller that is gone ends the answer; there is nobody to tell.
    answer(request, response).catch(() => response.destroy());
  }, { address: { host: "127.0.0.1", port: 0 }, limits: LIMITS });
  return {
    address: readServerAddress(server),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** The whole body of a request. */
export async function readWholeBody(request: IncomingMessage): Promise<Buffer> {
  const read = await readBody(request, MAX_BODY_BYTES);
  if (read.kind !== "whole") throw new Error("the body is not whole");
  return read.body;
}
