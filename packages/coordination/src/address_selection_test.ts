import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import type { AddressCandidate } from "./address_selection.ts";
import type { PeerHealth, PeerRecord } from "./membership.ts";
import { chooseAddresses, sampleEntries } from "./address_selection.ts";

function candidate(
  entry: string,
  change: Partial<AddressCandidate> = {},
): AddressCandidate {
  return {
    entry,
    incarnation: entry,
    place: "odda",
    callerAddress: entry,
    state: "live",
    health: "alive",
    inFlight: 0,
    age: 0,
    ...change,
  };
}

describe("address choice", () => {
  const seeded = new Random(MersenneTwister19937.seed(3));
  const random = () => seeded.realZeroToOneExclusive();

  function countFirst(candidates: AddressCandidate[], place?: string) {
    const counts = new Map<string, number>();
    for (let i = 0; i < 4_000; i++) {
      const { ordered } = chooseAddresses(candidates, {
        callerPlace: place,
        limit: 4,
        random,
      });
      const first = ordered[0]?.entry ?? "";
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    return (entry: string) => counts.get(entry) ?? 0;
  }

  it("omits entries that are leaving or suspected", () => {
    const { ordered, keep } = chooseAddresses([
      candidate("a"),
      candidate("b", { state: "leaving" }),
      candidate("c", { health: "suspected" }),
    ], { callerPlace: "odda", limit: 4, random });
    expect(ordered.map(({ entry }) => entry)).to.deep.equal(["a"]);
    expect(keep).to.be.at.most(2_000);
  });

  it("spreads callers over equal entries instead of always choosing one", () => {
    const count = countFirst([candidate("a"), candidate("b")]);
    expect(count("a") / count("b")).to.be.within(0.85, 1.18);
  });

  it("prefers the caller's place without leaving other places idle", () => {
    const count = countFirst(
      [candidate("near"), candidate("far", { place: "voss" })],
      "odda",
    );
    expect(count("near") / count("far")).to.be.within(3, 5);
  });

  it("sends fewer callers to a busy entry, but discounts old load reports", () => {
    const fresh = countFirst([
      candidate("busy", { inFlight: 200 }),
      candidate("idle"),
    ]);
    const old = countFirst([
      candidate("busy", { inFlight: 200, age: 10_000 }),
      candidate("idle"),
    ]);
    expect(fresh("busy")).to.be.below(fresh("idle") / 3);
    expect(old("busy")).to.be.above(fresh("busy"));
  });
});

describe("entries sampled for a caller", () => {
  const seeded = new Random(MersenneTwister19937.seed(5));
  const random = () => seeded.realZeroToOneExclusive();

  function createViews(count: number, health: PeerHealth) {
    return Array.from({ length: count }, (_, index) => ({
      record: { entry: `${health}-${index}`, state: "live" } as PeerRecord,
      health,
    }));
  }

  // With 195 entries and 64 to an answer, a fixed set of 64 would make a third
  // of the fleet carry all of its load.
  it("are sampled anew for each answer", () => {
    const views = createViews(195, "alive");
    const counts = new Map<string, number>();
    for (let answer = 0; answer < 1_000; answer++) {
      const sample = sampleEntries(views, {
        limit: 64,
        random,
        isDiscovering: false,
      });
      expect(new Set(sample).size).to.equal(64);
      for (const { entry } of sample) {
        counts.set(entry, (counts.get(entry) ?? 0) + 1);
      }
    }
    expect(counts.size).to.equal(195);
    expect(Math.max(...counts.values())).to.be.at.most(400);
  });

  // All processes restart at once. The first to be back has discovered three
  // others, and every caller in its place asks it.
  it("include suspected entries while this one has just started", () => {
    const views = [...createViews(3, "alive"), ...createViews(60, "suspected")];
    const count = (isDiscovering: boolean) =>
      sampleEntries(views, { limit: 64, random, isDiscovering }).length;
    expect(count(true)).to.equal(63);
    expect(count(false)).to.equal(3);
  });

  it("exclude entries that are leaving or lost", () => {
    const views = [
      ...createViews(2, "lost"),
      ...createViews(1, "alive").map(({ record, health }) => ({
        record: { ...record, state: "leaving" as const },
        health,
      })),
    ];
    expect(sampleEntries(views, { limit: 64, random, isDiscovering: true }))
      .to.deep.equal([]);
  });
});
