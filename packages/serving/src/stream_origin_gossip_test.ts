import type { PeerHealth, PeerView } from "@mangoreach/coordination";
import {
  createStreamOrigins,
  createVersionHistory,
} from "@mangoreach/coordination";
import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { StreamLog } from "./stream_log.ts";
import type { StreamOriginGossip } from "./stream_origin_gossip.ts";
import { createStreamOriginGossip } from "./stream_origin_gossip.ts";
import { createTestEndpoint, createTestPeer } from "./test_support.ts";

const DELIVERY: Millis = 5;
const QUERY_TIMEOUT: Millis = 200;
const NO_LOG: StreamLog = {
  write: () => {},
  readRows: () => Promise.resolve([]),
  isReading: () => false,
};
const ORIGIN = { pool: "pool", endpoint: "a", version: "v1" };

interface Fleet {
  clock: FakeClock;
  gossips: StreamOriginGossip[];
  /** Entries that neither send nor reply. */
  silent: Set<number>;
  /** Messages sent so far. */
  countSent(): number;
  /** The entries that the others consider lost. */
  lost: Set<number>;
}

/** Entries that deliver each other's messages after some milliseconds. */
function createFleet(size: number, streamLog = NO_LOG): Fleet {
  const clock = createFakeClock(0);
  const silent = new Set<number>();
  const lost = new Set<number>();
  let sent = 0;
  const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
  const readHealth = (index: number): PeerHealth =>
    lost.has(index) ? "lost" : "alive";
  const gossips: StreamOriginGossip[] = names.map((_, self) => {
    const reach = async (address: string) => {
      sent++;
      const to = names.indexOf(address);
      await clock.sleep(DELIVERY);
      return silent.has(self) || silent.has(to) ? undefined : gossips[to];
    };
    return createStreamOriginGossip({
      clock,
      origins: createStreamOrigins(clock),
      history: createVersionHistory(clock),
      readEndpointAge: () => 0,
      membership: {
        list: () =>
          names.map((name, index): PeerView => ({
            record: createTestPeer(name),
            health: readHealth(index),
            age: 0,
          })).filter((_view, index) => index !== self),
      },
      streamLog,
      send: async (address, rows) => (await reach(address))?.handleRows(rows),
      query: async (address, query) => {
        const peer = await reach(address);
        if (peer !== undefined) return peer.answer(query);
        await clock.sleep(QUERY_TIMEOUT);
        return undefined;
      },
    });
  });
  return { clock, gossips, silent, lost, countSent: () => sent };
}

/** Records one stream at the first entry and resumes it at the second. */
async function resume(
  size: number,
  { silent = [], lost = [] }: {
    silent?: readonly number[];
    lost?: readonly number[];
  } = {},
) {
  const fleet = createFleet(size);
  const { clock, gossips } = fleet;
  gossips[0]!.record({ key: "s", origin: ORIGIN, lifetime: 10_000 });
  await clock.advance(20);
  const recorded = fleet.countSent();
  silent.forEach((index) => fleet.silent.add(index));
  lost.forEach((index) => fleet.lost.add(index));
  const startedAt = clock.now();
  let took = Infinity;
  const found = gossips[1]!.find("s", ["pool"]).then((knowledge) => {
    took = clock.now() - startedAt;
    return knowledge;
  });
  await clock.advance(1_000);
  return {
    version: (await found).origin?.version,
    took,
    recorded,
    queried: fleet.countSent() - recorded,
  };
}

const range = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, index) => from + index);

describe("gossip of stream origins", () => {
  for (const size of [8, 87, 360]) {
    it(`finds a stream of an entry that has gone, among ${size}`, async () => {
      const { version, took, recorded, queried } = await resume(size, {
        silent: [0],
      });
      expect({ version, recorded, isSoon: took <= 10, queried })
        .to.deep.equal({
          version: "v1",
          recorded: 3,
          isSoon: true,
          queried: Math.min(size - 1, 8),
        });
    });
  }

  // Half of the entries are killed at once; others don't know it yet.
  it("finds nearly all streams after half of the entries have gone", async () => {
    const fleet = createFleet(40);
    const { clock, gossips, silent } = fleet;
    const keys = range(0, 200).map((number) => `s${number}`);
    keys.forEach((key, index) =>
      gossips[index % 20]!.record({ key, origin: ORIGIN, lifetime: 60_000 })
    );
    await clock.advance(20);
    range(0, 20).forEach((index) => silent.add(index));
    const found = Promise.all(
      keys.map(async (key, index) =>
        (await gossips[20 + index % 20]!.find(key, ["pool"])).origin
      ),
    );
    await clock.advance(1_000);
    const known = (await found).filter((origin) => origin !== undefined);
    expect(known.length / keys.length).to.be.greaterThan(0.8);
  });

  it("finds a stream through keepers that rank lower elsewhere", async () => {
    // The entry that resumes it still lists five that have been lost.
    const { version } = await resume(8, { silent: [0, 2, 3] });
    expect(version).to.equal("v1");
  });

  it("asks nobody about a stream that began here", async () => {
    const { gossips, countSent } = createFleet(8);
    gossips[0]!.record({ key: "s", origin: ORIGIN, lifetime: 10_000 });
    const before = countSent();
    const { origin } = await gossips[0]!.find("s", ["pool"]);
    expect([origin, countSent() - before]).to.deep.equal([ORIGIN, 0]);
  });

  // A frozen peer must not delay the refusal of a stream until its deadline.
  it("gives up on silent peers, and says that it did", async () => {
    const { clock, gossips, silent } = createFleet(8);
    silent.add(3);
    const startedAt = clock.now();
    const found = gossips[1]!.find("unknown", ["pool"])
      .then(({ origin, isPartial }) => ({
        origin,
        isPartial,
        took: clock.now() - startedAt,
      }));
    await clock.advance(1_000);
    expect(await found).to.deep.equal({
      origin: undefined,
      isPartial: true,
      took: DELIVERY + QUERY_TIMEOUT,
    });
  });

  // Callers were not told to come back, though it was known soon after.
  it("says that it may not know all while the log is being read", async () => {
    const partial: boolean[] = [];
    for (const isReading of [true, false]) {
      const log = { ...NO_LOG, isReading: () => isReading };
      const { clock, gossips } = createFleet(8, log);
      const found = gossips[0]!.find("unknown", ["pool"]);
      await clock.advance(1_000);
      partial.push((await found).isPartial);
    }
    expect(partial).to.deep.equal([true, false]);
  });

  it("says that it may not know all if it knows no peer", async () => {
    const { gossips } = createFleet(1);
    const { isPartial } = await gossips[0]!.find("unknown", ["pool"]);
    expect(isPartial).to.equal(true);
  });

  // Each call to the store has a price.
  it("writes streams to the store only where several versions serve", () => {
    const clock = createFakeClock(0);
    const history = createVersionHistory(clock);
    const written: string[] = [];
    const gossip = createStreamOriginGossip({
      clock,
      origins: createStreamOrigins(clock),
      history,
      readEndpointAge: () => 0,
      membership: { list: () => [] },
      streamLog: { ...NO_LOG, write: ([key]) => written.push(key) },
      send: () => Promise.resolve(),
      query: () => Promise.resolve(undefined),
    });
    const record = (key: string) =>
      gossip.record({ key, origin: ORIGIN, lifetime: 10_000 });
    const first = createTestEndpoint("a", { version: "v1" });
    history.update([first]);
    record("one version");
    history.update([first, createTestEndpoint("b", { version: "v2" })]);
    record("two versions");
    expect(written).to.deep.equal(["two versions"]);
  });

  // An entry that has just started has watched nothing itself.
  it("reads the versions that peers have watched", async () => {
    const clock = createFakeClock(0);
    const history = createVersionHistory(clock);
    history.update([createTestEndpoint("a", { version: "v1" })]);
    await clock.advance(5_000);
    let endpointAge = 0;
    const peer = createStreamOriginGossip({
      clock,
      origins: createStreamOrigins(clock),
      history,
      readEndpointAge: () => endpointAge,
      membership: { list: () => [] },
      streamLog: NO_LOG,
      send: () => Promise.resolve(),
      query: () => Promise.resolve(undefined),
    });
    const fresh = peer.answer({ key: null, pools: ["pool"] });
    endpointAge = 2_001;
    const stale = peer.answer({ key: null, pools: ["pool"] });
    expect([fresh, stale]).to.deep.equal([
      {
        stream: null,
        history: [{ pool: "pool", watchedFor: 5_000, versions: [["v1", 0]] }],
      },
      { stream: null, history: [] },
    ]);
  });
});
