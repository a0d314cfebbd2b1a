import type { EndpointInfo, PeerRecord } from "@mangoreach/coordination";
import {
  createMembership,
  createVersionHistory,
  findOnlyVersion,
  MAX_STREAM_LIFETIME,
} from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { TopicRecord } from "./platform_interfaces.ts";
import { createTestEndpoint, createTestPeer } from "./test_support.ts";
import type { VersionRecord, VersionRecords } from "./version_records.ts";
import { createVersionRecords } from "./version_records.ts";

const FIRST_WRITE = 2_100;
const NEXT_WRITE = 300;

function createEndpoints(...versions: string[]): EndpointInfo[] {
  return versions.map((version, index) =>
    createTestEndpoint(`${version}-${index}`, { version })
  );
}

/** A store with the records of one pool, and the entries that follow it. */
function createSite() {
  const clock = createFakeClock(0);
  const written: string[][] = [];
  const followers: VersionRecords[] = [];
  let current: TopicRecord[] = [];
  let isAvailable = true;

  const store = {
    publish: ({ pool, versions }: VersionRecord) => {
      if (!isAvailable) return Promise.resolve(Result.err("status 503"));
      written.push(versions.map(String));
      const record = { key: pool, value: JSON.stringify(versions) };
      current = [record];
      followers.forEach(({ apply }) => apply(record));
      return Promise.resolve(Result.ok(null));
    },
    decode: ({ key, value = "[]" }: TopicRecord): VersionRecord => ({
      pool: key,
      versions: JSON.parse(value) as string[],
    }),
  };

  function startEntry(name: string, peers: readonly PeerRecord[] = []) {
    const history = createVersionHistory(clock);
    const membership = createMembership({
      clock,
      random: () => 0,
      suspectTimeout: 1e9,
      lostTimeout: 1e9,
      self: createTestPeer(name),
    });
    peers.forEach((peer) => membership.merge([peer]));
    const records = createVersionRecords({
      clock,
      log: createSilentDecisionLog(),
      store: store as never,
      history,
      membership,
      listPools: () => ["pool"],
    });
    followers.push(records);
    records.replaceAll(current);
    return {
      update(endpoints: readonly EndpointInfo[]) {
        history.update(endpoints);
        records.update();
      },
      findOnly: () =>
        findOnlyVersion([history.read("pool")], MAX_STREAM_LIFETIME),
      restore: (old: readonly TopicRecord[]) => records.replaceAll(old),
    };
  }

  return {
    clock,
    written,
    startEntry,
    stopAll: () => followers.splice(0),
    setAvailable: (value: boolean) => void (isAvailable = value),
    readStored: () => current,
  };
}

describe("records of versions", () => {
  // Guards against streams of two versions after a restart of all entries.
  it("tell entries that start later what served before", async () => {
    const { clock, written, startEntry, stopAll } = createSite();
    const first = startEntry("first");
    first.update(createEndpoints("v1"));
    await clock.advance(FIRST_WRITE);
    first.update(createEndpoints("v2"));
    await clock.advance(NEXT_WRITE);
    stopAll();
    const second = startEntry("second");
    second.update(createEndpoints("v2"));
    await clock.advance(60_000);
    const found = [second.findOnly()];
    await clock.advance(MAX_STREAM_LIFETIME);
    found.push(second.findOnly());
    expect({ written, found }).to.deep.equal({
      written: [["v1"], ["v1", "v2"], ["v2"]],
      found: [undefined, "v2"],
    });
  });

  // Guards against streams of a sound pool that nobody may resume after a
  // restart of all entries.
  it("tell entries that start later of a version that has been alone", async () => {
    const { clock, written, startEntry, stopAll } = createSite();
    startEntry("first").update(createEndpoints("v1"));
    await clock.advance(FIRST_WRITE);
    stopAll();
    const second = startEntry("second");
    second.update(createEndpoints("v1"));
    expect(second.findOnly()).to.equal("v1");
    await clock.advance(FIRST_WRITE);
    expect(written).to.deep.equal([["v1"]]);
  });

  // The version before may have begun streams until all entries stopped.
  it("count a version that went while no entry ran", async () => {
    const { clock, startEntry, stopAll } = createSite();
    startEntry("first").update(createEndpoints("v1"));
    await clock.advance(FIRST_WRITE);
    stopAll();
    const second = startEntry("second");
    second.update(createEndpoints("v2"));
    await clock.advance(60_000);
    expect(second.findOnly()).to.equal(undefined);
  });

  it("are written by one of several entries", async () => {
    const { clock, written, startEntry } = createSite();
    const names = ["a", "b", "c", "d"];
    const entries = names.map((name) =>
      startEntry(
        name,
        names.filter((other) => other !== name).map(createTestPeer),
      )
    );
    entries.forEach(({ update }) => update(createEndpoints("v1")));
    await clock.advance(15_000);
    expect(written).to.deep.equal([["v1"]]);
  });

  it("are written again until the store accepts them", async () => {
    const { clock, written, startEntry, setAvailable } = createSite();
    setAvailable(false);
    startEntry("first").update(createEndpoints("v1"));
    await clock.advance(FIRST_WRITE);
    setAvailable(true);
    await clock.advance(1_000);
    expect(written).to.deep.equal([["v1"]]);
  });

  it("are written again to a store that was restored from a copy", async () => {
    const { clock, written, startEntry, readStored } = createSite();
    const entry = startEntry("first");
    entry.update(createEndpoints("v1"));
    await clock.advance(FIRST_WRITE);
    const copy = readStored();
    entry.update(createEndpoints("v1", "v2"));
    await clock.advance(NEXT_WRITE);
    entry.restore(copy);
    await clock.advance(NEXT_WRITE);
    expect(written).to.deep.equal([["v1"], ["v1", "v2"], ["v1", "v2"]]);
  });
});
