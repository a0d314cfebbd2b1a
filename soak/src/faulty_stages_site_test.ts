import { mkdtempSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { request } from "undici";
import {
  CONFIG_KEY,
  HEADER,
  PATH,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import { createCallHeaders, STAGE_HEADERS } from "./entry_call.ts";
import { ENDLESS_SHAPES, writeEndless } from "./endless_answers.ts";
import { LOOPBACK_HOST } from "./loopback_host.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import { formatResults } from "./stage_results.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_MS = 15_000;
const SETTLE_MS = 1_500;
const CALLS = 24;
const DEADLINE_MS = 3_000;
/** Answers may come this much later than their deadline. */
const LATE_MS = 500;
const MAX_MEMORY_MB = 250;
const REPLY_BYTES = 4_190_000;

type Serve = (socket: Socket, received: string) => void;

function createReply(item: string, bytes: number): string {
  const count = Math.floor(bytes / (item.length + 1));
  return `{"items":[${`${item},`.repeat(count)}${item}]}`;
}

/** Replies to a call that runs pieces. */
const RUN_REPLIES: Readonly<Record<string, string>> = {
  "the smallest values": createReply("{}", REPLY_BYTES),
  "values inside each other": "[".repeat(REPLY_BYTES / 2) +
    "]".repeat(REPLY_BYTES / 2),
  "invalid items": createReply("{}", REPLY_BYTES / 12),
  "far too many items": createReply('{"handle":"x"}', REPLY_BYTES / 2),
};

/** Guards against replies of stage endpoints that take a process's memory. */
describe("an entry whose stage endpoints reply too much", function () {
  this.timeout(60_000);
  let store: TopicStore;
  let entry: ProgramProcess;
  let serveRun: Serve = sendHandles;
  let serveFree: Serve = (socket) => sendBody(socket, "{}");
  let freed = 0;
  const servers: Server[] = [];
  const sockets = new Set<Socket>();

  function sendBody(socket: Socket, body: string, headers = ""): void {
    socket.end(
      `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n` +
        body,
    );
  }

  function sendHandles(socket: Socket, received: string): void {
    sendBody(socket, formatResults(socket, received));
  }

  function sendAnswer(socket: Socket, received: string): void {
    const id = new RegExp(`${HEADER.requestId}: (\\S+)`, "i").exec(received);
    sendBody(
      socket,
      "id: 1\ndata: x\n\n",
      `${HEADER.requestId}: ${id?.[1]}\r\n${HEADER.proof}: proof\r\n`,
    );
  }

  async function startEndpoint(pool: string, number: number): Promise<void> {
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (data) => {
        const received = String(data);
        if (received.startsWith(`POST ${PATH.stageFree}`)) {
          freed++;
          return serveFree(socket, received);
        }
        const isRun = received.startsWith(`POST ${PATH.stageRun}`);
        return isRun
          ? serveRun(socket, received)
          : sendAnswer(socket, received);
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, LOOPBACK_HOST, () => resolve())
    );
    store.put(TOPIC.endpoints, `i-${pool}-${number}`, {
      service: pool,
      address: readServerAddress(server),
      zone: "z",
      state: "ready",
      born: 1,
    });
  }

  beforeEach(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    for (const pool of ["stage", "engine"]) {
      for (const number of [0, 1]) await startEndpoint(pool, number);
    }
    freed = 0;
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-stages-")),
    });
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
  });

  afterEach(() => {
    entry.kill();
    sockets.forEach((socket) => socket.destroy());
    servers.splice(0).forEach((server) => server.close());
    store.close();
  });

  let count = 0;
  async function call(): Promise<number> {
    const id = `r-${count++}`;
    const reply = await request(`http://${entry.ports.callers}/draft/${id}`, {
      method: "POST",
      body: "question",
      headers: { ...createCallHeaders(id, DEADLINE_MS), ...STAGE_HEADERS },
    });
    await reply.body.dump();
    return reply.statusCode;
  }

  async function callMany(): Promise<(number | undefined)[]> {
    const calls = Array.from(
      { length: CALLS },
      () => call().catch(() => undefined),
    );
    return await Promise.all(calls);
  }

  async function checkLives(): Promise<void> {
    await sleep(SETTLE_MS);
    expect(entry.isAlive(), entry.readLog().slice(-700)).to.equal(true);
    expect(entry.readPeakMemory()).to.be.within(1, MAX_MEMORY_MB);
  }

  for (const [name, body] of Object.entries(RUN_REPLIES)) {
    it(`lives: ${name}`, async () => {
      serveFree = (socket) => sendBody(socket, "{}");
      serveRun = (socket) => sendBody(socket, body);
      const sentAt = Date.now();
      expect(await callMany()).not.to.include(200);
      expect(Date.now() - sentAt).to.be.below(DEADLINE_MS + LATE_MS);
      await checkLives();
    });
  }

  for (const shape of ENDLESS_SHAPES) {
    it(`lives while results are released: ${shape}`, async () => {
      serveRun = sendHandles;
      serveFree = (socket) => void writeEndless(socket, { shape, headers: "" });
      expect(await callMany()).to.include(200);
      await checkLives();
      expect(freed).to.be.greaterThan(0);
    });
  }
});
