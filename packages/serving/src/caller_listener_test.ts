import { connect } from "node:net";
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
/** Long enough for whatever was read to be served. */
const SETTLE_MS = 500;

describe("listener of callers", () => {
  /** Sends requests, each on a connection of its own; returns what was served. */
  async function serve(requests: readonly { isLeft: boolean }[]) {
    let served = 0;
    const tasks = createTaskSet((error) => {
      throw error;
    });
    const { server } = await startCallerListener({
      clock: createSystemClock(),
      address: { host: "127.0.0.1", port: 0 },
      tasks,
      decodeHead: () => Result.ok(createTestHead()),
      encodeFailure: () => ({ status: 503, headers: [] }),
      serve: ({ response }) => {
        served++;
        response.sendWhole({ status: 200, headers: [], body: Buffer.from("") });
        return Promise.resolve();
      },
      readLimits: () => LIMITS,
      readPhase: () => "open",
      onRefused: () => {},
    });
    const [host, port] = readServerAddress(server).split(":");
    const sockets = requests.map(({ isLeft }) => {
      const socket = connect(Number(port), host, () => {
        socket.write(REQUEST);
        // Its close lies behind the request before anything of it is read.
        if (isLeft) socket.destroy();
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

  // An entry that is short of processor reads a request seconds after its caller
  // has left, and would send it on before it reads the close behind it.
  it("serves no request whose caller has left before it was read", async () => {
    const left = Array.from({ length: 20 }, () => ({ isLeft: true }));
    expect(await serve(left)).to.equal(0);
  });

  it("serves the requests of callers that stay", async () => {
    const staying = Array.from({ length: 20 }, () => ({ isLeft: false }));
    expect(await serve(staying)).to.equal(20);
  });
});
