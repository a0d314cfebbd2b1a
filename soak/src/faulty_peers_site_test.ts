import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import type { FaultyPeer, PeerFault } from "./faulty_peer.ts";
import { PEER_FAULTS, startFaultyPeer } from "./faulty_peer.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

const PEERS = 12;
const SEEDS = 3;
const FAULT_MS = 4_000;
const START_MS = 15_000;
/** Peers are considered gone without heartbeats. */
const HEARTBEAT_MS = 500;
/** Of a machine's 350 MB; a process has some 80 MB without requests. */
const MAX_MEMORY_MB = 250;

/** Guards against peers whose replies take a process's memory or end it. */
describe("an entry whose peers are faulty", function () {
  this.timeout(40_000);
  let store: TopicStore;
  let entry: ProgramProcess | undefined;
  let peers: FaultyPeer[] = [];
  let heartbeats: NodeJS.Timeout | undefined;

  function publishPeer(index: number, heartbeat: number): void {
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
      callerAddress: peers[index]!.address,
      controlAddress: peers[index]!.address,
    });
  }

  async function startSite(fault: PeerFault): Promise<ProgramProcess> {
    store = await startTopicStore();
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(1, { isRevoked: false }),
    );
    peers = await Promise.all(
      Array.from({ length: PEERS }, () => startFaultyPeer(fault)),
    );
    let heartbeat = 0;
    const publishAll = () => {
      heartbeat++;
      peers.forEach((_peer, index) => publishPeer(index, heartbeat));
    };
    publishAll();
    heartbeats = setInterval(publishAll, HEARTBEAT_MS);
    return await startProgram({
      name: "entry-0",
      store: store.address,
      folder: mkdtempSync(join(tmpdir(), "mangoreach-peers-")),
      seeds: peers.slice(0, SEEDS).map(({ address }) => address),
    });
  }

  afterEach(() => {
    clearInterval(heartbeats);
    entry?.kill();
    peers.forEach((peer) => peer.close());
    store.close();
  });

  for (const fault of PEER_FAULTS) {
    it(`lives and is ready: ${fault}`, async () => {
      entry = await startSite(fault);
      expect(await entry.waitUntilReady(START_MS), entry.readLog().slice(-600))
        .to.equal(true);
      await sleep(FAULT_MS);
      const memory = entry.readPeakMemory();
      expect(entry.isAlive(), entry.readLog().slice(-600)).to.equal(true);
      expect(await entry.waitUntilReady(START_MS)).to.equal(true);
      expect(memory).to.be.within(1, MAX_MEMORY_MB);
      const accepted = peers.reduce((sum, peer) => sum + peer.accepted, 0);
      expect(accepted).to.be.greaterThan(0);
    });
  }
});
