import { expect } from "chai";
import { findInfeasible } from "./stage_admission.ts";

const STAGES = [
  { pool: "a", after: [], resultBytes: 1 },
  { pool: "b", after: [0], resultBytes: 1 },
];

const NO_WAITS = { onTime: 0, late: 0, growth: 0 };

describe("stage admission", () => {
  function check(
    { onTime = 1_000, remaining = 4_000, durations = [300, 300] },
    waits: Record<string, { onTime: number; late: number; growth?: number }>,
  ) {
    return findInfeasible({
      stages: STAGES,
      durations,
      readWaits: (pool) => Promise.resolve({ ...NO_WAITS, ...waits[pool] }),
      onTime,
      remaining,
      random: () => 0,
    });
  }

  it("admits requests that can meet the objective, however long late pieces queue", async () => {
    expect(await check({}, { b: { onTime: 300, late: 60_000, growth: 0 } }))
      .to.equal(undefined);
  });

  it("admits requests that miss the objective but meet the deadline", async () => {
    expect(await check({}, { b: { onTime: 2_000, late: 3_000, growth: 0 } }))
      .to.equal(undefined);
  });

  // A burst fills the queue of the second stage for five seconds. The caller is
  // refused immediately, with a retry time, and not after four seconds.
  it("refuses requests that cannot meet the deadline", async () => {
    const failure = await check({}, {
      b: { onTime: 2_000, late: 5_000, growth: 0 },
    });
    expect(failure?.verdict).to.equal("not_run");
    expect(failure?.retryAfterMs).to.equal(1_600);
  });

  // The second pool has no queue yet, but pieces arrive at twice its capacity.
  it("includes the growth of the queue until the request reaches the stage", async () => {
    const waits = { onTime: 300, late: 60_000 };
    expect(await check({}, { b: { ...waits, growth: 0.2 } }))
      .to.equal(undefined);
    expect((await check({}, { b: { ...waits, growth: 1 } }))?.verdict)
      .to.equal("not_run");
  });

  it("ignores queues of stages for which the request has no pieces", async () => {
    const waits = { b: { onTime: 60_000, late: 60_000, growth: 0 } };
    expect(await check({ durations: [300, 0] }, waits)).to.equal(undefined);
  });
});
