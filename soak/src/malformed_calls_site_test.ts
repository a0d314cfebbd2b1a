import { mkdtempSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, PATH, TOPIC } from "../../platform/src/wire_names.ts";
import { PEER_PATH } from "../../packages/peers/src/peer_path.ts";
import type { EntryPorts } from "./entry_settings.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const START_MS = 15_000;
const ANSWER_MS = 300;
const TUNNEL = "connection: upgrade\r\nupgrade: mangoreach-tunnel\r\n";
const PEER = "connection: upgrade\r\nupgrade: mangoreach-peer\r\n";
const TARGETS = [
  "/",
  "//",
  "///",
  "*",
  "http://[",
  "http://:x/",
  `${PEER_PATH}ping?input=%`,
  `${PEER_PATH}readTopics?input=%E0%A4%A`,
  `${PEER_PATH}readTopics?input=[`,
  `${PEER_PATH}exchange`,
  `${PEER_PATH}__proto__`,
  `${PEER_PATH}constructor.name`,
  `${PEER_PATH}toString`,
  `${PEER_PATH}tunnel?id=x&address=x`,
  `${PEER_PATH}tunnel?ended=%`,
  `${PATH.addresses}?%`,
  `${PATH.ready}?input=%`,
];

/** Guards against targets of requests that end the process. */
describe("an entry that gets malformed calls", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: ProgramProcess;

  before(async () => {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
  });

  beforeEach(async () => {
    entry = await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-calls-")),
    });
    expect(await entry.waitUntilReady(START_MS)).to.equal(true);
  });

  afterEach(() => entry.kill());
  after(() => store.close());

  async function send(address: string, text: string): Promise<void> {
    const [host = "", port = ""] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => {});
    socket.write(text);
    await sleep(ANSWER_MS);
    socket.destroy();
  }

  /** Returns the calls after which the process was no longer alive. */
  async function sendAll(
    port: keyof EntryPorts,
    headers: string,
  ): Promise<string[]> {
    for (const method of ["GET", "POST", "OPTIONS"]) {
      const calls = TARGETS.map((target) => `${method} ${target} HTTP/1.1`);
      await Promise.all(
        calls.map((call) =>
          send(entry.ports[port], `${call}\r\nhost: x\r\n${headers}\r\n`)
        ),
      );
      if (!entry.isAlive()) return [method, entry.readLog().slice(-800)];
    }
    return [];
  }

  for (
    const port of [
      "control",
      "callers",
      "ready",
      "addresses",
      "metrics",
    ] as const
  ) {
    it(`lives: calls to ${port}`, async () => {
      expect(await sendAll(port, "")).to.deep.equal([]);
    });
    it(`lives: upgrades to a connection, to ${port}`, async () => {
      expect(await sendAll(port, PEER)).to.deep.equal([]);
    });
    it(`lives: upgrades to a tunnel, to ${port}`, async () => {
      expect(await sendAll(port, TUNNEL)).to.deep.equal([]);
    });
  }
});
