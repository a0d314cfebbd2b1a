import { mkdtempSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import { callEntry } from "./entry_call.ts";
import { LOOPBACK_HOST } from "./loopback_host.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const REQUEST_ID = new RegExp(`${HEADER.requestId}: (\\S+)`, "i");
const START_MS = 15_000;
const FAULT_MS = 5_000;
const RECOVER_MS = 6_000;
const MAX_DESCRIPTORS = 60;
const CALLERS = 150;
const ENDPOINTS = 4;
const MAX_MEMORY_MB = 250;

/** Guards against endpoints that hang until no descriptor is left. */
describe("an entry without descriptors", function () {
  this.timeout(60_000);
  let store: TopicStore;
  let entry: ProgramProcess;
  let isHanging = true;
  const servers: Server[] = [];
  const sockets = new Set<Socket>();

  async function startEndpoint(id: string): Promise<void> {
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (data) => {
        if (isHanging) return;
        const id = REQUEST_ID.exec(String(data))?.[1];
        socket.end(
          `HTTP/1.1 200 OK\r\n${HEADER.requestId}: ${id}\r\n` +
            `${HEADER.proof}: proof\r\ncontent-length: 2\r\n\r\nok`,
        );
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, LOOPBACK_HOST, () => resolve())
    );
    store.put(TOPIC.endpoints, id, {
      service: "plain",
      address: readServerAddress(server),
      zone: "z",
      state: "ready",
      born: 1,
    });
  }

  before(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    for (let index = 0; index < ENDPOINTS; index++) {
      await startEndpoint(`i-${index}`);
    }
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-descriptors-")),
      maxDescriptors: MAX_DESCRIPTORS,
    });
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
  });

  after(() => {
    entry.kill();
    sockets.forEach((socket) => socket.destroy());
    servers.forEach((server) => server.close());
    store.close();
  });

  function formatRequest(id: string): string {
    return `POST /plain/${id} HTTP/1.1\r\nhost: soak.example\r\n` +
      "authorization: Bearer key-1\r\ncontent-length: 1\r\n" +
      `${HEADER.requestId}: ${id}\r\n${HEADER.deadline}: 20000\r\n\r\nx`;
  }

  async function callOnce(): Promise<number> {
    const id = `a-${Math.random()}`;
    const call = { path: `plain/${id}`, id, body: "x" };
    return (await callEntry(entry.ports.callers, call)).status;
  }

  it("lives, and serves again afterwards", async () => {
    const [host = "", port = ""] = entry.ports.callers.split(":");
    const callers = Array.from({ length: CALLERS }, (_caller, index) => {
      const socket = connect({ host, port: Number(port) });
      socket.on("error", () => {});
      socket.resume();
      const send = () => socket.write(formatRequest(`r-${index}`));
      socket.once("connect", send);
      return socket;
    });
    const metrics = setInterval(() => {
      const [metricsHost = "", metricsPort = ""] = entry.ports.metrics
        .split(":");
      const socket = connect({ host: metricsHost, port: Number(metricsPort) });
      socket.on("error", () => {});
      socket.write(
        "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
      );
      setTimeout(() => socket.destroy(), 500);
    }, 300);
    await sleep(FAULT_MS);
    clearInterval(metrics);
    // The case has come about.
    expect(entry.readLog()).to.contain("EMFILE");
    expect(entry.isAlive(), entry.readLog().slice(-900)).to.equal(true);
    isHanging = false;
    callers.forEach((socket) => socket.destroy());
    sockets.forEach((socket) => socket.destroy());
    await sleep(RECOVER_MS);
    expect(entry.isAlive(), entry.readLog().slice(-900)).to.equal(true);
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
    const statuses = [];
    for (let index = 0; index < 10; index++) statuses.push(await callOnce());
    expect(statuses).to.deep.equal(Array.from({ length: 10 }, () => 200));
    expect(entry.readPeakMemory()).to.be.within(1, MAX_MEMORY_MB);
  });
});
