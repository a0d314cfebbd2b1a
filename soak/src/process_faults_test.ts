import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { StartedProcess, StartProcessOptions } from "./started_process.ts";
import {
  readCounter,
  startProcess,
  waitForEnd,
  waitUntil,
} from "./started_process.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_TIMEOUT_MS = 10_000;
const SETTLE_MS = 1_000;
const ERRORS = "mangoreach_unexpected_errors_total";

/** Errors that no request waits for, as often as the event loop turns. */
const THROWING = `
const begin = Number(process.env.BEGIN ?? 500);
const until = Date.now() + begin + 1000;
function fail() {
  if (Date.now() > until) return;
  setTimeout(fail, 1);
  Promise.reject(new Error("nobody awaits"));
  throw new Error("nobody catches");
}
setTimeout(fail, begin);
`;

/** The signal's first listener runs before that of the program. */
const FAILING_STOP = `
process.on("SIGTERM", () => {
  AbortController.prototype.abort = () => {
    throw new Error("the stop fails");
  };
});
`;

describe("errors outside of requests", () => {
  let store: TopicStore;
  let started: StartedProcess;

  beforeEach(async () => {
    store = await startTopicStore();
    const config = createSoakConfig(1, { isRevoked: false });
    store.put(TOPIC.operators, CONFIG_KEY, config);
  });

  afterEach(() => {
    started.child.kill("SIGKILL");
    store.close();
  });

  async function start(options: Omit<StartProcessOptions, "store"> = {}) {
    started = await startProcess({ store: store.address, ...options });
  }

  // An error that reaches the event loop ended the process and all its requests.
  it("are logged at a bounded rate, counted and outlived", async () => {
    await start({ preloaded: THROWING });
    expect(await waitForEnd(started, 500 + 2 * SETTLE_MS)).to.equal("lives");
    const read = (label: string) =>
      readCounter(started, { name: ERRORS, label });
    expect(await read("uncaught_exception")).to.be.greaterThan(50);
    expect(await read("unhandled_rejection")).to.be.greaterThan(50);
    const lines = started.readLog().split("\n")
      .filter((line) => line.includes("unexpected_error"));
    expect(lines.length).to.be.within(2, 60);
    started.child.kill("SIGTERM");
    expect(await waitForEnd(started, START_TIMEOUT_MS)).to.equal("status 0");
  });

  const TUNNEL = "connection: Upgrade\r\nupgrade: mangoreach-tunnel\r\n";

  /** Sends a request to the peers' listener and resets the connection. */
  async function sendAndReset(head: string, delay: number): Promise<void> {
    const [host, port] = started.settings.control.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    await new Promise((resolve) => socket.once("connect", resolve));
    socket.write(`${head}\r\n`);
    await sleep(delay);
    socket.resetAndDestroy();
  }

  for (
    const { name, head } of [
      {
        name: "a call with a malformed target",
        head: "GET /peers/x?input=% HTTP/1.1\r\nhost: x\r\n",
      },
      {
        name: "a tunnel with a malformed target",
        head: `GET // HTTP/1.1\r\nhost: x\r\n${TUNNEL}`,
      },
      {
        name: "a query for a tunnel's end, and a reset,",
        head: `GET /peers/tunnel?ended=1 HTTP/1.1\r\nhost: x\r\n${TUNNEL}`,
      },
      {
        name: "another protocol, and a reset,",
        head:
          "GET /peers/x HTTP/1.1\r\nhost: x\r\nconnection: Upgrade\r\nupgrade: x\r\n",
      },
    ]
  ) {
    // Nothing handled the error, which ended the process with all its requests.
    it(`do not come from ${name} of a peer`, async () => {
      await start();
      const hasStarted = () => started.readLog().includes("process_started");
      expect(await waitUntil(hasStarted, SETTLE_MS * 5)).to.equal(true);
      for (let n = 0; n < 60; n++) await sendAndReset(head, n % 6);
      await sleep(SETTLE_MS / 2);
      expect(started.readEnd()).to.equal(undefined);
      expect(await readCounter(started, { name: ERRORS })).to.equal(0);
    });
  }

  // A process that is told to stop must not go on as if nothing had happened.
  it("end a process in time if they come from its stop", async () => {
    await start({ preloaded: FAILING_STOP });
    const hasStarted = () => started.readLog().includes("process_started");
    expect(await waitUntil(hasStarted, SETTLE_MS * 5)).to.equal(true);
    started.child.kill("SIGTERM");
    expect(await waitForEnd(started, 1_000 * started.settings.stopS))
      .to.equal("status 1");
    expect(started.readLog()).to.contain('"source":"stop"');
  });
});
