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
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16_000_000;
/** Time within which all requests that were read are served. */
const SETTLE_MS = 500;

describe("caller listener", () => {
  /** Starts a listener that answers every request with the same body. */
  function start(
    { tasks, body = Buffer.from(""), onServed = () => {} }: {
      tasks: TaskSet;
      body?: Buffer;
      onServed?: () => void;
    },
  ) {
    return startCallerListener({
      clock: createSystemClock(),
      address: { host: "127.0.0.1", port: 0 },
      tasks,
      decodeHead: () => Result.ok(createTestHead()),
      encodeFailure: () => ({ status: 503, headers: [] }),
      serve: ({ response }) => {
        onServed();
        response.sendBuffered({ status: 200, headers: [], body });
        return Promise.resolve();
      },
      readLimits: () => LIMITS,
      readPhase: () => "open",
      createStoppingFailure: () =>
        createFailure("stopping", { verdict: "not_run", message: "" }),
      onRefused: () => {},
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

  it("serves the requests of callers that stay connected", async () => {
    const staying = Array.from(
      { length: 20 },
      () => ({ isDisconnected: false }),
    );
    expect(await serve(staying)).to.equal(20);
  });
});
