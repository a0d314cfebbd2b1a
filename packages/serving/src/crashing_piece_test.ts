import { createRetryBudget } from "@mangoreach/coordination";
import type { PieceRun } from "@mangoreach/peers";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { FakeStages } from "./test_support.ts";
import { createTestDispatcher, createTestEndpoint } from "./test_support.ts";

/**
 * A poison piece crashes every endpoint that runs it. Without isolation, the
 * pieces that shared its call are retried in one call with it at the next
 * endpoint, which crashes as well; after three attempts all of them fail, and
 * callers of healthy requests get 503.
 */
describe("a piece that crashes endpoints", () => {
  const CRASHING = "crashing";
  const HEALTHY = ["a", "b", "c"];
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

  /** Completes or crashes calls until none is left; returns the crashes. */
  async function processCalls(stages: FakeStages, clock: FakeClock) {
    const crashed: string[] = [];
    for (let at = 0; at < stages.calls.length; at++) {
      await clock.advance(CALL_TIME);
      const call = stages.calls[at]!;
      const isCrashing = call.pieces.some(({ requestId }) =>
        requestId === CRASHING
      );
      if (isCrashing) crashed.push(call.endpoint.id);
      if (isCrashing) call.disconnect("maybe");
      else call.finish();
      await clock.advance(CALL_TIME);
    }
    return crashed;
  }

  function createPool() {
    const clock = createFakeClock(0);
    // The endpoint restarts immediately after each crash.
    const endpoints = [createTestEndpoint("m1")];
    const budget = createRetryBudget({ share: 0, max: 100 });
    return { clock, ...createTestDispatcher(clock, endpoints, budget) };
  }

  it("does not fail the pieces that shared its calls", async () => {
    const { clock, dispatcher, stages } = createPool();
    const { signal } = new AbortController();
    // The first run occupies the endpoint, so the others are batched in one
    // call.
    void dispatcher.run(createRun("first"), signal);
    const runs = [CRASHING, ...HEALTHY].map((id) =>
      dispatcher.run(createRun(id), signal)
    );
    const crashed = await processCalls(stages, clock);
    const replies = await Promise.all(runs);
    expect(replies.map(({ outcomes }) => outcomes[0]?.kind))
      .to.deep.equal(["failed", "done", "done", "done"]);
    expect(crashed).to.have.length(3);
  });

  it("is reported to the requester with the endpoints that crashed", async () => {
    const { clock, dispatcher, stages } = createPool();
    const { signal } = new AbortController();
    const run = dispatcher.run(createRun(CRASHING), signal);
    await processCalls(stages, clock);
    const { ends = [] } = await run;
    expect(ends.map(({ endpointKey }) => endpointKey))
      .to.deep.equal(["m1#1", "m1#1", "m1#1"]);
    const healthy = dispatcher.run(createRun("healthy"), signal);
    await processCalls(stages, clock);
    expect((await healthy).ends).to.equal(undefined);
  });
});
