import { mkdtempSync, readFileSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { request } from "undici";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import type { EndlessShape } from "./endless_answers.ts";
import { ENDLESS_SHAPES, writeEndless } from "./endless_answers.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, startEntry, waitUntilReady } from "./soak_entry.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const DEADLINE_MS = 6_000;
/** Long before callers give up. */
const PROMPT_MS = 3_500;
const WARM_UP = 40;
const CONCURRENT = 80;
/** Of a machine's 350 MB; a process has some 80 MB without requests. */
const MAX_MEMORY_MB = 250;
const MEMORY_INTERVAL_MS = 50;

/** Guards against endpoints whose bytes are no answer and have no end. */
describe("an entry whose endpoints send bytes without end", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: Entry;
  let shape: EndlessShape = "body";
  /** The endpoints that send such bytes; the others answer. */
  let faulty: readonly string[] = [];
  let faultyCount = 0;
  /** Times after which its connections were closed. */
  let closedAfter: number[] = [];
  const servers: Server[] = [];
  const sockets = new Set<Socket>();

  async function startEndpoint(id: string): Promise<void> {
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (head) => {
        const requestId = /x-attempt-id: (\S+)/i.exec(String(head))?.[1];
        const headers =
          `${HEADER.requestId}: ${requestId}\r\n${HEADER.proof}: proof\r\n`;
        if (faulty.includes(id)) return serveEndless(socket, headers);
        socket.end(`HTTP/1.1 200 OK\r\n${headers}content-length: 2\r\n\r\nok`);
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    store.put(TOPIC.endpoints, id, {
      service: "plain",
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
    await startEndpoint("i-0");
    await startEndpoint("i-1");
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-endless-"));
    entry = await createEntry("entry-0", { store, folder });
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
    faulty = ["i-0"];
  });

  let count = 0;
  async function call(route: "plain" | "once") {
    const id = `r-${count++}`;
    const sentAt = Date.now();
    const reply = await request(
      `http://${entry.callerProxy.address}/${route}/${id}`,
      {
        method: "POST",
        body: "question",
        headers: {
          host: "soak.example",
          authorization: "Bearer key-1",
          [HEADER.requestId]: id,
          [HEADER.deadline]: String(DEADLINE_MS),
        },
      },
    );
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

  it("holds a bounded part of them, however many come at once", async () => {
    faulty = ["i-0", "i-1"];
    let peak = 0;
    const watch = setInterval(() => {
      const status = readFileSync(`/proc/${entry.child?.pid}/status`, "utf8");
      const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
      peak = Math.max(peak, kilobytes / 1_024);
    }, MEMORY_INTERVAL_MS);
    for (const one of ["body", "chunks"] as const) {
      shape = one;
      const replies = await Promise.all(
        Array.from({ length: CONCURRENT }, () => call("once")),
      );
      expect(new Set(replies.map(({ status }) => status)))
        .to.deep.equal(new Set([502]));
    }
    clearInterval(watch);
    expect(peak).to.be.within(1, MAX_MEMORY_MB);
  });
});
