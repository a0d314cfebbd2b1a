/**
 * A stand-in for the platform's store: compacted topics, long polls and outages.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  decodeRecords,
  encodeRecord,
} from "../../platform/src/store_client.ts";
import { HEADER, PATH, TOPIC } from "../../platform/src/wire_names.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";

/** How the store behaves. */
export type StoreMode = "good" | "silent" | "failing" | "slow";

/** A running store. */
export interface TopicStore {
  readonly address: string;
  setMode(mode: StoreMode): void;
  /** Writes a record; without a value the key is removed. */
  put(topic: string, key: string, value: object | undefined): void;
  /** Writes a record whose value need not be JSON. */
  putText(topic: string, key: string, value: string): void;
  /**
   * Restores a copy that is `age` milliseconds old. Records that operators wrote
   * since are rewritten shortly afterwards.
   */
  restore(age: number): void;
  /** Writes a malformed record: its key length exceeds the record. */
  putUnreadable(topic: string): void;
  close(): void;
}

interface StoredRecord {
  /** Encoded as on the wire. */
  bytes: Buffer;
  key: string;
  value: string | undefined;
  writtenAt: number;
}

interface Topic {
  records: StoredRecord[];
  newest: Map<string, string>;
  waiting: Set<() => void>;
}

const SLOW_MS = 300;
/** Delay after which operators rewrite records lost in a restore. */
const REWRITE_MS = 500;
const HEAD_BYTES = 16;
/** Records of other topics have no keys; an append is one record here. */
const KEYED_PREFIX = "keyed.";
/** Two bytes of content, the first of which gives a key length of nine. */
const UNREADABLE_RECORD = Buffer.from([0, 0, 0, 2, 9, 1]);

/** Starts an empty store. */
export async function startTopicStore(): Promise<TopicStore> {
  const topics = new Map<string, Topic>();
  let mode: StoreMode = "good";
  let era = 0;

  function findTopic(name: string): Topic {
    const known = topics.get(name) ??
      { records: [], newest: new Map<string, string>(), waiting: new Set() };
    topics.set(name, known);
    return known;
  }

  function write(name: string, key: string, value: string | undefined): void {
    const topic = findTopic(name);
    append(topic, {
      bytes: encodeRecord({ key, value }),
      key,
      value,
      writtenAt: Date.now(),
    });
  }

  function append(topic: Topic, record: StoredRecord): void {
    topic.records.push(record);
    applyRecord(topic, record);
    notifyWaiting(topic);
  }

  function notifyWaiting({ waiting }: Topic): void {
    for (const wake of [...waiting]) wake();
  }

  function applyRecord({ newest }: Topic, { key, value }: StoredRecord): void {
    if (value === undefined) newest.delete(key);
    else newest.set(key, value);
  }

  function restoreCopy(age: number): void {
    era++;
    const copiedAt = Date.now() - age;
    for (const [name, topic] of topics) {
      const lost = topic.records.filter(({ writtenAt }) =>
        writtenAt > copiedAt
      );
      topic.records = topic.records.slice(
        0,
        topic.records.length - lost.length,
      );
      topic.newest.clear();
      topic.records.forEach((record) => applyRecord(topic, record));
      notifyWaiting(topic);
      if (name === TOPIC.operators) scheduleRewrite(name, lost);
    }
  }

  /** Rewrites lost records, except those whose key has a newer record. */
  function scheduleRewrite(name: string, lost: readonly StoredRecord[]): void {
    const restoredAt = Date.now();
    setTimeout(() => {
      const newer = findTopic(name).records
        .filter(({ writtenAt }) => writtenAt >= restoredAt);
      const keys = new Set(newer.map(({ key }) => key));
      lost.filter(({ key }) => !keys.has(key))
        .forEach(({ key, value }) => write(name, key, value));
    }, REWRITE_MS);
  }

  /** Set when the response is sent, because the era may change during a long poll. */
  function setEraHeader(response: ServerResponse): void {
    response.setHeader(HEADER.storeEra, String(era));
  }

  function sendSnapshot(topic: Topic, response: ServerResponse): void {
    const items = [...topic.newest].map(([key, value], offset) => ({
      key,
      value: Buffer.from(value).toString("base64"),
      offset,
    }));
    const end = topic.records.length;
    setEraHeader(response);
    response.end(JSON.stringify({ items, hasMore: false, end }));
  }

  async function sendRecords(
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
    setEraHeader(response);
    if (from > topic.records.length) {
      return void response.writeHead(410).end("{}");
    }
    const records = topic.records.slice(from).map(({ bytes }) => bytes);
    const head = Buffer.alloc(HEAD_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    response.end(Buffer.concat([head, ...records]));
  }

  async function handleAppend(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const appended = await readCompleteBody(request);
    if (!name.startsWith(KEYED_PREFIX)) {
      append(findTopic(name), {
        bytes: appended,
        key: "",
        value: undefined,
        writtenAt: Date.now(),
      });
      setEraHeader(response);
      return void response.end("{}");
    }
    const encoded = Buffer.concat([Buffer.alloc(HEAD_BYTES), appended]);
    const records = decodeRecords(encoded) ?? [];
    records.forEach(({ key, value }) => write(name, key, value));
    const end = findTopic(name).records.length;
    setEraHeader(response);
    response.end(JSON.stringify({ offset: end - records.length, end }));
  }

  async function handle(
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
      return sendSnapshot(findTopic(name), response);
    }
    if (url.pathname === PATH.logRead) {
      const read = (field: string) => Number(url.searchParams.get(field) ?? 0);
      // Like the platform, accepts only whole milliseconds and otherwise does not wait.
      const requestedWait = read("waitMs");
      const wait = Number.isInteger(requestedWait) ? requestedWait : 0;
      const range = { from: read("from"), wait };
      return await sendRecords(findTopic(name), range, response);
    }
    await handleAppend(name, request, response);
  }

  const server = await startSoakServer(handle);

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
    putText: write,
    restore: restoreCopy,
    putUnreadable: (topic) =>
      append(findTopic(topic), {
        bytes: UNREADABLE_RECORD,
        key: "",
        value: undefined,
        writtenAt: Date.now(),
      }),
    close: server.close,
  };
}
