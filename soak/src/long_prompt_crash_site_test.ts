import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { SoakServer } from "./soak_server.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const ENDPOINTS = 8;
const CALLS = 10;
const PAUSE_MS = 700;
const START_MS = 15_000;
const CRASHING_BODY = "crashing";
/** The longest ids that are told apart as they are. */
const PARTS = Array.from(
  { length: 10 },
  (_part, index) => `${String(index).repeat(32)}:100`,
);

/** Guards against records of a quarantine that end the process that writes them. */
describe("a prompt of many long parts that crashes each endpoint", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: ProgramProcess;
  const endpoints: SoakServer[] = [];

  async function startEndpoint(id: string): Promise<void> {
    const endpoint = await startSoakServer(async (message, response) => {
      const body = String(await readCompleteBody(message));
      if (body === CRASHING_BODY) {
        endpoint.close();
        return store.put(TOPIC.endpoints, id, undefined);
      }
      const requestId = String(message.headers[HEADER.requestId]);
      response.setHeader(HEADER.requestId, requestId);
      response.setHeader(HEADER.proof, "proof");
      response.end("done");
    });
    endpoints.push(endpoint);
    store.put(TOPIC.endpoints, id, {
      service: "plain",
      address: endpoint.address,
      zone: "z",
      state: "ready",
      born: Date.now(),
    });
  }

  async function start(name: string): Promise<ProgramProcess> {
    const started = await startProgram({
      name,
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-prompt-")),
    });
    expect(await started.waitUntilReady(START_MS)).to.equal(true);
    return started;
  }

  before(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    for (let index = 0; index < ENDPOINTS; index++) {
      await startEndpoint(`i-${index}`);
    }
    entry = await start("entry-0");
  });

  after(() => {
    entry.kill();
    endpoints.forEach((endpoint) => endpoint.close());
    store.close();
  });

  let count = 0;
  async function call(body: string): Promise<number> {
    const id = `r-${count++}`;
    const reply = await request(`http://${entry.ports.callers}/once/x`, {
      method: "POST",
      body,
      headers: {
        host: "soak.example",
        authorization: "Bearer key-1",
        [HEADER.requestId]: id,
        [HEADER.deadline]: "2000",
        [HEADER.promptParts]: PARTS.join(),
      },
    });
    await reply.body.dump();
    return reply.statusCode;
  }

  it("is refused, by an entry that lives", async () => {
    let status = 0;
    for (let index = 0; index < CALLS && entry.isAlive(); index++) {
      status = await call(CRASHING_BODY).catch(() => 0);
      await sleep(PAUSE_MS);
    }
    expect(entry.isAlive(), entry.readLog().slice(-700)).to.equal(true);
    expect(status).to.equal(503);
  });

  it("is refused by an entry that starts afterwards", async () => {
    entry.kill();
    entry = await start("entry-1");
    expect(await call(CRASHING_BODY)).to.equal(503);
    expect(entry.isAlive()).to.equal(true);
  });
});
