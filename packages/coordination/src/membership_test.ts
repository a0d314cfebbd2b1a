import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import type { PeerRecord } from "./membership.ts";
import { createMembership } from "./membership.ts";

function peer(entry: string, change: Partial<PeerRecord> = {}): PeerRecord {
  return {
    entry,
    incarnation: `${entry}-a`,
    startedAt: 0,
    place: "odda",
    callerAddress: "127.0.0.1:1",
    controlAddress: "127.0.0.1:2",
    state: "live",
    heartbeat: 1,
    configVersion: 1,
    inFlight: 0,
    capacity: 1,
    strainedPriority: 0,
    ...change,
  };
}

describe("membership", () => {
  function create(random = () => 0.5) {
    const clock = createFakeClock(0);
    const members = createMembership({
      clock,
      self: peer("self"),
      random,
      suspectTimeout: 100,
      lostTimeout: 300,
    });
    return { clock, members };
  }

  it("marks a peer without new heartbeats as suspected, then as lost", async () => {
    const { clock, members } = create();
    members.merge([peer("b")]);
    const health = () => members.list()[0]?.health;
    expect(health()).to.equal("alive");
    await clock.advance(100);
    members.merge([peer("b")]);
    expect(health()).to.equal("suspected");
    await clock.advance(200);
    expect(health()).to.equal("lost");
    members.merge([peer("b", { heartbeat: 2 })]);
    expect(health()).to.equal("alive");
  });

  // Only some entries cannot reach the peer; others still receive its
  // heartbeats.
  it("suspects an unreachable peer until its next heartbeat", () => {
    const { members } = create();
    members.merge([peer("b", { heartbeat: 5 })]);
    const health = () => members.list()[0]?.health;
    const suspicion = { incarnation: "b-a", heartbeat: 6 };
    expect(members.markSuspected({ ...suspicion, heartbeat: 4 })).to.equal(
      false,
    );
    expect(health()).to.equal("alive");
    expect(members.markSuspected(suspicion)).to.equal(true);
    expect(members.markSuspected(suspicion)).to.equal(false);
    members.merge([peer("b", { heartbeat: 6 })]);
    expect(health()).to.equal("suspected");
    expect(members.chooseSuspicions(8)).to.deep.equal([suspicion]);
    members.merge([peer("b", { heartbeat: 7 })]);
    expect(health()).to.equal("alive");
    expect(members.chooseSuspicions(8)).to.deep.equal([]);
  });

  it("accepts a later incarnation and ignores records of an earlier one", () => {
    const { members } = create();
    members.merge([peer("b", { incarnation: "b-2", startedAt: 50 })]);
    members.merge([peer("b", { heartbeat: 99 })]);
    expect(members.list()[0]?.record.incarnation).to.equal("b-2");
  });

  // The wall clock is set back by seconds, and an entry is killed and restarted
  // before it is corrected. By its start time it is older than its predecessor:
  // peers ignored its records, and no caller was sent to it for minutes.
  it("replaces its predecessor although the wall clock was set back", () => {
    const known = createMembership({
      clock: createFakeClock(0),
      self: peer("b"),
      random: () => 0.5,
      suspectTimeout: 100,
      lostTimeout: 300,
    });
    known.merge([peer("self", { incarnation: "before", startedAt: 5_000 })]);
    const { members } = create();
    known.merge([members.self]);
    expect(known.list()[0]?.record.incarnation).to.equal("before");
    members.merge(known.chooseRecords(6));
    known.merge([members.self]);
    expect(known.list()[0]?.record.incarnation).to.equal("self-a");
  });

  it("sends a bounded number of records, its own first", () => {
    const { members } = create();
    members.merge(Array.from({ length: 360 }, (_, i) => peer(`e${i}`)));
    const records = members.chooseRecords(12);
    expect(records.length).to.equal(12);
    expect(records[0]?.entry).to.equal("self");
  });

  // Sixty entries, and one exchange a second carries six records. With only the
  // most recent records, most peers got no update for ten seconds and were not
  // offered to callers.
  it("includes every peer in some message over time", () => {
    const clock = createFakeClock(0);
    const random = new Random(MersenneTwister19937.seed(3));
    const members = createMembership({
      clock,
      self: peer("self"),
      random: () => random.real(0, 1),
      suspectTimeout: 2_500,
      lostTimeout: 6_000,
    });
    members.merge(Array.from({ length: 60 }, (_, i) => peer(`e${i}`)));
    const sent = new Set<string>();
    for (let message = 0; message < 60; message++) {
      members.merge([peer("e0", { heartbeat: 10 + message })]);
      members.chooseRecords(7).forEach(({ entry }) => sent.add(entry));
    }
    expect(sent.size).to.equal(61);
  });

  // A fleet of 86 has eight large instances, on which all entries must agree:
  // an entry that lacks one chooses another dispatcher for a pool; the
  // endpoints get the calls of both.
  it("includes records of some large instances in every message", () => {
    const { members } = create();
    const large = (i: number) => (i % 10 === 0 ? { capacity: 4 } : {});
    const all = Array.from({ length: 80 }, (_, i) => peer(`e${i}`, large(i)));
    members.merge(all);
    const records = members.chooseRecords(6);
    expect(records.filter(({ capacity }) => capacity === 4).length)
      .to.equal(8);
    expect(records.length).to.equal(14);
  });

  // The store still holds the record of an instance that has lost its power.
  // Each caller sent to it would lose a second.
  it("suspects peers read from the store until they send a heartbeat", () => {
    const { members } = create();
    members.mergeUnverified([peer("b")]);
    expect(members.list()[0]?.health).to.equal("suspected");
    members.mergeUnverified([peer("b")]);
    members.merge([peer("b", { heartbeat: 2 })]);
    expect(members.list()[0]?.health).to.equal("alive");
  });

  it("uses longer time-outs in a large fleet", async () => {
    const clock = createFakeClock(0);
    const members = createMembership({
      clock,
      self: peer("self"),
      random: () => 0.5,
      suspectTimeout: 100,
      lostTimeout: 300,
      computeTimeoutFactor: (known) => known,
    });
    members.merge([peer("b"), peer("c")]);
    await clock.advance(150);
    expect(members.list()[0]?.health).to.equal("alive");
  });

  it("prefers peers in its own place and sometimes chooses others", () => {
    const own = create(() => 0.9);
    own.members.merge([peer("near"), peer("far", { place: "voss" })]);
    expect(own.members.choosePeer()?.entry).to.equal("near");
    const other = create(() => 0.2);
    other.members.merge([peer("near"), peer("far", { place: "voss" })]);
    expect(other.members.choosePeer()?.entry).to.equal("far");
  });

  // Two regions are partitioned for an hour, and each half marks the other as
  // lost. Without occasional attempts they would never reconnect.
  it("occasionally contacts lost peers, so that a network partition heals", async () => {
    const { members, clock } = create(() => 0.05);
    members.merge([peer("b")]);
    await clock.advance(1_000);
    members.merge([peer("c", { heartbeat: 5 })]);
    expect(members.choosePeer()?.entry).to.equal("b");
  });
});
