import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import { createServer as createHttpServer } from "node:http";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import {
  createAnswerMeter,
  createHttpClient,
  createSilentLogger,
  createSystemClock,
  openConnection,
  readLimitedBody,
  readServerAddress,
} from "@mangoreach/shared";
import { expect } from "chai";
import { acceptPeerConnections } from "./peer_connection_server.ts";
import { createRouter } from "./peer_procedure.ts";
import type { TunnelFailure } from "./tunnel.ts";
import { createTunnelServer, openTunnel, TUNNEL_PROTOCOL } from "./tunnel.ts";

const TUNNELS = 32;
const MEASURED_MS = 2_000;
/** Half of the time, and what is written after a wait for the other entry. */
const MAX_SHARE = 0.85;
/** Of the callers' answers. */
const ANSWER_BYTES = 8_388_608;
/** A timer may be late by this much. */
const MAX_DELAY_MS = 500;
/** Of all answers together, in the heap and in buffers. */
const MAX_HELD_BYTES = 100_000_000;

/** Endpoints that pour chunks of one byte, on a thread of their own. */
const ENDPOINT = `
const { createServer } = require("node:net");
const { parentPort } = require("node:worker_threads");
const block = Buffer.from("1\\r\\nx\\r\\n".repeat(20_000));
const server = createServer((socket) => {
  socket.on("error", () => {});
  socket.once("data", () => {
    socket.write("HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n");
    const writeNext = () => {
      while (!socket.destroyed && socket.write(block));
      socket.once("drain", writeNext);
    };
    writeNext();
  });
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** The other entry, which discards what comes through its tunnels. */
const ENTRY = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { port, upgrade, tunnels } = workerData;
let received = 0;
for (let index = 0; index < tunnels; index++) {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(upgrade);
  socket.once("data", () => socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n"));
  socket.on("data", (data) => received += data.length);
}
setInterval(() => parentPort.postMessage(received), 100);
`;

/** Time in which others used the core of this process, in milliseconds. */
function readCoreWait(): number {
  const [, nanos] = readFileSync("/proc/self/schedstat", "utf8").split(" ");
  return Number(nanos) / 1_000_000;
}

function measureMemory(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Guards against endpoints that keep the relay of their tunnels at work. */
describe("tunnels of endpoints that pour", function () {
  this.timeout(20_000);
  let server: Server;
  let workers: Worker[] = [];

  before(async () => {
    server = createHttpServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const serveTunnel = createTunnelServer(async ({ address }, signal) => {
      const connection = await openConnection(address, {
        timeout: 500,
        signal,
      });
      return connection.mapErr((): TunnelFailure => "refused");
    });
    acceptPeerConnections(server, {
      router: createRouter({}),
      isPeer: () => true,
      upgrades: { [TUNNEL_PROTOCOL]: (upgrade) => void serveTunnel(upgrade) },
    });
  });

  afterEach(async () => {
    await Promise.all(workers.map((worker) => worker.terminate()));
    workers = [];
  });

  after(() => server.close());

  function startWorker(code: string, workerData?: object): Worker {
    const worker = new Worker(code, { eval: true, workerData });
    workers.push(worker);
    return worker;
  }

  async function startEndpoint(): Promise<string> {
    const worker = startWorker(ENDPOINT);
    const port = await new Promise((resolve) =>
      worker.once("message", resolve)
    );
    return `127.0.0.1:${port}`;
  }

  // The relay passes on raw bytes.
  it("leave time for other work of the relay", async () => {
    const endpoint = await startEndpoint();
    const entry = startWorker(ENTRY, {
      port: Number(readServerAddress(server).split(":")[1]),
      upgrade: `GET /peers/tunnel?id=i-1&address=${endpoint} HTTP/1.1\r\n` +
        "host: a\r\nconnection: Upgrade\r\n" +
        `upgrade: ${TUNNEL_PROTOCOL}\r\n\r\n`,
      tunnels: TUNNELS,
    });
    let received = 0;
    entry.on("message", (count: number) => received = count);
    while (received === 0) await sleep(10);
    const start = performance.eventLoopUtilization();
    const before = received;
    await sleep(MEASURED_MS);
    const { utilization } = performance.eventLoopUtilization(start);
    expect(received).to.be.above(before);
    expect(utilization).to.be.below(MAX_SHARE);
  });

  /** Calls the endpoint through tunnels until all answers are given up. */
  async function runCallers() {
    const address = await startEndpoint();
    const peer = readServerAddress(server);
    const meter = createAnswerMeter({
      clock: createSystemClock(),
      logger: createSilentLogger(),
    });
    const client = createHttpClient({
      connections: "single",
      meter,
      connect: async (endpoint, { timeout, signal }) => {
        const tunnel = await openTunnel({ id: "i-1", address: endpoint }, {
          peer,
          connect: openConnection,
          timeout,
          signal,
        });
        return tunnel.mapErr((message) => ({ failure: "silent", message }));
      },
    });
    let slowest = 0;
    let mostBytes = 0;
    const readOwnTime = () => performance.now() - readCoreWait();
    let last = readOwnTime();
    const bytesBefore = measureMemory();
    const timer = setInterval(() => {
      slowest = Math.max(slowest, readOwnTime() - last);
      last = readOwnTime();
      mostBytes = Math.max(mostBytes, measureMemory());
    }, 10);
    const outcomes = await Promise.all(
      Array.from({ length: TUNNELS }, async () => {
        const reply = await client.callStream({
          method: "GET",
          address,
          path: "/",
        });
        if (reply.isErr) return reply.error.message;
        const read = await readLimitedBody(reply.value.body, {
          limit: ANSWER_BYTES,
        });
        return read.isErr ? read.error.fault : "read";
      }),
    );
    clearInterval(timer);
    return { outcomes, meter, slowest, held: mostBytes - bytesBefore };
  }

  // Guards against an object for each chunk.
  it("cost their caller no more memory than a limit permits", async () => {
    const { outcomes, meter, held } = await runCallers();
    expect(new Set(outcomes)).to.deep.equal(new Set(["too_large"]));
    expect(meter.exceeded.get("framing")).to.equal(TUNNELS);
    expect(held).to.be.below(MAX_HELD_BYTES);
  });

  // Guards against one pass through all layers for each chunk.
  it("leave time for other work of their caller", async () => {
    const { slowest } = await runCallers();
    expect(slowest).to.be.below(MAX_DELAY_MS);
  });
});
