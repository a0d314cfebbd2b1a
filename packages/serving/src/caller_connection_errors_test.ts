import { createFailure } from "@mangoreach/coordination";
import { connect } from "node:net";
import {
  createSystemClock,
  createTaskSet,
  readServerAddress,
} from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { startCallerListener } from "./caller_listener.ts";
import { createTestHead } from "./test_support.ts";

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeout: 100,
  idleTimeout: 5_000,
};
const HEAD = "POST /r/x HTTP/1.1\r\nhost: a.example\r\n";
const COMPLETE = `${HEAD}content-length: 1\r\n\r\nx`;

// A caller takes Node's own 408 to a later, broken request for the answer to the
// one that is running, and concludes that this one did not run.
describe("errors on callers' connections", () => {
  /** Sends bytes; returns the statuses received until the connection ends. */
  async function send(
    text: string,
    { isAnswered = false, then = "" }: { isAnswered?: boolean; then?: string } =
      {},
  ) {
    let served = 0;
    const { server } = await startCallerListener({
      clock: createSystemClock(),
      address: { host: "127.0.0.1", port: 0 },
      tasks: createTaskSet((error) => {
        throw error;
      }),
      decodeHead: () => Result.ok(createTestHead()),
      encodeFailure: () => ({ status: 503, headers: [] }),
      serve: ({ response }) => {
        served++;
        if (isAnswered) {
          const body = Buffer.from("");
          response.sendBuffered({ status: 200, headers: [], body });
        }
        return Promise.resolve();
      },
      readLimits: () => LIMITS,
      readPhase: () => "open",
      createStoppingFailure: () =>
        createFailure("stopping", { verdict: "not_run", message: "" }),
      onRefused: () => {},
    });
    const [host, port] = readServerAddress(server).split(":");
    const statuses = await new Promise<string[]>((resolve) => {
      let received = "";
      const socket = connect(Number(port), host, () => {
        socket.write(text);
        // By then the first request is being served.
        setTimeout(() => socket.write(then), 50);
      });
      socket.on("data", (chunk) => received += chunk.toString());
      socket.on("error", () => {});
      socket.on(
        "close",
        () => resolve(received.match(/(?<=HTTP\/1.1 )\d+/g) ?? []),
      );
    });
    server.closeAllConnections();
    server.close();
    return { served, statuses };
  }

  const RUNNING = [
    { name: "an incomplete head", then: HEAD },
    {
      name: "an incomplete body",
      then: `${HEAD}content-length: 2\r\n\r\nx`,
    },
    { name: "bytes that are not HTTP", then: "hello\r\n\r\n" },
  ];
  for (const { name, then } of RUNNING) {
    it(`gives no answer to a running request followed by ${name}`, async () => {
      const { served, statuses } = await send(COMPLETE, { then });
      expect(served).to.equal(1);
      expect(statuses).to.deep.equal([]);
    });
  }

  const INCOMPLETE = [
    { name: "an incomplete head", text: HEAD, status: "408" },
    {
      name: "an incomplete body",
      text: `${HEAD}content-length: 2\r\n\r\nx`,
      status: "408",
    },
    { name: "bytes that are not HTTP", text: "hello\r\n\r\n", status: "400" },
    {
      name: "an oversized head",
      text: `${HEAD}x: ${"x".repeat(20_000)}\r\n\r\n`,
      status: "431",
    },
  ];
  for (const { name, text, status } of INCOMPLETE) {
    it(`answers ${status} to ${name}`, async () => {
      const { served, statuses } = await send(text);
      expect([served, statuses]).to.deep.equal([0, [status]]);
    });
  }

  it("answers 408 to what follows an answered request", async () => {
    const { statuses } = await send(COMPLETE, {
      isAnswered: true,
      then: HEAD,
    });
    expect(statuses).to.deep.equal(["200", "408"]);
  });
});
