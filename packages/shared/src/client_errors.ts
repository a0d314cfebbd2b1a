/**
 * Answers errors on the connections of an HTTP server, such as time-outs and
 * bytes that are not HTTP.
 *
 * Node's own handler writes its answer even if an earlier request on the same
 * connection is running. The caller would take a 408 for the answer to that
 * request, and conclude that it did not run.
 *
 * @module
 */
import type { Server } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { listExchanges } from "./connections/connection_registry.ts";

const STATUSES: ReadonlyMap<string, number> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
  ["HPE_HEADER_OVERFLOW", 431],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
]);
const STATUS_MALFORMED = 400;

/**
 * Makes a server answer only errors in a request that was not received
 * completely; it closes the connection after any error.
 */
export function handleClientErrors(server: Server): void {
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const exchanges = listExchanges(socket as Socket);
    const isAnswerable = socket.writable &&
      exchanges.every(({ message, response }) =>
        !message.complete && !response.headersSent
      );
    if (isAnswerable) {
      const status = STATUSES.get(error.code ?? "") ?? STATUS_MALFORMED;
      socket.write(
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
          "Connection: close\r\n\r\n",
      );
    }
    socket.destroy(error);
  });
}
