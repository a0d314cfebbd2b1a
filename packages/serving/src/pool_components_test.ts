import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createPoolComponents } from "./pool_components.ts";
import { createFakeStages, createOpenAllowance } from "./test_support.ts";

describe("pool components", () => {
  function create(known: { entries: number; slack?: number }) {
    const clock = createFakeClock(0);
    const random = new Random(MersenneTwister19937.seed(known.entries));
    const components = createPoolComponents({
      clock,
      random: () => random.realZeroToOneExclusive(),
      log: createSilentDecisionLog(),
      metrics: { countRetry: () => {} },
      loads: createEndpointLoads(clock),
      endpointCheck: {
        checkCondition: () => Promise.resolve("unknown"),
      },
      stages: createFakeStages(),
      listUsable: () => [],
      markLeaving: () => {},
      handleSignals: () => {},
      allowance: createOpenAllowance(),
      listAt: () => [],
      readTable: () => undefined,
      releaseInputs: () => {},
      countEntries: () => known.entries,
      repeatShare: 0.2,
      repeatSlack: known.slack ?? 212,
    });
    /** Counts the retries that this entry allows immediately. */
    const countRetries = () => {
      const budget = components.findBudget("pool");
      for (let count = 0; count < 1_000; count++) budget.deposit();
      let retries = 0;
      while (budget.withdraw()) retries++;
      return retries;
    };
    return { clock, countRetries, findBudget: components.findBudget };
  }

  // Guards against entries that restart again and again while endpoints fail,
  // each time with a new retry that no request has earned.
  it("grant no retry to an entry that has just started", () => {
    for (const entries of [1, 8, 195]) {
      const budget = create({ entries, slack: 56 }).findBudget("pool");
      expect(budget.withdraw()).to.equal(false);
      for (let count = 0; count < 5; count++) budget.deposit();
      expect(budget.balance).to.be.closeTo(1, 1e-9);
    }
  });

  // Its predecessor's retries are no longer in a window with its own.
  it("grant saved retries to an entry that has run for a window", async () => {
    const { clock, findBudget } = create({ entries: 8, slack: 56 });
    const budget = findBudget("pool");
    await clock.advance(9_999);
    expect(budget.balance).to.equal(0);
    await clock.advance(1);
    expect(
      [budget, findBudget("other")].map(({ balance }) => balance.toFixed(3)),
    ).to.deep.equal(["5.600", "5.600"]);
  });

  // Guards against one saved retry for each entry where the slack is smaller.
  it("share a slack that is smaller than the number of entries", async () => {
    const { clock, countRetries } = create({ entries: 360, slack: 56 });
    countRetries();
    await clock.advance(6_000);
    let saved = 0;
    for (let entry = 0; entry < 360; entry++) saved += countRetries();
    expect(saved).to.be.within(30, 82);
  });

  // All 86 instances of a site restart while an endpoint fails. If each entry,
  // which knows only itself, used the complete slack of the pool, the endpoint
  // would get many times the retries that the operators allow.
  it("share the slack of the retry budget during discovery", () => {
    const { countRetries } = create({ entries: 1 });
    expect(86 * countRetries()).to.be.at.most(212);
  });

  it("share it among all entries that were ever known", async () => {
    const known = { entries: 86 };
    const { clock, countRetries } = create(known);
    countRetries();
    await clock.advance(6_000);
    expect(86 * countRetries()).to.be.at.most(212);
    known.entries = 3;
    expect(86 * countRetries()).to.be.at.most(212);
  });

  it("give each entry its share of the slack in a small fleet", async () => {
    const { clock, countRetries } = create({ entries: 8 });
    countRetries();
    await clock.advance(6_000);
    expect(countRetries()).to.equal(21);
  });
});
