import { createFailure } from "@mangoreach/coordination";
import { connect } from "node:net";
import type { TaskSet } from "@mangoreach/shared";
import { createSystemClock, createTaskSet } from "@mangoreach/shared";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { startCallerListener } from "./caller_listener.ts";
import { createTestHead } from "./test_support.ts";

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeout: 3_000,
  idleTimeout: 5_000,
};
const REQUEST = "POST /r/x HTTP/1.1\r\nhost: a.example\r\n" +
  "content-length: 1\r\n\r\nx";
const BODY_BYTES = 4_000_000;
const BODIES = 24;
const MAX_HELD_BODY_BYTES = 67_108_864;
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16_000_000;
/** Time within which all requests that were read are served. */
const SETTLE_MS = 500;

describe("caller listener", () => {
  /** Starts a listener that answers every request with the same body. */
  function start(
    {
      tasks,
      body = Buffer.from(""),
      onServed = () => {},
      onRefused = () => {},
      wait = Promise.resolve(),
      maxBodyBytes = LIMITS.maxBodyBytes,
    }: {
      tasks: TaskSet;
      body?: Buffer;
      onServed?: () => void;
      onRefused?: () => void;
      /** Requests are answered after this. */
      wait?: Promise<void>;
      maxBodyBytes?: number;
    },
  ) {
    return startCallerListener({
      clock: createSystemClock(),
      address: { host: "127.0.0.1", port: 0 },
      tasks,
      decodeHead: () => Result.ok(createTestHead()),
      encodeFailure: () => ({ status: 503, headers: [] }),
      serve: async ({ response }) => {
        onServed();
        await wait;
        response.sendBuffered({ status: 200, headers: [], body });
      },
      readLimits: () => ({ ...LIMITS, maxBodyBytes }),
      readPhase: () => "open",
      createStoppingFailure: () =>
        createFailure("stopping", { verdict: "not_run", message: "" }),
      onRefused,
    });
  }

  /** Sends each request on its own connection; returns the number served. */
  async function serve(requests: readonly { isDisconnected: boolean }[]) {
    let served = 0;
    const tasks = createTaskSet((error) => {
      throw error;
    });
    const { server } = await start({ tasks, onServed: () => served++ });
    const [host, port] = readServerAddress(server).split(":");
    const sockets = requests.map(({ isDisconnected }) => {
      const socket = connect(Number(port), host, () => {
        socket.write(REQUEST);
        // The close follows the request before the server reads any of it.
        if (isDisconnected) socket.destroy();
      });
      socket.on("error", () => {});
      return socket;
    });
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    sockets.forEach((socket) => socket.destroy());
    server.closeAllConnections();
    server.close();
    return served;
  }

  // An entry short of processor time may read a request seconds after its
  // caller disconnected, and would forward it before it reads the close.
  it("serves no request of a caller that has disconnected", async () => {
    const disconnected = Array.from(
      { length: 20 },
      () => ({ isDisconnected: true }),
    );
    expect(await serve(disconnected)).to.equal(0);
  });

  // Guards against an answer that is cut off when the entry stops, as its caller
  // still reads it.
  it("has a task until the caller has read the whole answer", async () => {
    const tasks = createTaskSet((error) => {
      throw error;
    });
    const { server } = await start({ tasks, body: Buffer.alloc(LARGE_BYTES) });
    const [host, port] = readServerAddress(server).split(":");
    const socket = connect(Number(port), host, () => socket.write(REQUEST));
    socket.pause();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const running = [tasks.size];
    socket.resume();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    running.push(tasks.size);
    socket.destroy();
    server.closeAllConnections();
    server.close();
    expect(running).to.deep.equal([1, 0]);
  });

  // Guards against a process that is killed for its memory, with all requests in
  // progress, because endpoints read large bodies slowly.
  for (const framing of ["length", "chunks"] as const) {
    it(`refuses bodies beyond the memory for them, by ${framing}`, async () => {
      const counts = { served: 0, refused: 0 };
      let finishAll = () => {};
      const finished = new Promise<void>((resolve) => finishAll = resolve);
      const tasks = createTaskSet((error) => {
        throw error;
      });
      const { server } = await start({
        tasks,
        onServed: () => counts.served++,
        onRefused: () => counts.refused++,
        wait: finished,
        maxBodyBytes: BODY_BYTES,
      });
      const send = () =>
        fetch(`http://${readServerAddress(server)}/r/x`, {
          method: "POST",
          body: framing === "length"
            ? Buffer.alloc(BODY_BYTES)
            : new Blob([Buffer.alloc(BODY_BYTES)]).stream(),
          duplex: "half",
        } as RequestInit).then(({ status }) => status);
      const statuses = Promise.all(Array.from({ length: BODIES }, send));
      await new Promise((resolve) => setTimeout(resolve, 4 * SETTLE_MS));
      const during = { ...counts };
      finishAll();
      const ended = await statuses;
      const later = await send();
      server.closeAllConnections();
      server.close();
      expect([during.served > 0, during.refused > 0, later])
        .to.deep.equal([true, true, 200]);
      expect(during.served * BODY_BYTES).to.be.at.most(MAX_HELD_BODY_BYTES);
      expect(ended.filter((status) => status === 503).length)
        .to.equal(during.refused);
    });
  }

  it("serves the requests of callers that stay connected", async () => {
    const staying = Array.from(
      { length: 20 },
      () => ({ isDisconnected: false }),
    );
    expect(await serve(staying)).to.equal(20);
  });
});
