import { mkdirSync, renameSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:net";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { StartedProcess, StartProcessOptions } from "./started_process.ts";
import {
  isReady,
  readCounter,
  startProcess,
  waitForEnd,
  waitUntil,
} from "./started_process.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_TIMEOUT_MS = 10_000;
/** Longer than a start, so that a fault at the start has shown. */
const SETTLE_MS = 1_200;
const ERRORS = "mangoreach_unexpected_errors_total";

/** Sends a signal to its own process as the launcher reads the program. */
const formatEarlySignal = (signal: string) => `
const fs = require("node:fs");
const read = fs.readFileSync;
fs.readFileSync = (file, ...rest) => {
  if (String(file).endsWith(".bundle.cjs")) process.kill(process.pid, "${signal}");
  return read(file, ...rest);
};
`;

describe("a process of an entry", () => {
  let store: TopicStore;
  let started: StartedProcess;
  const held: Server[] = [];

  beforeEach(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
  });

  afterEach(() => {
    started.child.kill("SIGKILL");
    held.splice(0).forEach((server) => server.close());
    store.close();
  });

  async function start(options: Omit<StartProcessOptions, "store"> = {}) {
    started = await startProcess({ store: store.address, ...options });
  }

  const hasStarted = () => started.readLog().includes("process_started");

  async function expectStarted(): Promise<void> {
    expect(await waitUntil(hasStarted, START_TIMEOUT_MS)).to.equal(true);
    expect(started.readEnd()).to.equal(undefined);
  }

  /** A fault that ends the process would also end the next one. */
  async function expectLife(): Promise<void> {
    expect(await waitForEnd(started, SETTLE_MS)).to.equal("lives");
  }

  async function expectStop(): Promise<void> {
    started.child.kill("SIGTERM");
    expect(await waitForEnd(started, START_TIMEOUT_MS)).to.equal("status 0");
  }

  async function holdPort(address: string): Promise<Server> {
    const [host, port] = address.split(":");
    const server = createServer().listen(Number(port), host);
    held.push(server);
    await new Promise((resolve) => server.once("listening", resolve));
    return server;
  }

  for (
    const { name, format } of [
      { name: "missing", format: () => undefined },
      { name: "empty", format: () => "" },
      { name: "cut off", format: (text: string) => text.slice(0, 90) },
      { name: "wrong", format: () => `{"entry": 7}` },
    ]
  ) {
    // The platform starts an ended process into the same moment again.
    it(`waits for settings that are ${name} at the start`, async () => {
      await start({ formatSettings: (right) => format(JSON.stringify(right)) });
      await expectLife();
      expect(started.readLog()).to.contain("start_delayed");
      writeFileSync(started.settingsFile, JSON.stringify(started.settings));
      await expectStarted();
      await expectStop();
    });
  }

  // A process that cannot be stopped is killed.
  it("can be stopped while it waits for settings", async () => {
    await start({ formatSettings: () => undefined });
    await expectLife();
    started.child.kill("SIGHUP");
    await expectStop();
  });

  // The platform may fill in fields that this version does not know.
  it("starts with settings that have an unknown field", async () => {
    await start({
      formatSettings: (right) => JSON.stringify({ ...right, color: 1 }),
    });
    await expectStarted();
    expect(started.readLog()).to.contain('unknown key \\"color\\"');
  });

  for (const state of ["missing", "a directory"]) {
    // What a signal handler throws ends the process.
    it(`outlives SIGHUP while the settings are ${state}`, async () => {
      await start();
      await expectStarted();
      renameSync(started.settingsFile, `${started.settingsFile}.old`);
      if (state === "a directory") {
        rmSync(`${started.settingsFile}.old`);
        mkdirSync(started.settingsFile);
      }
      started.child.kill("SIGHUP");
      await expectLife();
      expect(
        await readCounter(started, { name: ERRORS, label: "settings" }),
      ).to.equal(1);
    });
  }

  for (
    const listener of ["callers", "ready", "addresses", "control"] as const
  ) {
    // The platform starts an ended process into the same moment again.
    it(`waits for the port of ${listener}`, async () => {
      let server: Server | undefined;
      await start({
        onSettings: async (settings) => {
          server = await holdPort(settings[listener]);
        },
      });
      await expectLife();
      // Readiness and addresses are for entries that serve already.
      if (listener === "callers" || listener === "control") {
        expect(await isReady(started)).to.equal(false);
      }
      expect(started.readLog()).to.contain("EADDRINUSE");
      server?.close();
      expect(
        await waitUntil(
          () =>
            fetch(`http://${started.settings[listener]}/`).then(
              () => true,
              () => false,
            ),
          START_TIMEOUT_MS,
        ),
      ).to.equal(true);
      await expectStarted();
      await expectStop();
    });
  }

  // Metrics are the least of what an entry does.
  it("starts while the port of metrics is in use", async () => {
    await start({
      onSettings: async ({ metrics }) => void await holdPort(metrics),
    });
    await expectStarted();
    await expectLife();
    await expectStop();
  });

  it("can be stopped while it waits for a port", async () => {
    await start({
      onSettings: async ({ callers }) => void await holdPort(callers),
    });
    await expectLife();
    await expectStop();
  });

  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    // A stopped entry must not look like one that failed.
    it(`ends with status 0 by ${signal} while it loads`, async () => {
      await start({ preloaded: formatEarlySignal(signal) });
      expect(await waitForEnd(started, START_TIMEOUT_MS)).to.equal("status 0");
    });
  }

  it("stops by SIGINT", async () => {
    await start();
    await expectStarted();
    started.child.kill("SIGINT");
    expect(await waitForEnd(started, START_TIMEOUT_MS)).to.equal("status 0");
  });

  for (
    const signal of [
      "SIGUSR1",
      "SIGUSR2",
      "SIGALRM",
      "SIGVTALRM",
      "SIGIO",
      "SIGPWR",
    ] as const
  ) {
    // The default action ends the process, or opens a port for debuggers.
    it(`outlives ${signal}, also while it loads`, async () => {
      await start({ preloaded: formatEarlySignal(signal) });
      await expectStarted();
      started.child.kill(signal);
      await expectLife();
      const count = await readCounter(started, {
        name: ERRORS,
        label: "signal",
      });
      expect(count).to.equal(2);
      expect(started.readLog()).not.to.contain("Debugger");
    });
  }

  // Signals that arrive while the process is frozen are delivered at once.
  it("obeys signals that it got while it was frozen", async () => {
    await start();
    await expectStarted();
    started.child.kill("SIGSTOP");
    await sleep(100);
    for (const signal of ["SIGHUP", "SIGUSR2", "SIGTERM"] as const) {
      started.child.kill(signal);
    }
    started.child.kill("SIGCONT");
    await sleep(100);
    started.child.kill("SIGTERM");
    started.child.kill("SIGHUP");
    expect(await waitForEnd(started, START_TIMEOUT_MS)).to.equal("status 0");
  });
});
