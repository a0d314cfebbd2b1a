/**
 * The loopback HTTP server that the stand-ins of the soak test share.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, readServerAddress, startServer } from "@mangoreach/shared";
import { LOOPBACK_HOST } from "./loopback_host.ts";

/** A running server. */
export interface SoakServer {
  /** `ip:port`. */
  readonly address: string;
  /** Closes all connections and stops listening. */
  close(): void;
}

/** Handles one request; its connection is destroyed on an error. */
export type SoakHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** High, so that limits of the stand-in do not hide faults of the program. */
const LIMITS = {
  maxHeaderBytes: 65_536,
  requestTimeoutMs: 60_000,
  maxConnections: 10_000,
};
const MAX_BODY_BYTES = 1_000_000;

/** Starts a server on a free port. */
export async function startSoakServer(
  handle: SoakHandler,
): Promise<SoakServer> {
  const server = await startServer((request, response) => {
    // Fails when the caller disconnects, so no error response is sent.
    handle(request, response).catch(() => response.destroy());
  }, { address: { host: LOOPBACK_HOST, port: 0 }, limits: LIMITS });
  return {
    address: readServerAddress(server),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Reads the complete body of a request. */
export async function readCompleteBody(
  request: IncomingMessage,
): Promise<Buffer> {
  const read = await readBody(request, MAX_BODY_BYTES);
  if (read.kind !== "whole") throw new Error("request body incomplete");
  return read.body;
}
