/**
 * A process of endpoints that pour answers without end, apart from the process of
 * the test, whose callers must not wait for it:
 * node --import tsx soak/src/pouring_endpoints.ts COUNT. Its parent sends the
 * form and the status; it sends the addresses and, when asked, its counts.
 *
 * @module
 */
import type { Socket } from "node:net";
import { createServer } from "node:net";
import process from "node:process";
import { readServerAddress } from "@mangoreach/shared";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { PouringForm, PouringFormName } from "./pouring_forms.ts";
import { ALL_FORMS, createPouringBlock } from "./pouring_forms.ts";

/** What the parent sends. */
export interface PouringOrder {
  form: PouringFormName;
  status: number;
  /** Index of the endpoint that it is for; for all if left out. */
  endpoint?: number;
}

/** What the process sends. */
export type PouringMessage =
  | { kind: "listening"; addresses: readonly string[] }
  | { kind: "ordered"; poured: number };

/** Writes that are made before others have their turn. */
const SPACED_WRITES = 64;
const REQUEST_ID = new RegExp(`${HEADER.requestId}: (\\S+)`, "i");
const POURING_TIME_MS = 8_000;

let order: PouringOrder = { form: "a body without a length", status: 200 };
/** Orders of single endpoints. */
const ownOrders = new Map<number, PouringOrder>();
/** Answers since the last order. */
let poured = 0;

function formatHead(form: PouringForm, status: number, id: string): string {
  const { headers, hasBody, first } = form;
  const lines = [
    `HTTP/1.1 ${status} Any`,
    `${HEADER.requestId}: ${id}`,
    `${HEADER.proof}: proof`,
    ...headers,
    "",
  ];
  const isProvisional = !hasBody && first === "";
  if (isProvisional) return "";
  return lines.join("\r\n") + (hasBody ? "\r\n" : "") + first;
}

function sendEndless(
  socket: Socket,
  received: string,
  { form: name, status }: PouringOrder,
): void {
  const form: PouringForm = ALL_FORMS[name];
  const id = REQUEST_ID.exec(received)?.[1] ?? "";
  const { block, count } = createPouringBlock(form);
  let left = form.count ?? Infinity;
  const until = Date.now() + POURING_TIME_MS;
  poured++;
  socket.setNoDelay(true);
  socket.write(formatHead(form, status, id), "latin1");

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

function startEndpoint(index: number): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once(
      "data",
      (data) =>
        sendEndless(socket, String(data), ownOrders.get(index) ?? order),
    );
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(readServerAddress(server)))
  );
}

function sendMessage(message: PouringMessage): void {
  process.send?.(message);
}

process.on("message", (next: PouringOrder) => {
  if (next.endpoint === undefined) {
    order = next;
    ownOrders.clear();
  } else ownOrders.set(next.endpoint, next);
  sendMessage({ kind: "ordered", poured });
  poured = 0;
});
process.once("disconnect", () => process.exit());
const count = Number(process.argv[2]);
const addresses = await Promise.all(
  Array.from({ length: count }, (_, index) => startEndpoint(index)),
);
sendMessage({ kind: "listening", addresses });
