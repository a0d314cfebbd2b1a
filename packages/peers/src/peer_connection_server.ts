/**
 * The server's side of connections from peers: opens them by an HTTP upgrade and
 * runs the procedures that they call.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Millis } from "@mangoreach/shared";
import { openMessages, releaseConnection } from "@mangoreach/shared";
import type { AnyTRPCRouter } from "@trpc/server";
import { callTRPCProcedure, getTRPCErrorFromUnknown } from "@trpc/server";
import type { ChannelFault, FrameChannel } from "./frame_channel.ts";
import { openFrameChannel } from "./frame_channel.ts";
import type { CallFrame, ReplyFrame } from "./peer_frames.ts";
import { decodeClientFrame, UPGRADE_PROTOCOL } from "./peer_frames.ts";
import type { ObserveBytes } from "./peer_procedure.ts";

/** Options of {@linkcode acceptPeerConnections}. */
export interface PeerConnectionServerOptions {
  router: AnyTRPCRouter;
  isPeer: (request: IncomingMessage) => boolean;
  /** Called when this side closes a connection for a fault of the peer. */
  onFault?: (fault: ChannelFault) => void;
  onBytes?: ObserveBytes;
  /** Serves the upgrades of other protocols, by their name. */
  upgrades?: Readonly<Record<string, ServeUpgrade>>;
}

/** An HTTP request for an upgrade, with its connection. */
export interface UpgradeRequest {
  request: IncomingMessage;
  socket: Duplex;
  /** Bytes that were read together with the HTTP head. */
  head: Buffer;
}

/** Serves an upgrade request of a peer. */
export type ServeUpgrade = (upgrade: UpgradeRequest) => void;

/** The connections from peers. */
export interface PeerConnections {
  /** Closes all connections and aborts their calls. */
  close(): void;
}

/**
 * Longer than the idle time-out of clients, which could otherwise send a call
 * on a connection that is just being closed.
 */
const IDLE_TIMEOUT: Millis = 65_000;
/** Calls in progress on one connection; clients send no more. */
const MAX_CALLS = 4_096;

/**
 * Accepts connections on the upgrade requests of a server. They count towards
 * its maximum number of connections.
 */
export function acceptPeerConnections(
  server: Server,
  { router, isPeer, onFault, onBytes, upgrades = {} }:
    PeerConnectionServerOptions,
): PeerConnections {
  const channels = new Set<FrameChannel>();

  function handleUpgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    releaseConnection(socket);
    // The HTTP server has removed its own listener.
    socket.on("error", () => socket.destroy());
    const protocol = request.headers.upgrade?.toLowerCase() ?? "";
    const serveUpgrade = new Map(Object.entries(upgrades)).get(protocol);
    if (protocol !== UPGRADE_PROTOCOL && serveUpgrade === undefined) {
      return serveWithoutUpgrade(server, { request, socket, head });
    }
    // Calls over HTTP are answered with the reason.
    if (!isPeer(request)) return refuseUpgrade(socket, "401 Unauthorized");
    if (serveUpgrade !== undefined) {
      return serveUpgrade({ request, socket, head });
    }
    socket.write(
      "HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\n" +
        `upgrade: ${UPGRADE_PROTOCOL}\r\n\r\n`,
    );
    serveConnection(socket, head);
  }

  function serveConnection(socket: Duplex, head: Buffer): void {
    const calls = new Map<number, AbortController>();
    const channel = openFrameChannel(socket, {
      head,
      idleTimeout: IDLE_TIMEOUT,
      isBusy: () => calls.size > 0,
      held: openMessages(socket, () => channel.close()),
      onMessage: handleMessage,
      onClosed(fault) {
        channels.delete(channel);
        if (fault !== undefined) onFault?.(fault);
        // Stops the work for a peer that disconnected.
        calls.forEach((controller) => controller.abort());
        calls.clear();
      },
    });
    channels.add(channel);

    function handleMessage(
      message: unknown,
      bytes: number,
    ): string | undefined {
      const frame = decodeClientFrame(message);
      if (frame === undefined) return "neither a call nor a cancellation";
      if ("cancel" in frame) {
        calls.get(frame.id)?.abort();
        calls.delete(frame.id);
        return undefined;
      }
      if (calls.has(frame.id)) return "the id of a call in progress";
      onBytes?.(frame.path, "in", bytes);
      channel.hold(bytes);
      void answerCall(frame).finally(() => channel.hold(-bytes));
      return undefined;
    }

    async function answerCall(frame: CallFrame): Promise<void> {
      const { id, path } = frame;
      if (calls.size >= MAX_CALLS) {
        return sendReply(path, { id, error: "too many calls" });
      }
      const controller = new AbortController();
      calls.set(id, controller);
      let reply: ReplyFrame;
      try {
        reply = { id, data: await callProcedure(router, frame, controller) };
      } catch (error) {
        reply = { id, error: getTRPCErrorFromUnknown(error).message };
      }
      // An abandoned call needs no reply, and its id may be in use again.
      if (calls.get(id) !== controller) return;
      calls.delete(id);
      sendReply(path, reply);
    }

    function sendReply(path: string, reply: ReplyFrame): void {
      const sent = channel.send(reply);
      if (typeof sent === "number") return onBytes?.(path, "out", sent);
      if (sent === "closed") return;
      channel.send({ id: reply.id, error: "the reply is too large" });
    }
  }

  server.on("upgrade", handleUpgrade);
  return {
    close: () => channels.forEach((channel) => channel.close()),
  };
}

/** The connection is authorized as a whole, when it is opened. */
const PEER_CONTEXT = { isPeer: true };

function callProcedure(
  router: AnyTRPCRouter,
  { type, path, input }: CallFrame,
  { signal }: AbortController,
): Promise<unknown> {
  return callTRPCProcedure({
    router,
    path,
    type,
    ctx: PEER_CONTEXT,
    getRawInput: () => Promise.resolve(input),
    signal,
    batchIndex: 0,
  });
}

/**
 * Serves a request that offers another protocol as if it didn't. A server that
 * listens for upgrades gets no request event for it, so that the connection
 * is passed to the server again, without the offer.
 */
function serveWithoutUpgrade(
  server: Server,
  { request, socket, head }: UpgradeRequest,
): void {
  const { method, url, httpVersion, rawHeaders } = request;
  const lines = [`${method} ${url} HTTP/${httpVersion}`];
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const [name, value] = rawHeaders.slice(at, at + 2);
    if (name!.toLowerCase() !== "upgrade") lines.push(`${name}: ${value}`);
  }
  // Node.js decodes the head of a request as Latin-1.
  const start = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
  // The server adds its own listener again.
  socket.removeAllListeners("timeout");
  socket.unshift(Buffer.concat([start, head]));
  server.emit("connection", socket);
}

function refuseUpgrade(socket: Duplex, status: string): void {
  socket.on("error", () => socket.destroy());
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    () => socket.destroy(),
  );
}
