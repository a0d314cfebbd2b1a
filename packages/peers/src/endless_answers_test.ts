import { Buffer } from "node:buffer";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import {
  confirmEnd,
  createAnswerMeter,
  createSilentLogger,
  createSystemClock,
  openConnection,
} from "@mangoreach/shared";
import { expect } from "chai";
import { encodeFrame } from "./frame_codec.ts";
import type { OutgoingCall, PeerConnection } from "./peer_connection.ts";
import { openPeerConnection } from "./peer_connection.ts";
import type { PeerExchange } from "./peer_protocol.ts";
import { createServingPeerClient } from "./serving_peers.ts";
import { openTunnel, TUNNEL_PROTOCOL } from "./tunnel.ts";

/** Longer than any of the answers takes to exceed its limit. */
const TIMEOUT = 4_000;
/** Of a call whose time-out is that of the client. */
const EXCHANGE: PeerExchange = {
  heartbeats: [],
  introductions: [],
  leaving: [],
  known: 0,
};
const REFUSED = "HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n";
const MAX_MESSAGE_LENGTH = 2_000;
/** More than a limit permits and the kernel buffers. */
const MAX_POURED_BYTES = 33_554_432;
const ACCEPTED = "HTTP/1.1 101 X\r\nconnection: Upgrade\r\n" +
  "upgrade: mangoreach-peer\r\n\r\n";
const ACCEPTED_TUNNEL = ACCEPTED.replace("mangoreach-peer", TUNNEL_PROTOCOL);
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKS = "1\r\nx\r\n".repeat(10_000);

/** What is written once, and then again and again. */
interface Pour {
  head: string;
  block: string | Uint8Array;
  /** Frames follow the first call, and are not repeated if `isOnce` is set. */
  isOnce?: boolean;
  isUpgradeRefused?: boolean;
}

const UPGRADE_POURS: Readonly<Record<string, Pour>> = {
  "provisional answers": {
    head: "",
    block: "HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000),
  },
  "empty lines": { head: "", block: "\r\n".repeat(20_000) },
  "header lines": { head: "HTTP/1.1 101 X\r\n", block: "a: b\r\n".repeat(900) },
  "a header line": { head: "HTTP/1.1 101 X\r\na: ", block: "b".repeat(9_000) },
  "an answer in chunks of one byte": { head: CHUNKED, block: CHUNKS },
};

/**
 * Guards against an address that should be a peer's and keeps the process at work
 * by an answer without end.
 */
describe("answers without end of what should be a peer", function () {
  this.timeout(20_000);
  const clock = createSystemClock();
  let server: Server;
  let address = "";
  let poured = 0;
  let pour: Pour = { head: "", block: "" };
  const sockets = new Set<Socket>();

  before(async () => {
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (data) => {
        const isRefused = pour.isUpgradeRefused && data.includes("Upgrade");
        if (isRefused) socket.end(REFUSED);
        else writePour(socket);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  beforeEach(() => poured = 0);

  afterEach(() => sockets.forEach((socket) => socket.destroy()));

  after(() => server.close());

  function writePour(socket: Socket): void {
    const { head, block, isOnce } = pour;
    socket.write(head);
    const writeNext = () => {
      if (socket.destroyed) return;
      poured += block.length;
      if (isOnce === true) return void socket.write(block);
      if (socket.write(block)) setImmediate(writeNext);
      else socket.once("drain", writeNext);
    };
    if (head === ACCEPTED) socket.once("data", writeNext);
    else writeNext();
  }

  async function waitUntilClosed(): Promise<void> {
    for (let tries = 0; sockets.size > 0; tries++) {
      if (tries > TIMEOUT / 10) throw new Error("still open");
      await clock.sleep(10);
    }
    expect(poured).to.be.below(MAX_POURED_BYTES);
  }

  function createClient() {
    const meter = createAnswerMeter({ clock, logger: createSilentLogger() });
    const faults: string[] = [];
    const client = createServingPeerClient({
      clock,
      siteKey: "",
      timeout: TIMEOUT,
      meter,
      onFault: (fault) => faults.push(fault),
    });
    return { client, meter, faults };
  }

  function open() {
    return openPeerConnection({
      clock,
      address,
      siteKey: "",
      connectTimeout: TIMEOUT,
      idleTimeout: TIMEOUT,
      onRefused: () => {},
      onClosed: () => {},
    });
  }

  /** Sends a call on an open connection, and abandons it. */
  async function sendAbandoned(connection: PeerConnection): Promise<void> {
    await new Promise<void>((resolve) => {
      const abandon = connection.call({
        ...createCall([]),
        onBytes: (direction) => {
          if (direction === "out") queueMicrotask(() => resolve(abandon()));
        },
      });
    });
  }

  function createCall(outcomes: string[]): OutgoingCall {
    return {
      type: "query",
      path: "ping",
      input: undefined,
      onReply: () => outcomes.push("reply"),
      onFailed: (message) => outcomes.push(message),
      onRefused: () => outcomes.push("refused"),
      onBytes: () => {},
    };
  }

  for (const [name, one] of Object.entries(UPGRADE_POURS)) {
    // No call is left to time out.
    it(`closes a connection whose calls were abandoned: ${name}`, async () => {
      pour = one;
      open().call(createCall([]))();
      while (poured === 0) await clock.sleep(5);
      await waitUntilClosed();
    });

    it(`fails a call before it times out: ${name}`, async () => {
      pour = one;
      const outcomes: string[] = [];
      open().call(createCall(outcomes));
      while (outcomes.length === 0) await clock.sleep(5);
      expect(outcomes).to.have.length(1);
      await waitUntilClosed();
    });

    it(`opens no tunnel: ${name}`, async () => {
      pour = one;
      const tunnel = await openTunnel({ id: "i-1", address: "127.0.0.1:1" }, {
        peer: address,
        connect: openConnection,
        timeout: TIMEOUT,
      });
      expect(tunnel.isErr && tunnel.error).to.equal("unavailable");
      await waitUntilClosed();
    });
  }

  for (
    const [name, message] of Object.entries({
      "an abandoned call": { id: 0 },
      "an abandoned call, with deep data": {
        id: 0,
        data: JSON.parse("[".repeat(3_000) + "]".repeat(3_000)),
      },
    })
  ) {
    it(`closes a connection with replies without end to ${name}`, async () => {
      const frame = encodeFrame(message)!;
      const count = Math.ceil(60_000 / frame.length);
      pour = {
        head: ACCEPTED,
        block: Buffer.concat(Array.from({ length: count }, () => frame)),
      };
      await sendAbandoned(open());
      while (poured === 0) await clock.sleep(5);
      await waitUntilClosed();
    });
  }

  it("closes a connection with more than one reply to a call", async () => {
    const frame = encodeFrame({ id: 0, data: "x" })!;
    pour = { head: ACCEPTED, block: frame };
    const outcomes: string[] = [];
    open().call(createCall(outcomes));
    while (outcomes.length === 0) await clock.sleep(5);
    expect(outcomes).to.deep.equal(["reply"]);
    await waitUntilClosed();
  });

  // Guards against a connection that is closed for a reply which was on its way
  // when its call was abandoned.
  it("keeps a connection with one reply to each abandoned call", async () => {
    const replies = Array.from(
      { length: 50 },
      (_, id) => encodeFrame({ id, data: "x" })!,
    );
    pour = { head: ACCEPTED, block: Buffer.concat(replies), isOnce: true };
    const outcomes: string[] = [];
    const connection = open();
    // The replies arrive later than all calls are sent.
    await sendAbandoned(connection);
    for (let id = 1; id < 49; id++) connection.call(createCall([]))();
    connection.call(createCall(outcomes));
    while (outcomes.length === 0) await clock.sleep(5);
    connection.call(createCall(outcomes));
    await clock.sleep(50);
    expect(outcomes).to.deep.equal(["reply"]);
    expect(sockets.size).to.equal(1);
    connection.close();
    await waitUntilClosed();
  });

  describe("of calls over HTTP", () => {
    for (
      const [name, one] of Object.entries({
        "a body in chunks of one byte": { head: CHUNKED, block: CHUNKS },
        "provisional answers": UPGRADE_POURS["provisional answers"]!,
        "empty lines": UPGRADE_POURS["empty lines"]!,
      })
    ) {
      // A peer of an older build refuses the upgrade and is called over HTTP.
      it(`are given up at a limit: ${name}`, async () => {
        pour = { ...one, isUpgradeRefused: true };
        const { client, meter } = createClient();
        const reply = await client.exchange(address, EXCHANGE);
        expect(reply.isErr && reply.error.message).to.match(
          /too_large|exceeds the limit/,
        );
        expect([...meter.exceeded.values()]).to.deep.equal([1]);
        await client.close();
        await waitUntilClosed();
      });
    }
  });

  // Guards against a peer that is given up without a trace.
  it("count as answers that exceed a limit", async () => {
    pour = UPGRADE_POURS["provisional answers"]!;
    const { client, meter, faults } = createClient();
    await client.exchange(address, EXCHANGE);
    expect([...meter.exceeded]).to.deep.equal([["provisional_answers", 1]]);
    await openTunnel({ id: "i-1", address: "127.0.0.1:1" }, {
      peer: address,
      connect: openConnection,
      timeout: TIMEOUT,
      meter,
    });
    expect(meter.exceeded.get("provisional_answers")).to.equal(2);
    expect(faults).to.deep.equal([]);
    await client.close();
  });

  it("count as a fault of the peer once the connection is open", async () => {
    pour = { head: ACCEPTED, block: encodeFrame({ id: 0, data: EXCHANGE })! };
    const { client, faults } = createClient();
    await client.exchange(address, EXCHANGE);
    await waitUntilClosed();
    expect(faults).to.deep.equal(["malformed"]);
    await client.close();
  });

  // Guards against log lines of megabytes, one for each call.
  it("are explained by a message of bounded length", async () => {
    const error = "x".repeat(7_000_000);
    pour = {
      head: ACCEPTED,
      block: encodeFrame({ id: 0, error })!,
      isOnce: true,
    };
    const { client } = createClient();
    const reply = await client.exchange(address, EXCHANGE);
    const message = reply.isErr ? reply.error.message : "";
    expect(message.includes(`: ${"x".repeat(1_000)}`)).to.equal(true);
    expect(message.length).to.be.below(MAX_MESSAGE_LENGTH);
    await client.close();
  });

  // Guards against the same in the question for the end of a tunnel.
  it("confirm no end of a tunnel", async () => {
    pour = { head: ACCEPTED_TUNNEL, block: "", isOnce: true };
    const { client, meter } = createClient();
    const tunnel = await openTunnel({ id: "i-1", address: "127.0.0.1:1" }, {
      peer: address,
      connect: openConnection,
      timeout: TIMEOUT,
      meter,
    });
    const socket = tunnel.unwrapOrElse(() => expect.fail("no tunnel"));
    pour = UPGRADE_POURS["provisional answers"]!;
    expect(await confirmEnd(socket)).to.equal(false);
    expect([...meter.exceeded]).to.deep.equal([["provisional_answers", 1]]);
    socket.destroy();
    await client.close();
    await waitUntilClosed();
  });
});
