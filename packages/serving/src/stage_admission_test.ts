import { expect } from "chai";
import { findHopeless } from "./stage_admission.ts";

const STAGES = [
  { pool: "a", after: [], resultBytes: 1 },
  { pool: "b", after: [0], resultBytes: 1 },
];

const NO_WAITS = { onTime: 0, late: 0, growth: 0 };

describe("admission by the waits of stages", () => {
  function judge(
    { onTime = 1_000, remaining = 4_000, durations = [300, 300] },
    waits: Record<string, { onTime: number; late: number; growth?: number }>,
  ) {
    return findHopeless({
      stages: STAGES,
      durations,
      readWaits: (pool) => Promise.resolve({ ...NO_WAITS, ...waits[pool] }),
      onTime,
      remaining,
      random: () => 0,
    });
  }

  it("lets in who can meet the objective, however long late ones wait", async () => {
    expect(await judge({}, { b: { onTime: 300, late: 60_000, growth: 0 } }))
      .to.equal(undefined);
  });

  it("lets in who will be late but served", async () => {
    expect(await judge({}, { b: { onTime: 2_000, late: 3_000, growth: 0 } }))
      .to.equal(undefined);
  });

  // A burst has filled the queue of the second stage for five seconds. The
  // caller is told so at once, and when to come back, not after four seconds.
  it("refuses at once who could not be served in time", async () => {
    const failure = await judge({}, {
      b: { onTime: 2_000, late: 5_000, growth: 0 },
    });
    expect(failure?.verdict).to.equal("not_run");
    expect(failure?.retryAfterMs).to.equal(1_600);
  });

  // The second pool has no queue yet, but gets twice what it takes since a moment.
  it("reckons with what grows until the request gets there", async () => {
    const waits = { onTime: 300, late: 60_000 };
    expect(await judge({}, { b: { ...waits, growth: 0.2 } }))
      .to.equal(undefined);
    expect((await judge({}, { b: { ...waits, growth: 1 } }))?.verdict)
      .to.equal("not_run");
  });

  it("passes over the waits of stages that the request leaves out", async () => {
    const waits = { b: { onTime: 60_000, late: 60_000, growth: 0 } };
    expect(await judge({ durations: [300, 0] }, waits)).to.equal(undefined);
  });
});
