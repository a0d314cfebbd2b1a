import { mkdtempSync } from "node:fs";
import type { Socket } from "node:net";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import { createFrame } from "./faulty_peer.ts";
import { LOOPBACK_HOST } from "./loopback_host.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const PEERS = 12;
const FAULT_MS = 4_000;
const START_MS = 15_000;
const HEARTBEAT_MS = 500;
/** Of a machine's 350 MB; a process has some 80 MB without requests. */
const MAX_MEMORY_MB = 250;
const UPGRADED = "HTTP/1.1 101 Switching Protocols\r\n" +
  "connection: Upgrade\r\nupgrade: mangoreach-peer\r\n\r\n";
const CALL_ID = /"id":(\d+)/g;

function repeatValue(value: string, count: number): string {
  return `[${`${value},`.repeat(count - 1)}${value}]`;
}

/** Objects whose name is an index take a list of that length in the heap. */
const VALUES: Readonly<Record<string, string>> = {
  "objects with an index as name": repeatValue(`{"35":1}`, 299_000),
  "objects with six indices as names": repeatValue(
    `{"143":1,"1":1,"2":1,"3":1,"4":1,"5":1}`,
    85_000,
  ),
  "short replies of such objects": repeatValue(`{"35":1}`, 58_000),
};

/** Guards against values that take more of the heap than is estimated. */
describe("an entry whose peers send values with indices as names", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: ProgramProcess | undefined;
  let heartbeats: NodeJS.Timeout | undefined;
  const closers: (() => void)[] = [];
  let answered = 0;

  async function answerCalls(socket: Socket, values: string): Promise<void> {
    socket.write(UPGRADED);
    for await (const data of socket as AsyncIterable<Buffer>) {
      for (const [, id] of String(data).matchAll(CALL_ID)) {
        answered++;
        socket.write(createFrame(`{"id":${id},"data":${values}}`));
        await sleep(0);
      }
    }
  }

  async function startPeer(values: string): Promise<string> {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      closers.push(() => socket.destroy());
      socket.once("data", () => {
        void answerCalls(socket, values).catch(() => {});
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, LOOPBACK_HOST, () => resolve())
    );
    closers.push(() => server.close());
    return readServerAddress(server);
  }

  afterEach(() => {
    clearInterval(heartbeats);
    entry?.kill();
    closers.splice(0).forEach((close) => close());
    store.close();
  });

  for (const [name, values] of Object.entries(VALUES)) {
    it(`lives and is ready: ${name}`, async () => {
      store = await startTopicStore();
      store.put(
        TOPIC.operators,
        CONFIG_KEY,
        createSoakConfig(1, { isRevoked: false }),
      );
      answered = 0;
      const addresses = await Promise.all(
        Array.from({ length: PEERS }, () => startPeer(values)),
      );
      let heartbeat = 0;
      const publishAll = () => {
        heartbeat++;
        addresses.forEach((address, index) =>
          store.put(TOPIC.entries, `peer-${index}`, {
            entry: `peer-${index}`,
            incarnation: `incarnation-${index}`,
            heartbeat,
            state: "live",
            configVersion: 1,
            inFlight: 0,
            strainedPriority: 0,
            startedAt: Date.now(),
            capacity: 1,
            place: "z",
            callerAddress: address,
            controlAddress: address,
          })
        );
      };
      publishAll();
      heartbeats = setInterval(publishAll, HEARTBEAT_MS);
      entry = await startProgram({
        name: "entry-0",
        store: store.address,
        folder: mkdtempSync(join(tmpdir(), "mangoreach-sparse-")),
        seeds: addresses.slice(0, 3),
      });
      expect(await entry.waitUntilReady(START_MS), entry.readLog().slice(-600))
        .to.equal(true);
      await sleep(FAULT_MS);
      const memory = entry.readPeakMemory();
      expect(answered).to.be.greaterThan(0);
      expect(entry.isAlive(), entry.readLog().slice(-600)).to.equal(true);
      expect(memory).to.be.within(1, MAX_MEMORY_MB);
    });
  }
});
