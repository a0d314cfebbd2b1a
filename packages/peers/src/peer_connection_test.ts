import { Buffer } from "node:buffer";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { Clock } from "@mangoreach/shared";
import {
  createSystemClock,
  readServerAddress,
  startServer,
} from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { Pool } from "undici";
import { encodeFrame } from "./frame_codec.ts";
import { openPeerConnection } from "./peer_connection.ts";
import type { PeerConnections } from "./peer_connection_server.ts";
import type { PeerExchange } from "./peer_protocol.ts";
import type { PieceRun, PieceRunReply } from "./piece_protocol.ts";
import type {
  ServingPeerClient,
  ServingPeerHandlers,
} from "./serving_peers.ts";
import {
  acceptServingPeers,
  createServingPeerClient,
  createServingPeerListener,
} from "./serving_peers.ts";

const TIMEOUT = 150;
const MAX_CONNECTIONS = 10;
const WAITS = { onTime: 1, late: 2, growth: 0 };
const QUERY = { pool: "p", partition: "", priority: 0 };
const REPLY: PieceRunReply = { outcomes: [], waits: WAITS, freedInputs: true };
const UPGRADE = "GET /peers/ HTTP/1.1\r\nhost: a\r\nconnection: Upgrade\r\n" +
  "upgrade: mangoreach-peer\r\n\r\n";
const ACCEPTED = "HTTP/1.1 101 X\r\nconnection: Upgrade\r\n" +
  "upgrade: mangoreach-peer\r\n\r\n";

function createRun(requestId: string, remaining = 3_000): PieceRun {
  return {
    pool: "p",
    partition: "",
    requestId,
    priority: 0,
    onTime: 1_000,
    remaining,
    resultBytes: 0,
    movedBytes: 0,
    ownsInputs: false,
    pieces: [],
  };
}

async function waitUntil(holds: () => boolean): Promise<void> {
  for (let tries = 0; !holds(); tries++) {
    if (tries > 300) throw new Error("it never held");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

describe("peer connection", () => {
  const system = createSystemClock();
  let skipped = 0;
  const clock: Clock = { ...system, now: () => system.now() + skipped };
  let client: ServingPeerClient;
  const closers: (() => void)[] = [];
  const faults: string[] = [];
  /** Runs in progress: replies, and whether each was aborted. */
  const runs = new Map<string, { finish: () => void; signal: AbortSignal }>();

  beforeEach(() => {
    skipped = 0;
    faults.length = 0;
    runs.clear();
    client = createServingPeerClient({ clock, siteKey: "", timeout: TIMEOUT });
  });

  afterEach(async () => {
    await client.close();
    closers.splice(0).forEach((close) => close());
  });

  async function startPeer(
    { host = "127.0.0.1", port = 0, isOld = false, config = "" }: {
      host?: string;
      port?: number;
      isOld?: boolean;
      config?: string;
    } = {},
  ) {
    const counts = { requests: 0, connections: 0, in: 0, out: 0 };
    const handlers: ServingPeerHandlers = {
      exchange: (message) => message,
      runPieces: ({ requestId }, signal) =>
        new Promise((resolve) => {
          runs.set(requestId, { finish: () => resolve(REPLY), signal });
        }),
      readWaits: () => WAITS,
      releaseResults: () => {},
      reportPause: () => {},
      reportRuns: () => ({ quarantined: [] }),
      checkCauses: () => ({ causes: [] }),
      recordStreams: () => {},
      findStream: () => ({ stream: null, history: [] }),
      readConfig: () => config,
      readTopics: () => Promise.resolve([]),
    };
    const options = {
      handlers,
      isPeer: () => true,
      onExchangeBytes: (direction: "in" | "out", bytes: number) => {
        counts[direction] += bytes;
      },
    };
    const listener = createServingPeerListener(options);
    const server: Server = await startServer((request, response) => {
      counts.requests++;
      listener(request, response);
    }, {
      address: { host, port },
      limits: {
        maxHeaderBytes: 16_384,
        requestTimeoutMs: 1_000,
        maxConnections: MAX_CONNECTIONS,
      },
    });
    const sockets: Socket[] = [];
    server.on("connection", (socket) => {
      counts.connections++;
      sockets.push(socket);
    });
    let accepted: PeerConnections | undefined;
    const accept = () => {
      accepted = acceptServingPeers(server, {
        connectForPeer: () => Promise.resolve(Result.err("unavailable")),
        ...options,
        onFault: (fault) => faults.push(fault),
      });
    };
    if (!isOld) accept();
    const kill = () => {
      accepted?.close();
      server.closeAllConnections();
      server.close();
    };
    closers.push(kill);
    const address = readServerAddress(server);
    return { address, counts, sockets, kill, accept };
  }

  /** Starts a server that handles the bytes of each connection by itself. */
  async function startRaw(serve: (socket: Socket, index: number) => void) {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => socket.destroy());
      serve(socket, sockets.length - 1);
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    closers.push(() => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    return { address: `127.0.0.1:${port}`, sockets };
  }

  function connectRaw(address: string): Socket {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    closers.push(() => socket.destroy());
    socket.write(UPGRADE);
    return socket;
  }

  function startRun(address: string, id: string, signal?: AbortSignal) {
    const { signal: never } = new AbortController();
    return client.runPieces(address, createRun(id), signal ?? never);
  }

  async function expectAnswer(address: string): Promise<void> {
    const reply = await client.readWaits(address, QUERY);
    expect(reply.isOk && reply.value).to.deep.equal(WAITS);
  }

  it("carries overlapping calls, whose replies come in any order", async () => {
    const { address, counts } = await startPeer();
    const first = startRun(address, "first");
    const second = startRun(address, "second");
    await waitUntil(() => runs.size === 2);
    runs.get("second")!.finish();
    expect((await second).isOk).to.equal(true);
    await expectAnswer(address);
    runs.get("first")!.finish();
    expect((await first).isOk).to.equal(true);
    expect(counts).to.include({ requests: 0, connections: 1 });
  });

  // Guards against short replies that wait behind a snapshot on a slow link.
  it("reads topics on a connection of their own", async () => {
    const { address, counts } = await startPeer();
    const from = { era: 0, offset: 0 };
    const query = { topic: "config" as const, from, wait: 0, confirmWait: 0 };
    for (let call = 0; call < 2; call++) {
      expect((await client.readTopics(address, [query])).isOk).to.equal(true);
      await expectAnswer(address);
    }
    expect(counts).to.include({ requests: 0, connections: 2 });
  });

  // Guards against work that continues for a call that nobody waits for.
  it("aborts one call at the peer when the client abandons it", async () => {
    const { address } = await startPeer();
    const controller = new AbortController();
    const abandoned = startRun(address, "abandoned", controller.signal);
    const other = startRun(address, "other");
    await waitUntil(() => runs.size === 2);
    controller.abort();
    expect((await abandoned).isErr).to.equal(true);
    await waitUntil(() => runs.get("abandoned")!.signal.aborted);
    expect(runs.get("other")!.signal.aborted).to.equal(false);
    runs.get("other")!.finish();
    expect((await other).isOk).to.equal(true);
  });

  it("aborts all calls at the peer when the connection ends", async () => {
    const { address } = await startPeer();
    void startRun(address, "first");
    void startRun(address, "second");
    await waitUntil(() => runs.size === 2);
    await client.close();
    await waitUntil(() =>
      [...runs.values()].every((run) => run.signal.aborted)
    );
  });

  // Guards against calls that hang or claim not to have run after a crash.
  it("fails the calls at a peer that is killed and started again", async () => {
    const { address, kill } = await startPeer({ config: "before" });
    const call = startRun(address, "lost");
    await waitUntil(() => runs.size === 1);
    kill();
    const reply = await call;
    expect(reply.isErr && reply.error).to.include({
      kind: "unavailable",
      verdict: "may_have_run",
    });
    expect((await client.readConfig(address)).isErr).to.equal(true);
    const port = Number(address.split(":")[1]);
    await startPeer({ port, config: "after" });
    const config = await client.readConfig(address);
    expect(config.isOk && config.value).to.equal("after");
  });

  // Guards against a frozen peer, or a connection that stopped responding
  // without a reset, that costs every call its time-out.
  for (
    const { name, isCut } of [
      { name: "silent", isCut: false },
      { name: "cut off in one direction", isCut: true },
    ]
  ) {
    it(`replaces a connection that is ${name} after one call`, async () => {
      const { address } = await startPeer();
      let isSilent = false;
      const proxy = await startRaw((socket, index) => {
        const [host, port] = address.split(":");
        const peer = connect(Number(port), host);
        closers.push(() => peer.destroy());
        socket.on("close", () => peer.destroy());
        socket.on("data", (chunk) => {
          if (!isSilent || isCut || index > 0) peer.write(chunk);
        });
        peer.on("data", (chunk) => {
          if (!isSilent || index > 0) socket.write(chunk);
        });
      });
      await expectAnswer(proxy.address);
      const slow = startRun(proxy.address, "slow");
      const { signal } = new AbortController();
      const stuck = client.runPieces(
        proxy.address,
        createRun("stuck", 0),
        signal,
      );
      await waitUntil(() => runs.size === 2);
      isSilent = true;
      const reply = await client.readWaits(proxy.address, QUERY);
      expect(reply.isErr && reply.error.verdict).to.equal("may_have_run");
      await expectAnswer(proxy.address);
      // A later time-out on the old connection leaves the new one in use.
      expect((await stuck).isErr).to.equal(true);
      await expectAnswer(proxy.address);
      expect(proxy.sockets.length).to.equal(2);
      // The call in progress continues on the old connection.
      isSilent = false;
      runs.get("slow")!.finish();
      expect((await slow).isOk).to.equal(true);
      await waitUntil(() => proxy.sockets[0]!.destroyed);
    });
  }

  it("times out at a peer that doesn't answer the upgrade", async () => {
    const { address, sockets } = await startRaw((socket) => socket.resume());
    expect((await client.ping(address)).isErr).to.equal(true);
    await waitUntil(() => sockets[0]!.destroyed);
  });

  // Guards against bytes of a server that is no peer and pass as replies.
  it("takes no replies of another protocol", async () => {
    const reply = encodeFrame({ id: 0, data: WAITS });
    const { address } = await startRaw((socket) =>
      socket.once("data", () => {
        socket.write(ACCEPTED.replace("mangoreach-peer", "other"));
        socket.write(reply!);
      })
    );
    const waits = await client.readWaits(address, QUERY);
    expect(waits.isErr && waits.error.message).to.contain("another protocol");
  });

  // Guards against the same at a peer that is called over HTTP.
  it("takes no replies whose head is malformed", async () => {
    const body = JSON.stringify({ result: { data: WAITS } });
    const { address } = await startRaw((socket) =>
      socket.on("data", (data) => {
        const isUpgrade = String(data).includes("Upgrade");
        socket.write(
          isUpgrade
            ? "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
            : `HTTP/1.1 600 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      })
    );
    const waits = await client.readWaits(address, QUERY);
    expect(waits.isErr && waits.error.message).to.contain("malformed");
  });

  // Guards against a connection that stays open as no call times out on it.
  it("closes a connection without calls whose upgrade is not answered", async () => {
    const { address, sockets } = await startRaw((socket) => socket.resume());
    let isClosed = false;
    const connection = openPeerConnection({
      clock,
      address,
      siteKey: "",
      connectTimeout: TIMEOUT,
      idleTimeout: 100,
      onRefused: () => {},
      onClosed: () => isClosed = true,
    });
    const abandon = connection.call({
      type: "query",
      path: "ping",
      input: undefined,
      onReply: () => {},
      onFailed: () => {},
      onRefused: () => {},
      onBytes: () => {},
    });
    // Longer than both time-outs: the peer may be late.
    await system.sleep(300);
    expect(isClosed).to.equal(false);
    abandon();
    await waitUntil(() => isClosed && sockets[0]!.destroyed);
  });

  // Guards against a foreign record in the entries' topic that ends the
  // process: by a rejection, or by an exception in a timer.
  for (
    const address of [
      "",
      "abc",
      "10.0.0.1",
      "10.0.0.1:",
      "10.0.0.1:0",
      "10.0.0.1:99999",
      "10.0.0.1:1e3",
      ":7000",
      "[::1:7000",
      "a\nb:7000",
    ]
  ) {
    it(`fails calls to the address ${JSON.stringify(address)}`, async () => {
      for (let call = 0; call < 2; call++) {
        const reply = await client.readWaits(address, QUERY);
        expect(reply.isErr && reply.error).to.include({ kind: "unavailable" });
        expect(reply.isErr && reply.error.message).to.contain("malformed");
      }
      // Longer than the time-out of the calls.
      await system.sleep(200);
    });
  }

  for (const format of ["[::1]", "::1"]) {
    it(`connects to an IPv6 address written as ${format}`, async () => {
      const { address } = await startPeer({ host: "::1" });
      const port = address.slice(address.lastIndexOf(":") + 1);
      await expectAnswer(`${format}:${port}`);
    });
  }

  it("calls a peer of an older build over HTTP, until it is replaced", async () => {
    const { address, counts, accept } = await startPeer({ isOld: true });
    await Promise.all([expectAnswer(address), expectAnswer(address)]);
    await expectAnswer(address);
    // The upgrade request and three calls.
    expect(counts.requests).to.equal(4);
    accept();
    await expectAnswer(address);
    expect(counts.requests).to.equal(5);
    skipped = 61_000;
    await expectAnswer(address);
    expect(counts.requests).to.equal(5);
  });

  for (const isOld of [false, true]) {
    it(`counts bytes of exchanges ${isOld ? "over HTTP" : "in frames"}`, async () => {
      const { address, counts } = await startPeer({ isOld });
      const sent = { in: 0, out: 0 };
      const counting = createServingPeerClient({
        clock,
        siteKey: "",
        timeout: TIMEOUT,
        onExchangeBytes: (direction, bytes) => sent[direction] += bytes,
      });
      const message: PeerExchange = {
        heartbeats: Array.from({ length: 20 }, () => ["a", 1, "live", 1, 1, 1]),
        introductions: [],
        leaving: [],
        known: 0,
      };
      await counting.exchange(address, message);
      await counting.close();
      // The message and what the transport adds to it.
      const size = JSON.stringify(message).length;
      expect(sent.out).to.be.within(size, size + 60);
      expect(sent.in).to.be.within(size, size + 60);
      expect(counts).to.include({ in: sent.out, out: sent.in });
    });
  }

  it("answers an older client over HTTP", async () => {
    const { address } = await startPeer();
    const pool = new Pool(`http://${address}`);
    const input = encodeURIComponent(JSON.stringify(QUERY));
    const { body } = await pool.request({
      method: "GET",
      path: `/peers/readWaits?input=${input}`,
    });
    expect(await body.json()).to.deep.equal({ result: { data: WAITS } });
    await pool.destroy();
  });

  // Guards against clients that offer another protocol and were answered in
  // HTTP before this server accepted upgrades.
  it("answers requests that offer an upgrade to another protocol", async () => {
    const { address, counts } = await startPeer();
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    closers.push(() => socket.destroy());
    let received = "";
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    const read = `GET /peers/readWaits?input=${
      encodeURIComponent(JSON.stringify(QUERY))
    } HTTP/1.1\r\nhost: a\r\n`;
    const offer = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n" +
      "HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n";
    const countReplies = () =>
      received.split(JSON.stringify({ result: { data: WAITS } })).length - 1;
    socket.write(read + offer);
    await waitUntil(() => countReplies() === 1);
    // The connection serves further requests, also with bodies in parts.
    const body = JSON.stringify({ results: [], pool: "p", partition: "" });
    socket.write(
      "POST /peers/releaseResults HTTP/1.1\r\nhost: a\r\n" +
        "content-type: application/json\r\n" +
        `content-length: ${body.length}\r\n${offer}${body.slice(0, 9)}`,
    );
    await system.sleep(50);
    socket.write(body.slice(9));
    await waitUntil(() => received.includes('{"result":{"data":null}}'));
    socket.write(`${read}\r\n`);
    await waitUntil(() => countReplies() === 2);
    expect(received.match(/HTTP\/1.1 200 OK/g)).to.have.length(3);
    expect(counts.requests).to.equal(3);
    await expectAnswer(address);
  });

  // Guards against connections of clients that are gone, and against calls that
  // are cut off since the server takes a long one for idle time.
  it("closes a connection at the server after 65 s without a call", async () => {
    const { address, sockets } = await startPeer();
    const call = startRun(address, "long");
    await waitUntil(() => runs.size === 1);
    expect(sockets).to.have.length(1);
    const [socket] = sockets;
    expect(socket!.timeout).to.equal(65_000);
    socket!.emit("timeout");
    expect(socket!.destroyed).to.equal(false);
    runs.get("long")!.finish();
    expect((await call).isOk).to.equal(true);
    socket!.emit("timeout");
    expect(socket!.destroyed).to.equal(true);
    // The client notices it.
    await system.sleep(50);
    await expectAnswer(address);
  });

  // Guards against connections that no longer count after their upgrade.
  it("refuses connections above the limit of the server", async () => {
    const { address } = await startPeer();
    const open = Array.from(
      { length: MAX_CONNECTIONS },
      () => connectRaw(address),
    );
    const accepted = await Promise.all(
      open.map((socket) =>
        new Promise<string>((resolve) =>
          socket.once("data", (chunk) => resolve(chunk.toString()))
        )
      ),
    );
    accepted.forEach((reply) => expect(reply).to.contain(" 101 "));
    expect((await client.ping(address)).isErr).to.equal(true);
    open[0]!.destroy();
    await waitUntil(() => open[0]!.closed);
    await system.sleep(50);
    await expectAnswer(address);
  });

  // Guards against a broken peer that affects more than its own connection.
  for (
    const [name, bytes, fault] of [
      ["a frame that is not JSON", Buffer.from([0, 0, 0, 1, 123]), "malformed"],
      ["a frame that is too large", Buffer.from([1, 0, 0, 0]), "malformed"],
      ["a frame that is no call", encodeFrame({ id: "1" })!, "malformed"],
      ["a partial frame", Buffer.from([0, 0, 0, 9, 123]), undefined],
    ] as const
  ) {
    it(`closes only the connection that sends ${name}`, async () => {
      const { address } = await startPeer();
      const call = startRun(address, "other");
      await waitUntil(() => runs.size === 1);
      const broken = connectRaw(address);
      broken.resume().write(bytes);
      if (fault === undefined) broken.end();
      await waitUntil(() => broken.destroyed);
      expect(faults).to.deep.equal(fault === undefined ? [] : [fault]);
      runs.get("other")!.finish();
      expect((await call).isOk).to.equal(true);
      // A peer's broken reply fails the calls on its connection.
      const bad = await startRaw((socket) =>
        socket.once("data", () => {
          socket.write(ACCEPTED);
          socket.once("data", () => {
            socket.write(bytes);
            if (fault === undefined) socket.end();
          });
        })
      );
      const reply = await client.readWaits(bad.address, QUERY);
      expect(reply.isErr && reply.error.message).to.contain("was closed");
    });
  }

  // Guards against memory that grows without bound for a frozen client.
  it("closes the connection of a peer that doesn't read", async () => {
    const { address } = await startPeer();
    const socket = connectRaw(address).pause();
    const introductions: unknown[] = [];
    const known = "0".repeat(7_000_000);
    const leaving = [{ endpointKey: known, age: 1 }];
    const input = { heartbeats: [], introductions, leaving, known: 0 };
    for (let id = 0; id < 6; id++) {
      const call = { id, type: "mutation", path: "exchange", input };
      socket.write(encodeFrame(call)!);
    }
    await waitUntil(() => faults.length > 0);
    expect(faults).to.deep.equal(["not_reading"]);
    await expectAnswer(address);
  });

  it("closes an idle connection, but not during a call", async () => {
    const { address } = await startPeer();
    let isClosed = false;
    const replies: unknown[] = [];
    const connection = openPeerConnection({
      clock,
      address,
      siteKey: "",
      connectTimeout: TIMEOUT,
      idleTimeout: 50,
      onRefused: () => {},
      onClosed: () => isClosed = true,
    });
    connection.call({
      type: "mutation",
      path: "runPieces",
      input: createRun("slow"),
      onReply: (reply) => replies.push(reply),
      onFailed: (message) => replies.push(message),
      onRefused: () => {},
      onBytes: () => {},
    });
    await waitUntil(() => runs.size === 1);
    // Longer than the time-outs of idle connections and of HTTP requests.
    await system.sleep(2_200);
    expect(isClosed).to.equal(false);
    runs.get("slow")!.finish();
    await waitUntil(() => isClosed);
    expect(replies).to.deep.equal([REPLY]);
  });
});
