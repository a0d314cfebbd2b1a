/**
 * A server that replies with raw bytes set by a test, for replies that no
 * correct peer would send.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** How to reply once a request has arrived on a connection. */
export type ScriptedReply =
  | { kind: "bytes"; bytes: string }
  /** Sends the bytes, then resets the connection. */
  | { kind: "cut"; bytes: string }
  /** Never replies. */
  | { kind: "silence" };

/** A running scripted server. */
export interface ScriptedServer {
  readonly address: string;
  /** How many requests arrived. */
  readonly requests: number;
  stop(): Promise<void>;
}

/** Starts a server that sends the same reply to every request. */
export async function startScriptedServer(
  reply: ScriptedReply,
): Promise<ScriptedServer> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => sockets.delete(socket));
    socket.on("data", () => {
      requests++;
      if (reply.kind === "silence") return;
      socket.write(reply.bytes, () => {
        if (reply.kind === "cut") socket.resetAndDestroy();
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    get requests() {
      return requests;
    },
    async stop() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

/** Formats a complete HTTP response. */
export function formatHttpReply(
  status: number,
  body: string,
  contentType = "application/json",
): string {
  const length = new TextEncoder().encode(body).length;
  return `HTTP/1.1 ${status} X\r\ncontent-type: ${contentType}\r\n` +
    `content-length: ${length}\r\n\r\n${body}`;
}

/** An invalid reply, with a name for test titles. */
export interface BadReply {
  name: string;
  reply: ScriptedReply;
}

/** Replies that break any JSON protocol over HTTP. */
export const BAD_REPLIES: readonly BadReply[] = [
  { name: "not JSON", reply: createCompleteReply(200, "{broken") },
  {
    name: "JSON of another shape",
    reply: createCompleteReply(200, '["what"]'),
  },
  { name: "null", reply: createCompleteReply(200, "null") },
  { name: "an empty body", reply: createCompleteReply(200, "") },
  { name: "status 500", reply: createCompleteReply(500, "{}") },
  { name: "status 302", reply: createCompleteReply(302, "{}") },
  { name: "not HTTP", reply: { kind: "bytes", bytes: "hello\r\n\r\n" } },
  {
    name: "a truncated body",
    reply: {
      kind: "cut",
      bytes: "HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{",
    },
  },
  { name: "a reset connection", reply: { kind: "cut", bytes: "" } },
  {
    name: "an oversized body",
    reply: createCompleteReply(200, `"${"x".repeat(5_000_000)}"`),
  },
];

function createCompleteReply(status: number, body: string): ScriptedReply {
  return { kind: "bytes", bytes: formatHttpReply(status, body) };
}
