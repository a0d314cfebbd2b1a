/**
 * A site whose endpoints answer with raw bytes and then end in a given way, and
 * a caller that reads raw bytes, so that the framing on both sides is visible.
 *
 * @module
 */
import { mkdtempSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import {
  CONFIG_KEY,
  HEADER,
  PATH,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import { startInProcessEntries } from "./in_process_entries.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import { formatResults } from "./stage_results.ts";
import { startTopicStore } from "./topic_store.ts";

/** What an endpoint does after the last byte of an answer. */
export type EndpointEnd =
  /** It closes the connection and serves on. */
  | "closes"
  /** It resets the connection and serves on. */
  | "resets"
  /** The same, `resetDelayMs` later. */
  | "resets_soon"
  /** Its process ends, which closes all connections in an orderly way. */
  | "crashes"
  /** The same, after it announced that it leaves. */
  | "leaves"
  /** It keeps the connection. */
  | "keeps";

/** An answer of the endpoints; its text is written in latin1. */
export interface ScriptedAnswer {
  /** A success if left out. */
  statusLine?: string;
  /** Lines of the head besides status, id and proof. */
  head: readonly string[];
  body: string;
  /**
   * How many bytes of the answer are sent, all if left out; if negative, how many
   * of its last are not.
   */
  sentBytes?: number;
  /** Whether it is sent before the request's body is read, which never is. */
  isEarly?: boolean;
  /**
   * Whether calls of stages get it, with the results as the body, and requests
   * a sound one.
   */
  isForStages?: boolean;
  end: EndpointEnd;
  /** Of `resets_soon`; a millisecond if left out. */
  resetDelayMs?: number;
}

/** What a caller received. */
export interface ReceivedAnswer {
  status: number;
  body: string;
  /** What tells the caller that the answer is whole; "none" if nothing does. */
  proof: "length" | "chunks" | "connection" | "none";
  /** From the endpoint's last byte to the end of the answer. */
  endedAfterMs: number;
}

/** What a caller sends. */
export interface SentRequest {
  /** Further lines of the head. */
  head?: readonly string[];
  /** Size of the body in bytes. */
  uploadBytes?: number;
}

/** A running site. */
export interface AnswerEndsSite {
  /** Sends a request on a route whose endpoints all give this answer. */
  call(
    route: string,
    answer: ScriptedAnswer,
    options?: SentRequest,
  ): Promise<ReceivedAnswer>;
  /** Requests that reached endpoints since the last call of this function. */
  countArrivals(): number;
  /** Returns the lines of a metric that have values. */
  readMetric(name: string): Promise<string[]>;
  /** Whether the entry's process has neither exited nor been ended. */
  isAlive(): boolean;
  stop(): void;
}

const ENDPOINTS_PER_POOL = 5;
const POOLS = ["plain", "chat", "stage", "engine"];
const SOUND_REPLY: ScriptedAnswer = { head: [], body: "", end: "closes" };
const SOUND_ANSWER: ScriptedAnswer = {
  head: ["Content-Type: text/event-stream", "Content-Length: 7"],
  body: "id: 1\n\n",
  end: "closes",
};
/** Time from the announcement of an endpoint that leaves to its end. */
const LEAVING_MS = 1_200;
/** Time from the end of an endpoint to the start of its successor. */
const RESTART_MS = 250;
/** Time in which the entry learns of the successor. */
const LEARNING_MS = 1_000;
/** The bytes before a reset have arrived by then, the upload has not. */
const RESET_DELAY_MS = 1;
const START_MS = 15_000;
const MAX_UPLOAD_BYTES = 8_388_608;
const LAST_CHUNK = "0\r\n\r\n";

/** The entry of a site. */
interface SiteEntry {
  callers: string;
  metrics: string;
  isAlive(): boolean;
  kill(): void;
}

async function startEntryInProcess(store: string): Promise<SiteEntry> {
  const entries = await startInProcessEntries({ count: 1, store });
  return {
    callers: entries.callers[0]!,
    metrics: entries.metrics[0]!,
    isAlive: () => true,
    kill: () => entries.kill(),
  };
}

async function startEntryProcess(store: string): Promise<SiteEntry> {
  const program = await startProgram({
    name: "entry-0",
    store,
    folder: mkdtempSync(join(tmpdir(), "mangoreach-ends-")),
  });
  const isReady = await program.waitUntilReady(START_MS);
  if (!isReady) throw new Error(`not ready: ${program.readLog()}`);
  return { ...program, ...program.ports };
}

/**
 * Starts a site with one entry, in this process or as one of its own, with the
 * command of the deploy file.
 */
export async function startAnswerEndsSite(
  { isProcess = false }: { isProcess?: boolean } = {},
): Promise<AnswerEndsSite> {
  const store = await startTopicStore();
  const config = createSoakConfig(1, { isRevoked: false });
  store.put(TOPIC.operators, CONFIG_KEY, {
    ...config,
    limits: { ...config.limits, maxBodyBytes: MAX_UPLOAD_BYTES },
  });
  const servers = new Set<Server>();
  const sockets = new Set<Socket>();
  let answer: ScriptedAnswer = { head: [], body: "", end: "keeps" };
  let endpointCount = 0;
  let requestCount = 0;
  let arrivals = 0;
  let answeredAt = 0;
  let isStopped = false;

  async function startEndpoint(pool: string): Promise<void> {
    const id = `i-${endpointCount++}`;
    const own = new Set<Socket>();
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      own.add(socket);
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("data", (data) => {
        const request = String(data);
        const isRelease = request.startsWith(`POST ${PATH.stageFree}`);
        if (!isRelease) arrivals++;
        const scripted = chooseAnswer(answer, { socket, request });
        const { end, isEarly = false, resetDelayMs = RESET_DELAY_MS } =
          scripted;
        if (isEarly) socket.pause();
        socket.write(formatAnswer(scripted, request), "latin1", () => {
          answeredAt = Date.now();
          if (end === "closes") socket.end();
          else if (end === "resets") socket.resetAndDestroy();
          else if (end === "resets_soon") {
            setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
          } else if (end !== "keeps") void endProcess();
        });
      });
    });
    servers.add(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const address = readServerAddress(server);
    publish("ready");

    function publish(state: "ready" | "draining"): void {
      store.put(TOPIC.endpoints, id, {
        service: pool,
        address,
        zone: "z",
        version: "1",
        state,
        born: 1,
      });
    }

    async function endProcess(): Promise<void> {
      if (answer.end === "leaves") {
        publish("draining");
        await sleep(LEAVING_MS);
        answeredAt = Date.now();
      }
      server.close();
      own.forEach((socket) => socket.end());
      await sleep(RESTART_MS);
      store.put(TOPIC.endpoints, id, undefined);
      if (!isStopped) await startEndpoint(pool);
    }
  }

  const started = POOLS.flatMap((pool) =>
    Array.from({ length: ENDPOINTS_PER_POOL }, () => startEndpoint(pool))
  );
  await Promise.all(started);
  const entry = isProcess
    ? await startEntryProcess(store.address)
    : await startEntryInProcess(store.address);

  return {
    async call(route, scripted, options = {}) {
      answer = scripted;
      const id = `r-${requestCount++}`;
      const received = await callRaw(entry.callers, {
        route,
        id,
        ...options,
      });
      const endedAfterMs = Date.now() - answeredAt;
      const hasEnded = ["crashes", "leaves"].includes(scripted.end);
      if (hasEnded) await sleep(RESTART_MS + LEARNING_MS);
      return { ...received, endedAfterMs };
    },
    countArrivals() {
      const count = arrivals;
      arrivals = 0;
      return count;
    },
    async readMetric(name) {
      const reply = await fetch(`http://${entry.metrics}/metrics`);
      const lines = (await reply.text()).split("\n");
      return lines.filter((line) => line.startsWith(name));
    },
    isAlive: () => entry.isAlive(),
    stop() {
      isStopped = true;
      entry.kill();
      sockets.forEach((socket) => socket.destroy());
      servers.forEach((server) => server.close());
      store.close();
    },
  };
}

/** Replies to calls of stages have their results as the body. */
function chooseAnswer(
  answer: ScriptedAnswer,
  { socket, request }: { socket: Socket; request: string },
): ScriptedAnswer {
  const { isForStages = false } = answer;
  if (!request.startsWith(`POST ${PATH.stageRun}`)) {
    return isForStages ? SOUND_ANSWER : answer;
  }
  const reply = isForStages ? answer : SOUND_REPLY;
  return { ...reply, body: formatResults(socket, request) };
}

function formatAnswer(
  { statusLine = "HTTP/1.1 200 OK", head, body, sentBytes }: ScriptedAnswer,
  request: string,
): string {
  const id = new RegExp(`${HEADER.requestId}: (\\S+)`, "i").exec(request)?.[1];
  return [
    statusLine,
    `${HEADER.requestId}: ${id}`,
    `${HEADER.proof}: proof`,
    ...head,
    "",
    body,
  ].join("\r\n").slice(0, sentBytes);
}

function callRaw(
  address: string,
  { route, id, head = [], uploadBytes = 0 }:
    & SentRequest
    & { route: string; id: string },
): Promise<Omit<ReceivedAnswer, "endedAfterMs">> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    let text = "";
    let isReset = false;
    const target = { host, port: Number(port), allowHalfOpen: true };
    const socket = connect(target, () =>
      socket.write([
        // Contents differ, as those that crash endpoints again are refused.
        `POST /${route}/${id} HTTP/1.1`,
        "Host: soak.example",
        "Authorization: Bearer key-1",
        `${HEADER.requestId}: ${id}`,
        `${HEADER.deadline}: 2000`,
        ...head,
        `Content-Length: ${uploadBytes}`,
        "",
        "x".repeat(uploadBytes),
      ].join("\r\n")));
    socket.on("data", (chunk) => {
      text += String(chunk);
      const { proof } = parseAnswer(text, { isClosed: false });
      if (proof !== "none") socket.destroy();
    });
    socket.on("error", () => isReset = true);
    // libuv reports a normal end if a reset arrives together with the last bytes;
    // a write fails then.
    socket.once("end", () =>
      socket.write("\r\n", (error) => {
        if (error) isReset = true;
        socket.destroy();
      }));
    socket.once(
      "close",
      () => resolve(parseAnswer(text, { isClosed: !isReset })),
    );
  });
}

function parseAnswer(
  text: string,
  { isClosed }: { isClosed: boolean },
): Omit<ReceivedAnswer, "endedAfterMs"> {
  const [head = "", ...rest] = text.split("\r\n\r\n");
  const raw = rest.join("\r\n\r\n");
  const status = Number(head.split(" ")[1] ?? 0);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (/^transfer-encoding: *chunked/im.test(head)) {
    const isWhole = raw.endsWith(LAST_CHUNK);
    const body = parseChunks(raw);
    return { status, body, proof: isWhole ? "chunks" : "none" };
  }
  const isWhole = length === undefined
    ? isClosed && text !== ""
    : raw.length === Number(length);
  const kind = length === undefined ? "connection" : "length";
  return { status, body: raw, proof: isWhole ? kind : "none" };
}

function parseChunks(raw: string): string {
  let body = "";
  let rest = raw;
  for (;;) {
    const end = rest.indexOf("\r\n");
    const size = parseInt(rest.slice(0, end), 16);
    if (end < 0 || !(size > 0)) return body;
    body += rest.slice(end + 2, end + 2 + size);
    rest = rest.slice(end + 4 + size);
  }
}
