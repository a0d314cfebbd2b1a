import { Buffer } from "node:buffer";
import { mkdtempSync } from "node:fs";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import { createFrame } from "./faulty_peer.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_MS = 15_000;
const SETTLE_MS = 1_500;
const MAX_MEMORY_MB = 250;
const CONNECTIONS = 200;
const NAMES = 40_000;
/** Each is told to all others. */
const MEMBERS = 3_000;
/** Endpoints that start and end together, again and again. */
const SERIES = 20;
const SERIES_ENDPOINTS = 500;
const SERIES_MS = 400;
const FRAME_BYTES = 8_000_000;
const HUGE = 1e308;
const UPGRADE = "GET /peers/ HTTP/1.1\r\nhost: x\r\n" +
  "connection: upgrade\r\nupgrade: mangoreach-peer\r\n\r\n";
/** Values that a field of a valid message may have. */
const NUMBERS = [0, -1, 0.5, -HUGE, HUGE, Number.MAX_SAFE_INTEGER, 5e-324];
const TEXTS = ["", "__proto__", "constructor", "\u0000", "x".repeat(100_000)];

/** Creates the messages of all procedures with one number and one text. */
function listMessages(number: number, text: string): [string, unknown][] {
  const crash = { endpointKey: text, sentAgo: number, endedAgo: number };
  const content = { content: text, endpointKeys: [text], term: number };
  const waits = { pool: text, partition: text, priority: number };
  const heartbeat = [text, number, "live", number, number, number];
  const introduction = {
    entry: text,
    incarnation: text,
    heartbeat: number,
    state: "live",
    configVersion: number,
    inFlight: number,
    strainedPriority: number,
    startedAt: number,
    capacity: number,
    place: text,
    callerAddress: text,
    controlAddress: text,
  };
  return [
    ["exchange", {
      heartbeats: [heartbeat],
      introductions: [introduction],
      leaving: [{ endpointKey: text, age: number, isSaid: true }],
      limits: [{ endpointKey: text, rateLimit: number, age: number }],
      brittle: [{ pool: "plain", rejectLimit: number, age: number }],
      known: number,
      unreached: [[text, number]],
      detached: [text],
      poison: {
        quarantined: [content],
        suspected: [{ content: text, age: number }],
      },
    }],
    ["readWaits", waits],
    ["readWaits", {
      ...waits,
      pool: "stage",
      account: "one",
      others: [number],
    }],
    ["runPieces", {
      ...waits,
      requestId: text,
      onTime: number,
      remaining: number,
      place: text,
      resultBytes: number,
      movedBytes: number,
      ownsInputs: true,
      pool: "stage",
      pieces: [
        { stage: number, piece: number, source: { kind: "key", key: text } },
        {
          stage: number,
          piece: number,
          source: { kind: "results", results: [text], pools: [text] },
        },
      ],
    }],
    ["reportRuns", {
      ended: [{ ...crash, content: text, traits: [text] }],
      completed: [text],
      quarantined: [content],
    }],
    ["checkCauses", {
      causes: [{ traits: [text], endpointKeys: [text], age: number }],
    }],
    ["recordStreams", [[text, text, text, text, number]]],
    ["findStream", { key: text, pools: [text, "chat"] }],
    ["readTopics", [{
      topic: "endpoints",
      from: { era: number, offset: number },
      wait: number,
      confirmWait: number,
    }]],
    ["releaseResults", { pool: text, partition: text, results: [text] }],
    ["reportPause", { endpointKey: text, pause: number }],
  ];
}

const QUERIES = new Set([
  "readWaits",
  "checkCauses",
  "findStream",
  "readTopics",
]);

/** Guards against messages of peers that take a process's memory or end it. */
describe("an entry that gets extreme messages of peers", function () {
  this.timeout(60_000);
  let store: TopicStore;
  let entry: ProgramProcess;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-messages-")),
    });
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
  });

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    entry.kill();
    store.close();
  });

  function openConnection(): Socket {
    const [host = "", port = ""] = entry.ports.control.split(":");
    const socket = connect({ host, port: Number(port) });
    sockets.push(socket);
    socket.on("error", () => {});
    socket.resume();
    socket.write(UPGRADE);
    return socket;
  }

  let nextId = 0;
  function sendCall(socket: Socket, path: string, input: unknown): boolean {
    const type = QUERIES.has(path) ? "query" : "mutation";
    const id = nextId++;
    return socket.write(createFrame(JSON.stringify({ id, type, path, input })));
  }

  async function checkLives(): Promise<void> {
    await sleep(SETTLE_MS);
    const memory = entry.readPeakMemory();
    expect(entry.isAlive(), entry.readLog().slice(-900)).to.equal(true);
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
    expect(memory).to.be.within(1, MAX_MEMORY_MB);
  }

  it("lives: extreme values of all procedures", async () => {
    const socket = openConnection();
    for (const number of NUMBERS) {
      for (const text of TEXTS) {
        for (const [path, input] of listMessages(number, text)) {
          sendCall(socket, path, input);
        }
      }
      await sleep(SETTLE_MS / 10);
    }
    await checkLives();
  });

  for (
    const [path, createInput] of [
      ["readWaits", (name: string) => ({
        pool: name,
        partition: name,
        priority: 1,
        account: name,
      })],
      ["releaseResults", (name: string) => ({
        pool: name,
        partition: name,
        results: [],
      })],
      ["reportPause", (name: string) => ({ endpointKey: name, pause: 1e9 })],
      ["recordStreams", (name: string) => [[name, name, name, name, 0]]],
      ["reportRuns", (name: string) => ({
        ended: [{
          endpointKey: name,
          sentAgo: 1,
          endedAgo: 1,
          content: name,
          traits: [name],
        }],
        completed: [name],
        quarantined: [{ content: name, endpointKeys: [name], term: 1e9 }],
      })],
      ["exchange", (name: string) => ({
        heartbeats: [],
        introductions: [{
          entry: name,
          incarnation: name,
          heartbeat: 1,
          state: "live",
          configVersion: 1,
          inFlight: 0,
          strainedPriority: 0,
          startedAt: 1,
          capacity: 1,
          place: name,
          callerAddress: "127.0.0.1:1",
          controlAddress: "127.0.0.1:1",
        }],
        leaving: [{ endpointKey: name, age: 0, isSaid: true }],
        limits: [{ endpointKey: name, rateLimit: 1, age: 0 }],
        brittle: [{ pool: name, rejectLimit: 1, age: 0 }],
        known: 1,
      })],
    ] as const
  ) {
    it(`lives: ever new names in ${path}`, async () => {
      const socket = openConnection();
      const count = path === "exchange" ? MEMBERS : NAMES;
      for (let name = 0; name < count; name++) {
        const filler = "n".repeat(100);
        if (!sendCall(socket, path, createInput(`${filler}-${name}`))) {
          await Promise.race([
            new Promise((resolve) => socket.once("drain", resolve)),
            sleep(SETTLE_MS),
          ]);
        }
        if (!entry.isAlive()) break;
      }
      await checkLives();
    });
  }

  it("lives: ever new accounts in readWaits", async () => {
    const socket = openConnection();
    for (let name = 0; name < NAMES; name++) {
      const account = `account-${name}`;
      const query = { pool: "stage", partition: "", priority: 1, account };
      if (!sendCall(socket, "readWaits", query)) {
        await Promise.race([
          new Promise((resolve) => socket.once("drain", resolve)),
          sleep(SETTLE_MS),
        ]);
      }
    }
    await checkLives();
  });

  it("lives: ever new endpoints", async () => {
    for (let series = 0; series < SERIES; series++) {
      for (let index = 0; index < SERIES_ENDPOINTS; index++) {
        const id = `i-${series}-${index}`;
        store.put(TOPIC.endpoints, id, {
          service: "plain",
          address: `127.0.${series}.1:${1_000 + index}`,
          zone: "z",
          state: "ready",
          version: `v${series}`,
          born: Date.now(),
        });
      }
      await sleep(SERIES_MS);
      for (let index = 0; index < SERIES_ENDPOINTS; index++) {
        store.put(TOPIC.endpoints, `i-${series}-${index}`, undefined);
      }
      await sleep(SERIES_MS);
    }
    await checkLives();
  });

  it("lives: unfinished frames on many connections", async () => {
    const part = createFrame("x".repeat(FRAME_BYTES)).subarray(0, -1);
    for (let index = 0; index < CONNECTIONS; index++) {
      openConnection().write(Buffer.from(part));
    }
    await checkLives();
  });
});
