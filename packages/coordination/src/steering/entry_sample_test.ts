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
  const createRandom = (seed: number) => {
    const seeded = new Random(MersenneTwister19937.seed(seed));
    return () => seeded.realZeroToOneExclusive();
  };

  /** Creates live entries, given `[count, capacity]` for each size. */
  function createFleet(...sizes: [number, number | undefined][]) {
    return sizes.flatMap(([count, capacity]) =>
      Array.from({ length: count }, (_, index): SampledView => {
        const entry = `${capacity}-${index}`;
        const record = { entry, state: "live", capacity, inFlight: 0 };
        return { record: record as PeerRecord, health: "alive" };
      })
    );
  }
  const uneven = createFleet([6, 1.35], [60, 0.243], [21, 0.81]);
  const competing = createFleet([8, 1.35], [67, 0.324]);
  const withoutCapacity = (views: SampledView[]) =>
    views.map((view) => {
      const { capacity: _, ...record } = view.record;
      return { ...view, record: record as PeerRecord };
    });

  /** Measures the load of each entry by name; all answers have load 1. */
  function measureShares(views: SampledView[], answers = 3_000) {
    const random = createRandom(7);
    const shares = new Map(views.map(({ record }) => [record.entry, 0]));
    for (let answer = 0; answer < answers; answer++) {
      const options = { limit: 64, random, isDiscovering: false };
      const sample = sampleEntries(views, options);
      for (const { entry } of sample) {
        shares.set(entry, shares.get(entry)! + 1 / sample.length / answers);
      }
    }
    return shares;
  }

  /** The use of the busiest entry, relative to that of the whole fleet. */
  function measureBusiest(views: SampledView[], steered = views) {
    const shares = measureShares(steered);
    const total = views.reduce((sum, view) => sum + view.record.capacity, 0);
    return Math.max(
      ...views.map(({ record }) =>
        shares.get(record.entry)! * total / record.capacity
      ),
    );
  }

  // 60 entries with 0.243 of a core each got as much as those with 1.35.
  it("bound the busiest entry's use, also after the loss of half", () => {
    const half = uneven.filter((_, index) => index % 2 === 0);
    const withoutLarge = uneven.slice(6);
    const rows = [uneven, half, withoutLarge, competing].map((views) => [
      measureBusiest(views, withoutCapacity(views)),
      measureBusiest(views),
    ]);
    if (process.env["STEERING_FIGURES"]) console.log(rows);
    for (const [uniform, steered] of rows) {
      expect(steered).to.be.below(1.25).and.below(0.85 * uniform!);
    }
  });

  // With reports 1 s late, all callers could move to whichever looked empty.
  it("bound the use of entries that is known 1 s late", () => {
    function measurePeak(views: SampledView[], capacities: SampledView[]) {
      const random = createRandom(11);
      const inFlight = views.map(() => 0);
      const known: number[][] = [];
      const ends: number[][] = [];
      const callers = Array.from({ length: 16 }, () => ({
        until: 0,
        named: [] as PeerRecord[],
      }));
      const index = new Map(views.map((v, at) => [v.record.entry, at]));
      const uses = views.map(() => 0);
      // Steps of 100 ms, with 20 requests of 1 s each, for 3 minutes.
      const STEPS = 1_800;
      for (let step = 0; step < STEPS; step++) {
        for (const at of ends[step] ?? []) inFlight[at]!--;
        known.push([...inFlight]);
        const told = known[Math.max(0, step - 10)]!;
        for (let request = 0; request < 20; request++) {
          // The first caller sends a third of the load.
          const by = random() < 1 / 3 ? 0 : Math.floor(random() * 16);
          const caller = callers[by]!;
          if (step >= caller.until) {
            const seen = views.map((view, at) => ({
              ...view,
              age: 1_000,
              record: { ...view.record, inFlight: told[at]! },
            }));
            const options = { limit: 64, random, isDiscovering: false };
            caller.named = sampleEntries(seen, options);
            caller.until = step + 10 + Math.floor(random() * 40);
          }
          const chosen = Math.floor(random() * caller.named.length);
          const at = index.get(caller.named[chosen]!.entry)!;
          inFlight[at]!++;
          (ends[step + 10] ??= []).push(at);
        }
        inFlight.forEach((count, at) =>
          uses[at]! += count / STEPS / capacities[at]!.record.capacity
        );
      }
      return Math.max(...uses);
    }
    const uniform = measurePeak(withoutCapacity(uneven), uneven);
    const steered = measurePeak(uneven, uneven);
    if (process.env["STEERING_FIGURES"]) console.log({ uniform, steered });
    expect(steered).to.be.below(0.7 * uniform);
  });

  it("are hardly more often those that look empty, less often busy ones", () => {
    const views = uneven.map((view, index) => ({
      ...view,
      age: 0,
      record: {
        ...view.record,
        inFlight: index === 10 ? 0 : index === 11 ? 400 : 20,
      },
    }));
    const shares = measureShares(views);
    const [empty, busy, usual] = [10, 11, 12].map((index) =>
      shares.get(views[index]!.record.entry)!
    );
    expect(empty).to.be.below(1.6 * usual!);
    expect(busy! / usual!).to.be.within(0.4, 0.8);
  });

  // Callers leave connections to addresses that an answer no longer names.
  it("keep most of the load at the same entries in the next answer", () => {
    const random = createRandom(3);
    const options = { limit: 64, random, isDiscovering: false };
    let kept = 0;
    for (let answer = 0; answer < 1_000; answer++) {
      const before = new Set(sampleEntries(uneven, options));
      const next = sampleEntries(uneven, options);
      kept += next.filter((r) => before.has(r)).length / next.length / 1_000;
    }
    expect(kept).to.be.above(0.65);
  });

  // Old builds, fleets of one size, and fleets of which only small are left.
  it("are drawn as before if capacities are alike or unknown", () => {
    const sizes = fc.constantFrom(undefined, NaN, 0.243, 1);
    fc.assert(
      fc.property(fc.nat(360), sizes, fc.nat(), (n, size, seed) => {
        const views = createFleet([n, size]);
        const records = views.map(({ record }) => record);
        expect(sampleEntries(views, {
          limit: 64,
          random: createRandom(seed),
          isDiscovering: false,
        })).to.deep.equal(
          sampleItems(records, { count: 64, random: createRandom(seed) }),
        );
      }),
      { numRuns: 50 },
    );
  });

  it("are at least 16 different ones in fleets of any sizes", () => {
    const view = fc.record({
      capacity: fc.oneof(fc.double({ min: 0.01, max: 100 }), fc.double()),
      inFlight: fc.oneof(fc.nat(1_000), fc.constant(undefined)),
      age: fc.oneof(fc.nat(60_000), fc.constant(undefined)),
    });
    const fleets = fc.array(view, { maxLength: 360, size: "max" });
    fc.assert(
      fc.property(fleets, fc.nat(), (fleet, seed) => {
        const views = fleet.map(({ age, ...rest }) => ({
          age,
          health: "alive" as const,
          record: { ...rest, state: "live" } as PeerRecord,
        }));
        const options = { limit: 64, isDiscovering: false };
        const random = createRandom(seed);
        const sample = sampleEntries(views, { ...options, random });
        expect(new Set(sample).size).to.equal(sample.length);
        expect(sample.length).to.be.within(Math.min(16, views.length), 64);
      }),
      { numRuns: 100 },
    );
  });

  it("count as the mean without a capacity", () => {
    const views = createFleet([20, 1.35], [20, 0.3], [20, undefined]);
    const shares = measureShares(views);
    const share = (entry: string) => shares.get(entry)!;
    expect(share("undefined-1")).to.be.within(
      1.3 * share("0.3-1"),
      0.85 * share("1.35-1"),
    );
  });

  // After a restart of the fleet, the few that are alive would get all load.
  it("include listed ones by their capacity while discovering", () => {
    const views = uneven.map((view, index): SampledView =>
      index % 20 === 0 ? view : { ...view, health: "suspected" }
    );
    const options = { limit: 64, random: createRandom(1) };
    const count = (isDiscovering: boolean) =>
      sampleEntries(views, { ...options, isDiscovering }).length;
    expect(count(true)).to.be.above(16);
    expect(count(false)).to.equal(5);
  });
});
