import { createRetryBudget } from "@mangoreach/coordination";
import type { PieceRun } from "@mangoreach/peers";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { FakeStages } from "./test_support.ts";
import { createTestEndpoint, createTestFeeder } from "./test_support.ts";

/**
 * One request's piece ends each maker that begins its call. Those that shared
 * the call are repeated, together and with it, at the next maker, which ends as
 * well; after the third all have failed, and callers whose pieces did nothing
 * wrong get 503. The same cause as with engines: what comes again is not known.
 */
describe("a piece that ends each maker", () => {
  const CRASHING = "crashing";
  const BESIDE = ["a", "b", "c"];
  const CALL_TIME = 300;

  function createRun(requestId: string): PieceRun {
    return {
      pool: "pool",
      partition: "",
      requestId,
      priority: 1,
      onTime: 5_000,
      remaining: 20_000,
      resultBytes: 10,
      movedBytes: 0,
      ownsInputs: true,
      pieces: [{ stage: 0, piece: 0, source: { kind: "key", key: "k" } }],
    };
  }

  /** Ends what is called, until no call is left. */
  async function workOff(stages: FakeStages, clock: FakeClock) {
    const ended: string[] = [];
    for (let at = 0; at < stages.calls.length; at++) {
      await clock.advance(CALL_TIME);
      const call = stages.calls[at]!;
      const isCrashing = call.pieces.some(({ requestId }) =>
        requestId === CRASHING
      );
      if (isCrashing) ended.push(call.endpoint.id);
      if (isCrashing) call.breakOff("maybe");
      else call.finish();
      await clock.advance(CALL_TIME);
    }
    return ended;
  }

  function createPool() {
    const clock = createFakeClock(0);
    // It comes back at once each time.
    const endpoints = [createTestEndpoint("m1")];
    const budget = createRetryBudget({ share: 0, max: 100 });
    return { clock, ...createTestFeeder(clock, endpoints, budget) };
  }

  it("does not take with it the pieces that shared its calls", async () => {
    const { clock, feeder, stages } = createPool();
    const { signal } = new AbortController();
    // The first keeps the maker busy, so the others gather for one call.
    void feeder.run(createRun("first"), signal);
    const runs = [CRASHING, ...BESIDE].map((id) =>
      feeder.run(createRun(id), signal)
    );
    const ended = await workOff(stages, clock);
    const replies = await Promise.all(runs);
    expect(replies.map(({ outcomes }) => outcomes[0]?.kind))
      .to.deep.equal(["failed", "done", "done", "done"]);
    expect(ended).to.have.length(3);
  });

  it("is told to who asked for it, with the makers that ended", async () => {
    const { clock, feeder, stages } = createPool();
    const { signal } = new AbortController();
    const run = feeder.run(createRun(CRASHING), signal);
    await workOff(stages, clock);
    const { ends = [] } = await run;
    expect(ends.map(({ endpointKey }) => endpointKey))
      .to.deep.equal(["m1#1", "m1#1", "m1#1"]);
    const quiet = feeder.run(createRun("quiet"), signal);
    await workOff(stages, clock);
    expect((await quiet).ends).to.equal(undefined);
  });
});
