import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import type { FaultyStore } from "./faulty_store.ts";
import { startFaultyStore, STORE_FAULTS } from "./faulty_store.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const FAULT_MS = 4_000;
const START_MS = 15_000;
/** Of a machine's 350 MB; a process has some 80 MB without requests. */
const MAX_MEMORY_MB = 250;

/** Guards against answers of the store that take a process's memory or end it. */
describe("an entry whose store answers with too much", function () {
  this.timeout(40_000);
  let sound: TopicStore;
  let store: FaultyStore;
  let entry: ProgramProcess;

  beforeEach(async () => {
    sound = await startTopicStore();
    sound.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    store = await startFaultyStore(sound.address);
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-store-")),
    });
  });

  afterEach(() => {
    entry.kill();
    store.close();
    sound.close();
  });

  for (const fault of STORE_FAULTS) {
    it(`lives and is ready again: ${fault}`, async () => {
      expect(await entry.waitUntilReady(START_MS)).to.equal(true);
      store.setFault(fault);
      await sleep(FAULT_MS);
      const memory = entry.readPeakMemory();
      expect(entry.isAlive(), entry.readLog().slice(-600)).to.equal(true);
      expect(memory).to.be.within(1, MAX_MEMORY_MB);
      expect(store.faultyCount).to.be.greaterThan(0);
      store.setFault(undefined);
      expect(await entry.waitUntilReady(START_MS)).to.equal(true);
    });
  }
});
