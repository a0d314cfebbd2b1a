/**
 * A server that answers with the very bytes a test gives it, for replies that
 * no honest peer would send.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** What to do with a connection once its request has arrived. */
export type ScriptedReply =
  | { kind: "bytes"; bytes: string }
  /** Sends the bytes, then resets the connection. */
  | { kind: "cut"; bytes: string }
  /** Never answers. */
  | { kind: "silence" };

/** A running scripted server. */
export interface ScriptedServer {
  readonly address: string;
  /** How many requests arrived. */
  readonly requests: number;
  stop(): Promise<void>;
}

/** Starts a server that gives the same reply to every request. */
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

/** Formats a createWhole HTTP answer. */
export function formatHttpReply(
  status: number,
  body: string,
  contentType = "application/json",
): string {
  const length = new TextEncoder().encode(body).length;
  return `HTTP/1.1 ${status} X\r\ncontent-type: ${contentType}\r\n` +
    `content-length: ${length}\r\n\r\n${body}`;
}

/** A reply that no peer should send, with a name for tables of tests. */
export interface BadReply {
  name: string;
  reply: ScriptedReply;
}

/** Replies that break any JSON protocol over HTTP. */
export const BAD_REPLIES: readonly BadReply[] = [
  { name: "not JSON", reply: createWhole(200, "{broken") },
  { name: "JSON of another form", reply: createWhole(200, '["what"]') },
  { name: "null", reply: createWhole(200, "null") },
  { name: "nothing", reply: createWhole(200, "") },
  { name: "status 500", reply: createWhole(500, "{}") },
  { name: "status 302", reply: createWhole(302, "{}") },
  { name: "not HTTP", reply: { kind: "bytes", bytes: "hello\r\n\r\n" } },
  {
    name: "a cut body",
    reply: {
      kind: "cut",
      bytes: "HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{",
    },
  },
  { name: "a reset connection", reply: { kind: "cut", bytes: "" } },
  {
    name: "an oversized body",
    reply: createWhole(200, `"${"x".repeat(5_000_000)}"`),
  },
];

function createWhole(status: number, body: string): ScriptedReply {
  return { kind: "bytes", bytes: formatHttpReply(status, body) };
}
