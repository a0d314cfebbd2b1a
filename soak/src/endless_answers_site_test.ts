import { mkdtempSync, readFileSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readServerAddress } from "@mangoreach/shared";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import {
  CONFIG_KEY,
  HEADER,
  PATH,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import { createCallHeaders, STAGE_HEADERS } from "./entry_call.ts";
import type { EndlessShape } from "./endless_answers.ts";
import { ENDLESS_SHAPES, writeEndless } from "./endless_answers.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, startEntry, waitUntilReady } from "./soak_entry.ts";
import { formatResults } from "./stage_results.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const REQUEST_ID = new RegExp(`${HEADER.requestId}: (\\S+)`, "i");
const DEADLINE_MS = 6_000;
/** Long before callers give up. */
const PROMPT_MS = 3_500;
const WARM_UP = 40;
const CONCURRENT = 80;
/** More than one call of a stage endpoint takes. */
const STAGED = 12;
/** Of a machine's 350 MB; a process has some 80 MB without requests. */
const MAX_MEMORY_MB = 250;
const MEMORY_INTERVAL_MS = 50;
const SLOW_CALLERS_MS = 1_500;

/** Guards against endpoints whose bytes are no answer and have no end. */
describe("an entry whose endpoints send bytes without end", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: Entry;
  /** Without a proxy, which would read for callers that do not. */
  let callers = "";
  let shape: EndlessShape = "body";
  /** The endpoints that send such bytes; the others answer. */
  let faulty: readonly string[] = [];
  let faultyCount = 0;
  /** Times after which its connections were closed. */
  let closedAfter: number[] = [];
  const servers: Server[] = [];
  const sockets = new Set<Socket>();

  /** Writes an answer of the endpoints that are not faulty. */
  function serveAnswer(socket: Socket, received: string, headers: string) {
    const answer = received.startsWith(`POST ${PATH.stageRun}`)
      ? formatResults(socket, received)
      : "id: 1\ndata: x\n\n";
    socket.end(
      `HTTP/1.1 200 OK\r\n${headers}content-length: ${answer.length}\r\n\r\n` +
        answer,
    );
  }

  async function startEndpoint(pool: string, number: number): Promise<void> {
    const id = `i-${pool}-${number}`;
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (data) => {
        const received = String(data);
        const requestId = REQUEST_ID.exec(received)?.[1];
        const headers =
          `${HEADER.requestId}: ${requestId}\r\n${HEADER.proof}: proof\r\n`;
        if (faulty.includes(id)) serveEndless(socket, headers);
        else serveAnswer(socket, received, headers);
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    store.put(TOPIC.endpoints, id, {
      service: pool,
      address: readServerAddress(server),
      zone: "z",
      state: "ready",
      born: 1,
    });
  }

  function serveEndless(socket: Socket, headers: string): void {
    faultyCount++;
    void writeEndless(socket, { shape, headers })
      .then((after) => closedAfter.push(after));
  }

  before(async () => {
    store = await startTopicStore();
    const config = createSoakConfig(1, { isRevoked: false });
    store.put(TOPIC.operators, CONFIG_KEY, config);
    for (const pool of ["plain", "stage", "chat", "engine"]) {
      for (const number of [0, 1]) await startEndpoint(pool, number);
    }
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-endless-"));
    entry = await createEntry("entry-0", { store, folder });
    const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8"));
    callers = (settings as { callers: string }).callers;
    startEntry(entry);
    await waitUntilReady(entry);
  });

  after(() => {
    entry.child?.kill("SIGKILL");
    entry.callerProxy.close();
    entry.storeProxy.close();
    sockets.forEach((socket) => socket.destroy());
    servers.forEach((server) => server.close());
    store.close();
  });

  beforeEach(async () => {
    faulty = [];
    // Requests earn the entry retries.
    for (let request = 0; request < WARM_UP; request++) await call("plain");
    closedAfter = [];
    faultyCount = 0;
    faulty = ["i-plain-0"];
  });

  let count = 0;
  function send(route: "plain" | "once" | "draft" | "chat") {
    const id = `r-${count++}`;
    return request(
      `http://${callers}/${route}/${id}`,
      {
        method: "POST",
        body: "question",
        headers: { ...createCallHeaders(id, DEADLINE_MS), ...STAGE_HEADERS },
      },
    );
  }

  async function call(route: "plain" | "once" | "draft") {
    const sentAt = Date.now();
    const reply = await send(route);
    await reply.body.dump();
    return { status: reply.statusCode, took: Date.now() - sentAt };
  }

  for (const one of ENDLESS_SHAPES) {
    it(`serves what may be repeated elsewhere, soon: ${one}`, async () => {
      shape = one;
      const replies: Awaited<ReturnType<typeof call>>[] = [];
      while (faultyCount === 0) replies.push(await call("plain"));
      expect(replies.map(({ status }) => status))
        .to.deep.equal(replies.map(() => 200));
      expect(Math.max(...replies.map(({ took }) => took)))
        .to.be.below(PROMPT_MS);
      expect(closedAfter.length).to.equal(faultyCount);
    });
  }

  it("runs stages elsewhere, soon, whatever has no end", async () => {
    faulty = ["i-stage-0"];
    const served: Record<string, boolean> = {};
    for (const one of ENDLESS_SHAPES) {
      shape = one;
      const replies = await Promise.all(
        Array.from({ length: STAGED }, () => call("draft")),
      );
      served[one] = replies.every(({ status, took }) =>
        status === 200 && took < PROMPT_MS
      );
    }
    expect(served).to.deep.equal(
      Object.fromEntries(ENDLESS_SHAPES.map((one) => [one, true])),
    );
    expect(faultyCount).to.be.greaterThan(0);
  });

  /** Returns the most memory that the entry takes meanwhile, in MB. */
  async function measurePeak(run: () => Promise<void>): Promise<number> {
    let peak = 0;
    const watch = setInterval(() => {
      const status = readFileSync(`/proc/${entry.child?.pid}/status`, "utf8");
      const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
      peak = Math.max(peak, kilobytes / 1_024);
    }, MEMORY_INTERVAL_MS);
    await run();
    clearInterval(watch);
    return peak;
  }

  it("holds a bounded part of them, however many come at once", async () => {
    faulty = ["i-plain-0", "i-plain-1"];
    const peak = await measurePeak(async () => {
      for (const one of ["body", "chunks"] as const) {
        shape = one;
        const replies = await Promise.all(
          Array.from({ length: CONCURRENT }, () => call("once")),
        );
        expect(new Set(replies.map(({ status }) => status)))
          .to.deep.equal(new Set([502]));
      }
    });
    expect(peak).to.be.within(1, MAX_MEMORY_MB);
  });

  it("holds a bounded part of streams that callers do not read", async () => {
    faulty = ["i-chat-0", "i-chat-1"];
    shape = "body";
    const peak = await measurePeak(async () => {
      const replies = await Promise.all(
        Array.from({ length: 3 * CONCURRENT }, () => send("chat")),
      );
      await sleep(SLOW_CALLERS_MS);
      replies.forEach(({ body }) => body.on("error", () => {}).destroy());
    });
    expect(peak).to.be.within(1, MAX_MEMORY_MB);
  });
});
