import { expect } from "chai";
import fc from "fast-check";
import { createSoakPlan } from "./soak_plan.ts";

describe("plan of a soak run", () => {
  it("is the same for the same seed", () => {
    expect(createSoakPlan(7, 8_000)).to.deep.equal(createSoakPlan(7, 8_000));
    expect(createSoakPlan(7, 8_000)).not.to.deep.equal(
      createSoakPlan(8, 8_000),
    );
  });

  it("ends all faults within the run, in order, some at a time", () => {
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
