import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_MS = 15_000;
/** Entries wait for each other before they write. */
const WRITE_MS = 6_000;
const LONG_NAME = "s".repeat(300);

/** Guards against names in records that end the process that reads them. */
describe("an endpoint of a service with a long name", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: ProgramProcess | undefined;

  after(() => {
    entry?.kill();
    store.close();
  });

  it("ends no entry", async () => {
    store = await startTopicStore();
    const config = JSON.stringify(createSoakConfig(1, { isRevoked: false }))
      .replaceAll('"service":"chat"', `"service":"${LONG_NAME}"`)
      .replaceAll(
        '"name":"chat","maxConns"',
        `"name":"${LONG_NAME}","maxConns"`,
      );
    store.put(TOPIC.operators, CONFIG_KEY, JSON.parse(config) as object);
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-names-")),
    });
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
    store.put(TOPIC.endpoints, "i-0", {
      service: LONG_NAME,
      address: "127.0.0.1:1",
      zone: "z",
      state: "ready",
      version: "v1",
      born: Date.now(),
    });
    await sleep(WRITE_MS);
    expect(entry.isAlive(), entry.readLog().slice(-700)).to.equal(true);
    expect(entry.readLog()).to.contain("versions_recorded");
  });
});
