/**
 * A stand-in of the platform's store: keyed topics, long polls, and outages.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  decodeRecords,
  encodeRecord,
} from "../../platform/src/store_client.ts";
import { PATH } from "../../platform/src/wire_names.ts";
import { readWholeBody, startSoakServer } from "./soak_server.ts";

/** How the store behaves. */
export type StoreMode = "good" | "silent" | "failing" | "slow";

/** A running store. */
export interface KeyedStore {
  readonly address: string;
  setMode(mode: StoreMode): void;
  /** Writes a record; without a value the key is dropped. */
  put(topic: string, key: string, value: object | undefined): void;
  /** Writes a record whose key says that it is longer than the record. */
  putUnreadable(topic: string): void;
  close(): void;
}

interface Topic {
  /** As they go over the wire. */
  records: Buffer[];
  newest: Map<string, string>;
  waiting: Set<() => void>;
}

const SLOW_MS = 300;
const HEAD_BYTES = 16;
/** Two bytes of content, of which the first says that the key has nine. */
const UNREADABLE_RECORD = Buffer.from([0, 0, 0, 2, 9, 1]);

/** Starts an empty store. */
export async function startKeyedStore(): Promise<KeyedStore> {
  const topics = new Map<string, Topic>();
  let mode: StoreMode = "good";

  function findTopic(name: string): Topic {
    const known = topics.get(name) ??
      { records: [], newest: new Map<string, string>(), waiting: new Set() };
    topics.set(name, known);
    return known;
  }

  function write(name: string, key: string, value: string | undefined): void {
    const topic = findTopic(name);
    append(topic, encodeRecord({ key, value }));
    if (value === undefined) topic.newest.delete(key);
    else topic.newest.set(key, value);
  }

  function append(topic: Topic, record: Buffer): void {
    topic.records.push(record);
    for (const wake of [...topic.waiting]) wake();
  }

  function sendNewest(topic: Topic, response: ServerResponse): void {
    const items = [...topic.newest].map(([key, value], offset) => ({
      key,
      value: Buffer.from(value).toString("base64"),
      offset,
    }));
    const end = topic.records.length;
    response.end(JSON.stringify({ items, hasMore: false, end }));
  }

  async function sendFrom(
    topic: Topic,
    { from, wait }: { from: number; wait: number },
    response: ServerResponse,
  ): Promise<void> {
    if (from >= topic.records.length && wait > 0) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, wait);
        topic.waiting.add(wake);
      });
    }
    const records = topic.records.slice(from);
    response.end(Buffer.concat([Buffer.alloc(HEAD_BYTES), ...records]));
  }

  async function takeAppend(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const appended = await readWholeBody(request);
    const reading = Buffer.concat([Buffer.alloc(HEAD_BYTES), appended]);
    const records = decodeRecords(reading) ?? [];
    records.forEach(({ key, value }) => write(name, key, value));
    const end = findTopic(name).records.length;
    response.end(JSON.stringify({ offset: end - records.length, end }));
  }

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (mode === "silent") return;
    if (mode === "failing") return void response.writeHead(503).end();
    if (mode === "slow") {
      await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    }
    const url = new URL(request.url ?? "", "http://store");
    const name = url.searchParams.get("topic") ?? "";
    if (url.pathname === PATH.logNewest) {
      return sendNewest(findTopic(name), response);
    }
    if (url.pathname === PATH.logRead) {
      const read = (field: string) => Number(url.searchParams.get(field) ?? 0);
      const question = { from: read("from"), wait: read("waitMs") };
      return await sendFrom(findTopic(name), question, response);
    }
    await takeAppend(name, request, response);
  }

  const server = await startSoakServer(answer);

  return {
    address: server.address,
    setMode(next) {
      mode = next;
    },
    put: (topic, key, value) =>
      write(
        topic,
        key,
        value === undefined ? undefined : JSON.stringify(value),
      ),
    putUnreadable: (topic) => append(findTopic(topic), UNREADABLE_RECORD),
    close: server.close,
  };
}
