import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer as createRawServer } from "node:net";
import type { Readable } from "node:stream";
import { PassThrough } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpClient } from "@mangoreach/shared";
import { expect } from "chai";
import type { CallerResponse } from "./caller_response.ts";
import { createCallerResponse } from "./caller_response.ts";
import { forwardChunks, MAX_BUFFERED_BYTES } from "./chunk_forwarding.ts";

const SIZE = 60_000_000;
/** Limit of the time until an event is forwarded. */
const MAX_DELAY_MS = 200;

describe("forwarding of chunks", () => {
  const http = createHttpClient({ connections: "single" });
  let stop = () => {};

  afterEach(() => stop());

  /** Starts an endpoint, and an entry that forwards its answer. */
  async function start(answer: (socket: Socket) => void) {
    const sockets: Socket[] = [];
    const endpoint = createRawServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => answer(socket));
    });
    await new Promise<void>((resolve) => endpoint.listen(0, resolve));
    const seen: { end?: string; readBuffered: () => number } = {
      readBuffered: () => 0,
    };
    const entry = createServer(async (_, serverResponse) => {
      const { port } = endpoint.address() as AddressInfo;
      const reply = await http.callStream({
        method: "GET",
        address: `127.0.0.1:${port}`,
        path: "/",
      });
      const response: CallerResponse = createCallerResponse(serverResponse, {
        encodeFailure: () => ({ status: 503, headers: [] }),
        isClosing: () => false,
      });
      const body = (reply.isOk ? reply.value.body : undefined) as Readable;
      response.disconnected.addEventListener("abort", () => body.destroy());
      seen.readBuffered = () =>
        body.readableLength + serverResponse.writableLength;
      seen.end = await forwardChunks(body, (chunk) => {
        if (!response.isStarted) {
          response.startStream({ status: 200, headers: [] });
        }
        return response.write(chunk);
      });
      response.endStream(seen.end as "complete" | "cut");
    });
    await new Promise<void>((resolve) => entry.listen(0, resolve));
    const { port } = entry.address() as AddressInfo;
    const caller = connect(port, "127.0.0.1");
    caller.on("error", () => {});
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    stop = () => {
      [caller, ...sockets].forEach((socket) => socket.destroy());
      entry.closeAllConnections();
      entry.close();
      endpoint.close();
    };
    return { caller, seen };
  }

  const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  // Callers that stop reading must not fill the memory of the entry.
  it("buffers a bounded part for a caller that stops reading", async () => {
    const { caller, seen } = await start((socket) => {
      socket.write(`${HEAD}${SIZE.toString(16)}\r\n`);
      socket.write(Buffer.alloc(SIZE));
      socket.write("\r\n0\r\n\r\n");
    });
    caller.pause();
    let most = 0;
    for (let turn = 0; turn < 40; turn++) {
      await sleep(10);
      most = Math.max(most, seen.readBuffered());
    }
    expect(most).to.be.within(1, MAX_BUFFERED_BYTES);
    expect(seen.end).to.equal(undefined);
    let received = 0;
    caller.on("data", (bytes) => received += bytes.length);
    caller.resume();
    while (seen.end === undefined) await sleep(10);
    expect(seen.end).to.equal("complete");
    while (received < SIZE) await sleep(10);
  });

  it("forwards each event as it arrives, the head with the first", async () => {
    const { caller } = await start(async (socket) => {
      socket.write(HEAD);
      for (const event of ["one", "two"]) {
        await sleep(300);
        socket.write(`3\r\n${event}\r\n`);
      }
    });
    const arrivals: { text: string; at: number }[] = [];
    const startedAt = Date.now();
    caller.on("data", (bytes) => {
      arrivals.push({ text: bytes.toString(), at: Date.now() - startedAt });
    });
    await sleep(800);
    expect(arrivals.length).to.equal(2);
    expect(arrivals[0]?.text).to.match(/^HTTP\/1.1 200 OK.*one/s);
    expect(arrivals[0]?.at).to.be.within(290, 300 + MAX_DELAY_MS);
    expect(arrivals[1]?.at).to.be.within(590, 600 + MAX_DELAY_MS);
  });

  it("cuts the caller's stream if the endpoint's is reset", async () => {
    const { caller, seen } = await start((socket) => {
      socket.write(`${HEAD}3\r\none\r\n`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    let text = "";
    caller.on("data", (bytes) => text += bytes);
    await new Promise((resolve) => caller.once("close", resolve));
    expect(text).to.contain("one").and.not.contain("\r\n0\r\n");
    expect(seen.end).to.equal("cut");
  });

  // An exception in a listener would end the process.
  it("cuts a stream whose chunk cannot be written", async () => {
    const body = new PassThrough();
    body.write("one");
    const end = await forwardChunks(body, () => {
      throw new RangeError("Invalid status code: 42");
    });
    expect(end).to.equal("cut");
    expect(body.destroyed).to.equal(true);
  });

  it("closes the endpoint's connection if the caller disconnects", async () => {
    let isClosed = false;
    const { caller, seen } = await start((socket) => {
      socket.once("close", () => isClosed = true);
      socket.write(`${HEAD}3\r\none\r\n`);
    });
    await new Promise((resolve) => caller.once("data", resolve));
    caller.destroy();
    await sleep(100);
    expect(isClosed).to.equal(true);
    expect(seen.end).to.equal("cut");
  });
});
