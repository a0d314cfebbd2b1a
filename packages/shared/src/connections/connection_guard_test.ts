import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import {
  readBody,
  readServerAddress,
  sendJson,
  startServer,
} from "../http_server.ts";
import type { ConnectionGuard } from "./connection_guard.ts";
import { createConnectionGuard } from "./connection_guard.ts";
import type { LimitReport } from "./limit_reporter.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import { DEFAULT_CONNECTION_LIMITS } from "./connection_limits.ts";

const SERVER_LIMITS = {
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 5_000,
  maxConnections: 1_000,
};
const MEGABYTE = 1_048_576;

describe("guard of connections", () => {
  let server: Server;
  let guard: ConnectionGuard;
  let reports: LimitReport[];
  /** Responses that wait for the test, by path. */
  let waiting: Map<string, ServerResponse>;
  const sockets: Socket[] = [];

  async function start(limits: Partial<ConnectionLimits> = {}): Promise<void> {
    const reported: LimitReport[] = [];
    reports = reported;
    waiting = new Map();
    guard = createConnectionGuard({
      limits: { ...DEFAULT_CONNECTION_LIMITS, ...limits },
      onLimited: (report) => reported.push(report),
    });
    server = await startServer(async (request, response) => {
      const path = request.url ?? "";
      const read = await readBody(request, 8 * MEGABYTE);
      if (read.kind === "cut") return;
      if (path.startsWith("/wait")) return void waiting.set(path, response);
      const length = read.kind === "whole" ? read.body.length : -1;
      sendJson(response, { status: 200, body: { path, length } });
    }, {
      address: { host: "127.0.0.1", port: 0 },
      limits: SERVER_LIMITS,
      guard,
    });
  }

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    server.closeAllConnections();
    server.close();
  });

  /** Opens a connection and collects what it receives. */
  function open(text = "") {
    const [host = "", port] = readServerAddress(server).split(":");
    const socket = connect({ host, port: Number(port) });
    sockets.push(socket);
    const state = { socket, received: "", isClosed: false };
    socket.on("data", (data) => state.received += String(data));
    socket.on("error", () => {});
    socket.on("close", () => state.isClosed = true);
    if (text !== "") socket.write(text);
    return state;
  }

  function formatGet(path: string, headers = ""): string {
    return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
  }

  async function waitUntil(holds: () => boolean): Promise<void> {
    for (let tries = 0; !holds(); tries++) {
      if (tries > 400) throw new Error("it never held");
      await sleep(5);
    }
  }

  function listPaths(received: string): string[] {
    return [...received.matchAll(/"path":"([^"]*)"/g)].map(([, path]) => path!);
  }

  for (const count of [2, 8, 32, 500]) {
    it(`answers ${count} requests that were sent ahead in order`, async () => {
      await start();
      const paths = Array.from({ length: count }, (_, index) => `/${index}`);
      const client = open(paths.map((path) => formatGet(path)).join(""));
      await waitUntil(() => listPaths(client.received).length === count);
      expect(listPaths(client.received)).to.deep.equal(paths);
    });
  }

  it("serves a bounded number of requests of a connection at once", async () => {
    await start({ maxRequestsAhead: 3 });
    const paths = Array.from({ length: 9 }, (_, index) => `/wait${index}`);
    open(paths.map((path) => formatGet(path)).join(""));
    await waitUntil(() => waiting.size === 3);
    await sleep(50);
    expect([...waiting.keys()]).to.deep.equal(["/wait0", "/wait1", "/wait2"]);
    waiting.get("/wait0")!.end();
    await waitUntil(() => waiting.size === 4);
  });

  it("reads what comes behind a body, wherever it is split", async () => {
    await start();
    const text =
      "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" +
      "3\r\nabc\r\n1;a=b\r\nd\r\n0\r\ntrailer: x\r\n\r\n" +
      "POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabcde\r\n" +
      formatGet("/3");
    for (let at = 1; at < text.length; at += 3) {
      const client = open();
      client.socket.setNoDelay(true);
      client.socket.write(text.slice(0, at));
      await sleep(2);
      client.socket.write(text.slice(at));
      await waitUntil(() => listPaths(client.received).length === 3);
      expect([...client.received.matchAll(/"length":(\d)/g)].map(([, n]) => n))
        .to.deep.equal(["4", "5", "0"]);
    }
  });

  it("closes the longest unused connection for a new one", async () => {
    await start({ maxConnections: 3 });
    const busy = open(formatGet("/wait"));
    await waitUntil(() => waiting.size === 1);
    const unused = [];
    for (let count = 0; count < 2; count++) {
      unused.push(open());
      await waitUntil(() => guard.connectionCount === 2 + count);
    }
    const client = open(formatGet("/new"));
    await waitUntil(() => client.received.includes("/new"));
    expect(unused.map(({ isClosed }) => isClosed)).to.deep.equal([true, false]);
    waiting.get("/wait")!.end("done");
    await waitUntil(() => busy.received.includes("done"));
  });

  it("gives up the largest unfinished body for a smaller one", async () => {
    await start({ maxBodyBytes: 2 * MEGABYTE });
    const large = open(
      `POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: ${
        2 * MEGABYTE
      }\r\n\r\nx`,
    );
    await waitUntil(() => guard.bodies.size === 2 * MEGABYTE);
    const small = open(
      "POST /small HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx",
    );
    await waitUntil(() => small.received.includes('"length":1'));
    await waitUntil(() => large.received.includes('"length":-1'));
    expect(guard.bodies.size).to.equal(0);
  });

  it("reads a body alone that exceeds the memory for bodies", async () => {
    await start({ maxBodyBytes: MEGABYTE });
    const length = 3 * MEGABYTE;
    const client = open(
      `POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n` +
        "x".repeat(length),
    );
    await waitUntil(() => client.received.includes(`"length":${length}`));
  });

  it("closes heads that take too much, not requests in progress", async () => {
    await start({ maxConnectionBytes: MEGABYTE });
    const busy = open(formatGet("/wait"));
    await waitUntil(() => waiting.size === 1);
    const heads = Array.from(
      { length: 20 },
      () => open(`GET / HTTP/1.1\r\n${"a:b\r\n".repeat(3_000)}`),
    );
    await waitUntil(() => heads.filter(({ isClosed }) => isClosed).length > 8);
    expect(guard.bytes).to.be.at.most(MEGABYTE);
    waiting.get("/wait")!.end("done");
    await waitUntil(() => busy.received.includes("done"));
  });

  it("tells responses behind another one that their caller has gone", async () => {
    await start();
    const client = open(formatGet("/wait0") + formatGet("/wait1"));
    await waitUntil(() => waiting.size === 2);
    const closed: string[] = [];
    waiting.forEach((response, path) =>
      response.once("close", () => closed.push(path))
    );
    client.socket.destroy();
    await waitUntil(() => closed.length === 2);
  });

  it("closes the connection of a chunk that is malformed", async () => {
    await start();
    const client = open(
      "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nz\r\n",
    );
    await waitUntil(() => client.isClosed);
    expect(client.received).to.match(/^HTTP\/1\.1 400 /);
  });

  it("reports each limit once a second at most", async () => {
    await start({ maxRequestsAhead: 1 });
    open(formatGet("/wait0") + formatGet("/wait1"));
    await waitUntil(() => reports.length > 0);
    expect(reports).to.deep.equal([{ limit: "requests_ahead", count: 1 }]);
  }).timeout(4_000);
});
