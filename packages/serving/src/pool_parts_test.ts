import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createPoolParts } from "./pool_parts.ts";
import { createFakeStages, createOpenAllowance } from "./test_support.ts";

describe("parts of pools", () => {
  function create(known: { entries: number }) {
    const clock = createFakeClock(0);
    const parts = createPoolParts({
      clock,
      log: createSilentDecisionLog(),
      loads: createEndpointLoads(clock),
      endpointCheck: {
        checkCondition: () => Promise.resolve("unknown"),
      },
      stages: createFakeStages(),
      listUsable: () => [],
      markLeaving: () => {},
      noteSignals: () => {},
      allowance: createOpenAllowance(),
      listAt: () => [],
      readTable: () => undefined,
      releaseInputs: () => {},
      countEntries: () => known.entries,
      repeatShare: 0.2,
      repeatSlack: 212,
    });
    /** Repeats that this entry allows at once. */
    const countRepeats = () => {
      const budget = parts.findBudget("pool");
      for (let count = 0; count < 1_000; count++) budget.deposit();
      let repeats = 0;
      while (budget.withdraw()) repeats++;
      return repeats;
    };
    return { clock, countRepeats };
  }

  // All 86 instances of a site restart while an endpoint fails. Each entry knows
  // only itself and repeats as if the whole slack of the pool were its own: the
  // endpoint gets many times the repeats that the operators allow.
  it("share the slack of repeats before they know each other", () => {
    const { countRepeats } = create({ entries: 1 });
    expect(86 * countRepeats()).to.be.at.most(212);
  });

  it("share it among all that were ever known", async () => {
    const known = { entries: 86 };
    const { clock, countRepeats } = create(known);
    countRepeats();
    await clock.advance(6_000);
    expect(86 * countRepeats()).to.be.at.most(212);
    known.entries = 3;
    expect(86 * countRepeats()).to.be.at.most(212);
  });

  it("leave each its part of the slack in a small fleet", async () => {
    const { clock, countRepeats } = create({ entries: 8 });
    countRepeats();
    await clock.advance(6_000);
    expect(countRepeats()).to.equal(21);
  });
});
