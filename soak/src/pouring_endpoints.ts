/**
 * A process of endpoints that pour answers without end, apart from the process of
 * the test, whose callers must not wait for it:
 * node --import tsx soak/src/pouring_endpoints.ts COUNT. Its parent sends the
 * form and the status; it sends the addresses and, when asked, its counts.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { createServer } from "node:net";
import process from "node:process";
import { readServerAddress } from "@mangoreach/shared";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { PouringForm, PouringFormName } from "./pouring_forms.ts";
import { ALL_FORMS } from "./pouring_forms.ts";

/** What the parent sends. */
export interface PouringOrder {
  form: PouringFormName;
  status: number;
}

/** What the process sends. */
export type PouringMessage =
  | { kind: "listening"; addresses: readonly string[] }
  | { kind: "ordered"; poured: number };

const WRITE_BYTES = 65_536;
/** Writes that are made before others have their turn. */
const SPACED_WRITES = 64;
const REQUEST_ID = new RegExp(`${HEADER.requestId}: (\\S+)`, "i");
const POURING_TIME_MS = 8_000;

let order: PouringOrder = { form: "a body without a length", status: 200 };
/** Answers since the last order. */
let poured = 0;

function formatHead(form: PouringForm, id: string): string {
  const { headers, hasBody, first } = form;
  const lines = [
    `HTTP/1.1 ${order.status} Any`,
    `${HEADER.requestId}: ${id}`,
    `${HEADER.proof}: proof`,
    ...headers,
    "",
  ];
  const isProvisional = !hasBody && first === "";
  if (isProvisional) return "";
  return lines.join("\r\n") + (hasBody ? "\r\n" : "") + first;
}

function computeBlockCount({ repeated }: PouringForm): number {
  return Math.ceil(WRITE_BYTES / repeated.length);
}

function sendEndless(socket: Socket, received: string): void {
  const form: PouringForm = ALL_FORMS[order.form];
  const id = REQUEST_ID.exec(received)?.[1] ?? "";
  const count = form.isSpaced === true
    ? 1
    : Math.min(form.count ?? Infinity, computeBlockCount(form));
  let left = form.count ?? Infinity;
  const block = Buffer.from(form.repeated.repeat(count), "latin1");
  const until = Date.now() + POURING_TIME_MS;
  poured++;
  socket.setNoDelay(true);
  socket.write(formatHead(form, id), "latin1");

  function writeNext(): void {
    if (socket.destroyed) return;
    if (Date.now() > until) return void socket.destroy();
    const writes = form.isSpaced === true ? SPACED_WRITES : 1;
    for (let made = 0; made < writes; made++) {
      if (left < count) {
        const rest = form.repeated.repeat(left) + (form.last ?? "");
        return void socket.end(rest, "latin1");
      }
      left -= count;
      if (!socket.write(block)) return void socket.once("drain", writeNext);
    }
    setImmediate(writeNext);
  }

  writeNext();
}

function startEndpoint(): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (data) => sendEndless(socket, String(data)));
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(readServerAddress(server)))
  );
}

function sendMessage(message: PouringMessage): void {
  process.send?.(message);
}

process.on("message", (next: PouringOrder) => {
  order = next;
  sendMessage({ kind: "ordered", poured });
  poured = 0;
});
process.once("disconnect", () => process.exit());
const count = Number(process.argv[2]);
const addresses = await Promise.all(
  Array.from({ length: count }, startEndpoint),
);
sendMessage({ kind: "listening", addresses });
