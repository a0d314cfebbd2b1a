import { expect } from "chai";
import fc from "fast-check";
import process from "node:process";
import { MersenneTwister19937, Random } from "random-js";
import type { PeerHealth, PeerRecord } from "../membership.ts";
import { sampleItems } from "../sampling.ts";
import type { SampledView } from "./entry_sample.ts";
import { sampleEntries } from "./entry_sample.ts";

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

  // Detached entries serve callers through the others, but more slowly. If most
  // of the fleet is detached, the others alone could not bear all callers.
  it("exclude detached entries only while they are few", () => {
    const list = (detached: number) => {
      const views = createViews(8, "alive").map((
        { record, health },
        index,
      ) => ({
        record: index < detached
          ? { ...record, state: "detached" as const }
          : record,
        health,
      }));
      return sampleEntries(views, { limit: 64, random, isDiscovering: false })
        .filter(({ state }) => state === "detached").length;
    };
    expect([1, 2, 3, 4, 7, 8].map(list)).to.deep.equal([0, 0, 3, 4, 7, 8]);
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

describe("entries sampled by capacity", () => {
  function createRandom(seed: number) {
    const seeded = new Random(MersenneTwister19937.seed(seed));
    return () => seeded.realZeroToOneExclusive();
  }
  const random = createRandom(7);

  function sample(views: SampledView[], isDiscovering = false) {
    return sampleEntries(views, { limit: 64, random, isDiscovering });
  }

  /** Creates live entries, given `[count, capacity]` for each size. */
  function createFleet(...sizes: [number, number | undefined][]) {
    return sizes.flatMap(([count, capacity]) =>
      Array.from({ length: count }, (_, index): SampledView => {
        const entry = `${capacity}-${index}`;
        const record = { entry, state: "live", capacity, inFlight: 0 };
        return { record: record as PeerRecord, health: "alive", age: 1_000 };
      })
    );
  }
  const uneven = createFleet([6, 1.35], [60, 0.243], [21, 0.81]);
  const change = (views: SampledView[], to: (at: number) => object) =>
    views.map((view, at) => ({
      ...view,
      record: { ...view.record, ...to(at) },
    }));
  const withoutCapacity = (views: SampledView[]) =>
    change(views, () => ({ capacity: undefined }));

  /** Measures the load of each entry by name; all answers have load 1. */
  function measureShares(views: SampledView[], answers = 3_000) {
    const shares = new Map(views.map(({ record }) => [record.entry, 0]));
    for (let answer = 0; answer < answers; answer++) {
      const named = sample(views);
      for (const { entry } of named) {
        shares.set(entry, shares.get(entry)! + 1 / named.length / answers);
      }
    }
    return (entry: string) => shares.get(entry)!;
  }

  // 60 entries with 0.243 of a core each got as much as those with 1.35.
  it("bound the busiest entry's use, also after the loss of half", () => {
    const half = uneven.filter((_, index) => index % 2 === 0);
    const competing = createFleet([8, 1.35], [67, 0.324]);
    for (const views of [uneven, half, uneven.slice(6), competing]) {
      const total = views.reduce((sum, v) => sum + v.record.capacity, 0);
      const [uniform, steered] = [withoutCapacity(views), views].map((by) => {
        const share = measureShares(by);
        const uses = views.map(({ record: { entry, capacity } }) =>
          share(entry) * total / capacity
        );
        return Math.max(...uses);
      });
      if (process.env["STEERING_FIGURES"]) console.log({ uniform, steered });
      expect(steered).to.be.below(1.25).and.below(0.85 * uniform!);
    }
  });

  // With reports 1 s late, all callers could move to whichever looked empty.
  it("bound the use of entries that is known 1 s late", () => {
    const [uniform, steered] = [withoutCapacity(uneven), uneven].map(
      (views) => {
        const uses = views.map(() => 0);
        let told = uses;
        for (let second = 0; second < 180; second++) {
          const seen = change(views, (at) => ({ at, inFlight: told[at] }));
          const counts = views.map(() => 0);
          for (let caller = 0; caller < 20; caller++) {
            const named = sample(seen) as (PeerRecord & { at: number })[];
            for (let request = 0; request < 10; request++) {
              counts[named[Math.floor(random() * named.length)]!.at]!++;
            }
          }
          counts.forEach((count, at) => uses[at]! += count);
          told = counts;
        }
        return Math.max(
          ...uses.map((use, at) => use / 180 / uneven[at]!.record.capacity),
        );
      },
    );
    if (process.env["STEERING_FIGURES"]) console.log({ uniform, steered });
    expect(steered).to.be.below(0.75 * uniform!);
  });

  it("are hardly more often those that look empty, less often busy ones", () => {
    const share = measureShares(change(uneven, (at) => ({
      inFlight: at === 10 ? 0 : at === 11 ? 400 : 20,
    })));
    expect(share("0.243-4")).to.be.below(1.6 * share("0.243-6"));
    expect(share("0.243-5") / share("0.243-6")).to.be.within(0.4, 0.8);
  });

  // Callers leave connections to addresses that an answer no longer names, and
  // half of the named entries may have failed unnoticed.
  it("keep most load in the next answer, and some entries after a loss", () => {
    let kept = 0;
    for (let answer = 0; answer < 1_000; answer++) {
      const before = new Set(sample(uneven));
      const next = sample(uneven);
      kept += next.filter((r) => before.has(r)).length / next.length / 1_000;
      const lost = new Set(sampleItems(uneven, { count: 44, random }));
      const left = uneven.filter((view) => !lost.has(view));
      const living = left.filter(({ record }) => next.includes(record));
      expect(living.length).to.be.above(8);
    }
    expect(kept).to.be.above(0.65);
  });

  // Old builds, fleets of one size, and fleets of which only small are left.
  it("are drawn as before if capacities are alike or unknown", () => {
    const sizes = fc.constantFrom(undefined, NaN, 0.243, 1);
    fc.assert(
      fc.property(fc.nat(360), sizes, fc.nat(), (count, size, seed) => {
        const views = createFleet([count, size]);
        const records = views.map(({ record }) => record);
        const options = { limit: 64, isDiscovering: false };
        expect(sampleEntries(views, { ...options, random: createRandom(seed) }))
          .to.deep.equal(
            sampleItems(records, { count: 64, random: createRandom(seed) }),
          );
      }),
      { numRuns: 50 },
    );
  });

  it("are 16 to 64 different ones whatever their records say", () => {
    const record = fc.record({
      state: fc.constant("live"),
      capacity: fc.oneof(fc.double({ min: 0.01, max: 100 }), fc.double()),
      inFlight: fc.oneof(fc.nat(1_000), fc.constant(undefined)),
    });
    const records = fc.array(record, { maxLength: 360, size: "max" });
    fc.assert(fc.property(records, fc.nat(60_000), (list, age) => {
      const named = sample(list.map((record) => (
        { record: record as PeerRecord, health: "alive", age }
      )));
      expect(new Set(named).size).to.equal(named.length);
      expect(named.length).to.be.within(Math.min(16, list.length), 64);
    }));
  });

  it("count as the mean without a capacity", () => {
    const views = createFleet([20, 1.35], [20, 0.3], [20, undefined]);
    const share = measureShares(views);
    expect(share("undefined-1")).to.be.above(1.3 * share("0.3-1"));
    expect(share("undefined-1")).to.be.below(0.85 * share("1.35-1"));
  });

  // After a restart of the fleet, the few known ones would get all of the load.
  it("include listed ones by capacity while this one has just started", () => {
    const views = uneven.map((view, at): SampledView =>
      at % 20 === 0 ? view : { ...view, health: "suspected" }
    );
    expect(sample(views).length).to.equal(5);
    const named = Array.from({ length: 500 }, () => sample(views, true)).flat();
    const count = (entry: string) =>
      named.filter((record) => record.entry === entry).length;
    expect(count("1.35-1")).to.be.above(2 * count("0.243-1"));
    expect(count("0.243-1")).to.be.above(0);
  });
});
