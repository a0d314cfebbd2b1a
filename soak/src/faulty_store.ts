/**
 * A store that answers reads with too much, in front of a sound one.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { PATH } from "../../platform/src/wire_names.ts";
import { createManyValues } from "./faulty_peer.ts";
import type { SoakServer } from "./soak_server.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";

/** What the store answers. */
export type StoreFault =
  /** Pages of a snapshot whose values take far more memory than their text. */
  | "many_values"
  /** Pages of a snapshot, each followed by another. */
  | "endless_pages"
  /** The smallest records, as many as an answer may hold. */
  | "many_records"
  /** Records without content. */
  | "empty_records";

/** All faults. */
export const STORE_FAULTS: readonly StoreFault[] = [
  "many_values",
  "endless_pages",
  "many_records",
  "empty_records",
];

/** A running store. */
export interface FaultyStore extends SoakServer {
  /** Faulty answers so far. */
  readonly faultyCount: number;
  /** Without a fault it answers like the sound store. */
  setFault(fault: StoreFault | undefined): void;
}

const ANSWER_BYTES = 8_300_000;
const PAGE_ITEMS = 500;
const VALUE = Buffer.alloc(1_000, "v").toString("base64");
const READ_HEAD = Buffer.alloc(16);
const STATUS_EXPIRED = 410;

/** Repeats one record up to the size of an answer. */
function createRecords(record: readonly number[]): Buffer {
  const count = Math.floor(ANSWER_BYTES / record.length);
  return Buffer.concat([
    READ_HEAD,
    Buffer.alloc(count * record.length, Buffer.from(record)),
  ]);
}

/** The keys rise from page to page, as those of a sound store do. */
function createPage(number: number): string {
  const items = Array.from({ length: PAGE_ITEMS }, (_item, index) => ({
    key: `${String(number).padStart(9, "0")}-${String(index).padStart(3, "0")}`,
    value: VALUE,
    offset: 1,
  }));
  return JSON.stringify({ items, hasMore: true, end: 1 });
}

/** Starts a store in front of a sound one. */
export async function startFaultyStore(sound: string): Promise<FaultyStore> {
  let fault: StoreFault | undefined;
  let faultyCount = 0;
  const manyValues = `{"items":${createManyValues()},"hasMore":false,"end":1}`;
  const manyRecords = createRecords([0, 0, 0, 4, 2, 97, 98, 99]);
  const emptyRecords = createRecords([0, 0, 0, 0]);

  /** Returns undefined for calls that the sound store answers. */
  function createFaultyAnswer(
    path: string,
  ): { status: number; body: string | Buffer } | undefined {
    const isSnapshot = path.startsWith(PATH.logNewest);
    if (fault === undefined || path.startsWith(PATH.logAppend)) {
      return undefined;
    }
    faultyCount++;
    switch (fault) {
      case "many_values":
        return isSnapshot
          ? { status: 200, body: manyValues }
          : { status: STATUS_EXPIRED, body: "{}" };
      case "endless_pages":
        return isSnapshot
          ? { status: 200, body: createPage(faultyCount) }
          : { status: STATUS_EXPIRED, body: "{}" };
      case "many_records":
        return isSnapshot ? undefined : { status: 200, body: manyRecords };
      case "empty_records":
        return isSnapshot ? undefined : { status: 200, body: emptyRecords };
    }
  }

  async function forward(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readCompleteBody(request);
    const reply = await fetch(`http://${sound}${request.url}`, {
      method: request.method ?? "GET",
      ...(body.length > 0 ? { body } : {}),
    });
    const era = reply.headers.get("store-era") ?? "0";
    response.writeHead(reply.status, { "store-era": era });
    response.end(Buffer.from(await reply.arrayBuffer()));
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const answer = createFaultyAnswer(request.url ?? "");
    if (answer === undefined) return await forward(request, response);
    response.writeHead(answer.status, { "store-era": "0" });
    response.end(answer.body);
  }

  const server = await startSoakServer(handle);
  return {
    ...server,
    get faultyCount() {
      return faultyCount;
    },
    setFault(next) {
      fault = next;
    },
  };
}
