/**
 * A peer that answers calls with bytes that are no reply, or are too many.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import { LOOPBACK_HOST } from "./loopback_host.ts";

/** What the peer sends. */
export type PeerFault =
  /** Refuses the upgrade; the body of its refusal has no end. */
  | "endless_refusal"
  /** Refuses the upgrade; answers calls over HTTP with an endless body. */
  | "endless_http_reply"
  /** Provisional answers to the upgrade. */
  | "endless_provisional"
  /** Header fields of the answer to the upgrade. */
  | "endless_head"
  /** Replies to calls that were not made, of the largest size. */
  | "endless_replies"
  /** One frame that is never complete. */
  | "unfinished_frame"
  /** Replies whose values take far more memory than their text. */
  | "many_values"
  /** Replies with values inside each other. */
  | "deep_values"
  /** Records of a topic, none of which is valid. */
  | "invalid_records";

/** All faults. */
export const PEER_FAULTS: readonly PeerFault[] = [
  "endless_refusal",
  "endless_http_reply",
  "endless_provisional",
  "endless_head",
  "endless_replies",
  "unfinished_frame",
  "many_values",
  "deep_values",
  "invalid_records",
];

/** A running peer. */
export interface FaultyPeer {
  /** `ip:port`. */
  readonly address: string;
  /** Connections that it has accepted. */
  readonly accepted: number;
  close(): void;
}

const FRAME_BYTES = 8_388_608;
const LENGTH_BYTES = 4;
const INVALID_RECORDS = 115_000;
const BLOCK = Buffer.alloc(65_536, "x");
const FIELD = Buffer.from("x-filler: 0123456789\r\n");
const PROVISIONAL = Buffer.from("HTTP/1.1 103 Early Hints\r\n\r\n");
const REFUSAL = "HTTP/1.1 404 Not Found\r\n";
const UPGRADED = "HTTP/1.1 101 Switching Protocols\r\n" +
  "connection: Upgrade\r\nupgrade: mangoreach-peer\r\n\r\n";
const CALL_ID = /"id":(\d+)/g;

/** Creates text of about the largest size of a frame. */
function createFiller(value: string): string {
  return value.repeat(Math.floor((FRAME_BYTES - 1_000) / value.length));
}

/** Creates a frame around text. */
export function createFrame(text: string): Buffer {
  const frame = Buffer.alloc(LENGTH_BYTES + Buffer.byteLength(text));
  frame.writeUInt32BE(frame.length - LENGTH_BYTES);
  frame.write(text, LENGTH_BYTES);
  return frame;
}

/** Text of many small values, which take the most memory of all. */
export function createManyValues(): string {
  return `[${createFiller("{},")}{}]`;
}

/** Text of values inside each other. */
export function createDeepValues(): string {
  const depth = FRAME_BYTES / 2 - 1_000;
  return "[".repeat(depth) + "]".repeat(depth);
}

/** A reply that is far smaller than it may be. */
function createInvalidRecords(): string {
  const records = `${"{},".repeat(INVALID_RECORDS)}{}`;
  return `[{"kind":"records","records":[${records}],` +
    `"next":{"era":0,"offset":0},"age":0}]`;
}

/** Writes the block again and again until the connection is closed. */
function writeOnAndOn(socket: Socket, block: Buffer): void {
  if (socket.destroyed) return;
  if (socket.write(block)) setImmediate(() => writeOnAndOn(socket, block));
  else socket.once("drain", () => writeOnAndOn(socket, block));
}

async function answerCalls(socket: Socket, values: string): Promise<void> {
  socket.write(UPGRADED);
  for await (const data of socket as AsyncIterable<Buffer>) {
    for (const [, id] of String(data).matchAll(CALL_ID)) {
      socket.write(createFrame(`{"id":${id},"data":${values}}`));
      await sleep(0);
    }
  }
}

function serveConnection(
  socket: Socket,
  { fault, isUpgrade }: { fault: PeerFault; isUpgrade: boolean },
): void {
  switch (fault) {
    case "endless_refusal":
      socket.write(`${REFUSAL}\r\n`);
      return writeOnAndOn(socket, BLOCK);
    case "endless_http_reply":
      if (isUpgrade) {
        return void socket.end(`${REFUSAL}content-length: 0\r\n\r\n`);
      }
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      return writeOnAndOn(socket, BLOCK);
    case "endless_provisional":
      return writeOnAndOn(socket, PROVISIONAL);
    case "endless_head":
      socket.write(REFUSAL);
      return writeOnAndOn(socket, FIELD);
    case "endless_replies":
      socket.write(UPGRADED);
      return writeOnAndOn(
        socket,
        createFrame(`{"id":9999999,"data":"${createFiller("x")}"}`),
      );
    case "unfinished_frame":
      socket.write(UPGRADED);
      return void socket.write(
        createFrame(createFiller("x")).subarray(0, FRAME_BYTES - 2_000),
      );
    case "many_values":
      return void answerCalls(socket, createManyValues()).catch(() => {});
    case "deep_values":
      return void answerCalls(socket, createDeepValues()).catch(() => {});
    case "invalid_records":
      return void answerCalls(socket, createInvalidRecords()).catch(() => {});
  }
}

/** Starts a peer. */
export async function startFaultyPeer(fault: PeerFault): Promise<FaultyPeer> {
  const sockets = new Set<Socket>();
  let accepted = 0;
  const server = createServer((socket) => {
    accepted++;
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", (data) => {
      const isUpgrade = /^upgrade:/im.test(String(data));
      serveConnection(socket, { fault, isUpgrade });
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK_HOST, () => resolve())
  );
  return {
    address: readServerAddress(server),
    get accepted() {
      return accepted;
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
