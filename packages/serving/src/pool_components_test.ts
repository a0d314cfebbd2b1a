import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createPoolComponents } from "./pool_components.ts";
import type { StageReply } from "./platform_interfaces.ts";
import type { StageDispatcher } from "./stage_dispatcher.ts";
import type { FakeStages } from "./test_support.ts";
import {
  createFakeStages,
  createOpenAllowance,
  createTestEndpoint,
} from "./test_support.ts";

const ENDPOINTS = ["e1", "e2", "e3"].map((id) => createTestEndpoint(id));

/** Runs a piece at a dispatcher, all of whose calls fail; counts its calls. */
async function countCalls(
  dispatcher: StageDispatcher,
  stages: FakeStages,
  reply: StageReply = { kind: "invalid", reason: "status 500" },
): Promise<number> {
  const before = stages.calls.length;
  const { signal } = new AbortController();
  void dispatcher.run({
    pool: "pool",
    partition: "",
    requestId: `request-${before}`,
    priority: 1,
    onTime: 2_000,
    remaining: 3_000,
    resultBytes: 100,
    movedBytes: 0,
    ownsInputs: true,
    pieces: [{ stage: 0, piece: 0, source: { kind: "key", key: "k" } }],
  }, signal);
  for (let call = before; call < stages.calls.length; call++) {
    stages.calls[call]!.end(reply);
    await settlePromises();
  }
  return stages.calls.length - before;
}

describe("pool components", () => {
  function create(
    known: { entries: number; slack?: number; clock?: FakeClock },
  ) {
    const { clock = createFakeClock(0) } = known;
    const stages = createFakeStages();
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
      stages,
      listUsable: () => ENDPOINTS,
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
    return { ...components, clock, countRetries, stages };
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

  // Guards against dispatchers that start one after another while endpoints
  // fail, each with repeats of pieces that no piece has earned.
  it("grant dispatchers of restarting entries the share of their pieces", async () => {
    const clock = createFakeClock(0);
    const starts = 20;
    const pieces = 5;
    let calls = 0;
    for (let start = 0; start < starts; start++) {
      const { findDispatcher, stages } = create({ entries: 8, clock });
      const dispatcher = findDispatcher("pool", "");
      for (let piece = 0; piece < pieces; piece++) {
        calls += await countCalls(dispatcher, stages);
      }
      await clock.advance(500);
    }
    const first = starts * pieces;
    expect(calls - first).to.be.at.most(0.1 * first + 56);
  });

  // Guards against requests that fail after a restart of all entries, because
  // results of their predecessors still use the endpoints' storage.
  it("retry pieces that find no storage soon after a start", async () => {
    const { findDispatcher, stages } = create({ entries: 8 });
    const dispatcher = findDispatcher("pool", "");
    const noRoom: StageReply = {
      kind: "results",
      results: [{ kind: "failed", reason: "no_room" }],
    };
    expect(await countCalls(dispatcher, stages, noRoom)).to.equal(3);
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
