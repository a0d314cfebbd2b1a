import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import type { ProgramOptions, ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { StoreMode, TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const READY_MS = 30_000;
const STOP_MS = 12_000;
const FROZEN_MS = 3_000;
const STEPS_MS = 6_000;
const SHARED_CORE = 0;
const PROCESSES = 6;
const CLOCK_STEPS = resolve("soak/src/clock_steps.cjs");

/** Guards against processes that end by themselves while they start or stop. */
describe("an entry that is disturbed while it starts or stops", function () {
  this.timeout(60_000);
  let store: TopicStore;
  let entries: ProgramProcess[] = [];

  beforeEach(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
  });

  afterEach(() => {
    entries.forEach((entry) => entry.kill());
    entries = [];
    store.close();
  });

  async function startEntries(
    count: number,
    options: Partial<ProgramOptions> = {},
  ): Promise<void> {
    for (let index = 0; index < count; index++) {
      entries.push(
        await startProgram({
          name: `entry-${index}`,
          store: store.address,
          folder: mkdtempSync(join(tmpdir(), "mangoreach-start-")),
          seeds: entries.slice(0, 3).map(({ ports }) => ports.control),
          ...options,
        }),
      );
    }
  }

  async function expectReady(): Promise<void> {
    const ready = await Promise.all(
      entries.map((entry) => entry.waitUntilReady(READY_MS)),
    );
    const log = entries.find((_entry, index) => !ready[index])?.readLog();
    expect(ready, log?.slice(-700)).to.deep.equal(entries.map(() => true));
  }

  /** Stops all entries and resolves with how each ended. */
  async function stopEntries(pause: number): Promise<unknown[]> {
    return await Promise.all(entries.map(async ({ child }) => {
      const exited = new Promise((done) =>
        child.once("exit", (code, signal) => done(code ?? signal))
      );
      child.kill("SIGTERM");
      if (pause > 0) {
        await sleep(100);
        child.kill("SIGSTOP");
        await sleep(pause);
        child.kill("SIGCONT");
      }
      return await Promise.race([exited, sleep(STOP_MS, "running")]);
    }));
  }

  for (const mode of ["good", "slow", "silent", "failing"] as StoreMode[]) {
    it(`is ready on a shared core, after a store that is ${mode}`, async () => {
      store.setMode(mode);
      await startEntries(PROCESSES, { core: SHARED_CORE });
      await sleep(FROZEN_MS);
      store.setMode("good");
      await expectReady();
      expect(await stopEntries(0)).to.deep.equal(entries.map(() => 0));
    });

    it(`is ready after a freeze, with a store that is ${mode}`, async () => {
      store.setMode(mode);
      // At different moments of the start.
      for (const delay of [20, 60, 120, 250, 500]) {
        await startEntries(1, { name: `entry-after-${delay}` });
        const { child } = entries.at(-1)!;
        setTimeout(() => child.kill("SIGSTOP"), delay);
      }
      await sleep(FROZEN_MS);
      entries.forEach(({ child }) => child.kill("SIGCONT"));
      store.setMode("good");
      await expectReady();
      store.setMode(mode);
      expect(await stopEntries(FROZEN_MS)).to.deep.equal(entries.map(() => 0));
    });
  }

  it("is ready while its wall clock steps", async () => {
    await startEntries(3, { nodeArguments: ["--require", CLOCK_STEPS] });
    await expectReady();
    await sleep(STEPS_MS);
    expect(entries.map((entry) => entry.isAlive()))
      .to.deep.equal(entries.map(() => true));
    await expectReady();
    expect(await stopEntries(0)).to.deep.equal(entries.map(() => 0));
  });
});
