import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { StartedProcess, StartProcessOptions } from "./started_process.ts";
import { readCounter, startProcess, waitForEnd } from "./started_process.ts";
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
});
