/**
 * Replies of stage endpoints that are written as raw bytes.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Formats results that the endpoint behind a socket keeps, one for each piece. */
export function formatResults(socket: Socket, received: string): string {
  const [, body = ""] = received.split("\r\n\r\n");
  const { items } = JSON.parse(body) as { items: { id: string }[] };
  const handles = items.map(({ id }) => ({
    handle: `${socket.localAddress}:${socket.localPort}/${id}`,
  }));
  return JSON.stringify({ items: handles });
}
