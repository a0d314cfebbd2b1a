import { expect } from "chai";
import fc from "fast-check";
import type { PlannedFault } from "./soak_plan.ts";
import { createSoakPlan } from "./soak_plan.ts";

function isPlanned(plan: readonly PlannedFault[], fault: PlannedFault) {
  return plan.some(({ kind, at }) => kind === fault.kind && at === fault.at);
}

describe("fault schedule of a soak run", () => {
  it("is the same for the same seed", () => {
    expect(createSoakPlan(7, 8_000)).to.deep.equal(createSoakPlan(7, 8_000));
    expect(createSoakPlan(7, 8_000)).not.to.deep.equal(
      createSoakPlan(8, 8_000),
    );
  });

  it("ends all faults within the run and orders them by time", () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 1e9 }), (seed) => {
      const plan = createSoakPlan(seed, 8_000);
      const starts = plan.map(({ at }) => at);
      expect(starts).to.deep.equal([...starts].sort((a, b) => a - b));
      for (const { at, duration } of plan) {
        expect(at + duration).to.be.lessThan(8_000);
      }
      for (const once of ["key_revoked", "endpoint_leaves"]) {
        expect(plan.filter(({ kind }) => kind === once).length)
          .to.be.at.most(1);
      }
    }));
  });

  // Regression seeds must keep their schedules: added fault kinds must not change
  // the faults of an existing seed.
  it("keeps the schedule of the first kinds when kinds are added", () => {
    const first = createSoakPlan(1_007, 8_000, { kinds: "first" });
    expect(first.length).to.equal(14);
    expect(first[0]).to.deep.equal({
      kind: "config_changed",
      at: 387,
      duration: 1_655,
      target: 726,
    });
    const paths = createSoakPlan(1_007, 8_000, { kinds: "paths" });
    const all = createSoakPlan(1_007, 8_000);
    expect(all.filter((fault) => isPlanned(paths, fault))).to.deep.equal(paths);
    expect(all.filter((fault) => isPlanned(first, fault))).to.deep.equal(first);
    expect(all.length).to.be.greaterThan(first.length);
  });

  it("overlaps faults in most runs", () => {
    const overlapping = Array.from({ length: 100 }, (_, seed) => {
      const plan = createSoakPlan(seed, 8_000);
      return plan.some(({ at, duration }, index) =>
        (plan[index + 1]?.at ?? Infinity) < at + duration
      );
    });
    expect(overlapping.filter((is) => is).length).to.be.greaterThan(90);
  });
});
