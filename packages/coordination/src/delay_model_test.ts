import { expect } from "chai";
import { createDelayModel } from "./delay_model.ts";

/** Prompt sizes, and their latencies on an idle engine in ms. */
const SMALL = { size: 800, time: 30 };
const LARGE = { size: 12_000, time: 290 };

/**
 * One small request in ten waits behind a very large prompt of another request.
 */
function recordMixedLoad(model: ReturnType<typeof createDelayModel>): void {
  for (let round = 0; round < 30; round++) {
    model.record(LARGE.size, LARGE.time);
    for (let i = 0; i < 9; i++) model.record(SMALL.size, SMALL.time);
    model.record(SMALL.size, 1_000);
  }
}

describe("delay model", () => {
  it("learns the unloaded latency by size", () => {
    const model = createDelayModel();
    for (let i = 0; i < 20; i++) model.record(SMALL.size, SMALL.time);
    expect(model.estimateUnloaded(SMALL.size)).to.equal(SMALL.time);
    expect(model.estimateUsual(SMALL.size)).to.equal(SMALL.time);
  });

  // A draft of a whole case is due within 1.7 s and takes 0.3 s on an idle
  // engine. Small requests behind very large prompts took thirty times their
  // own time. With that as a factor, each draft was estimated as late from its
  // start, was ordered behind all others at the stages, and did become late.
  it("adds the delay of small requests to a large one, instead of multiplying", () => {
    const model = createDelayModel();
    recordMixedLoad(model);
    expect(model.estimateUsual(LARGE.size)).to.be.within(300, 600);
  });

  // An engine that processes one very large prompt answers small requests
  // thirty times later than usual. Taken for a slow engine it would lose its
  // sessions, whose prompts would be processed again elsewhere.
  it("distinguishes one delayed answer from a slow engine", () => {
    const model = createDelayModel();
    recordMixedLoad(model);
    expect(model.record(SMALL.size, 1_000)).to.be.below(8);
    expect(model.record(LARGE.size, 5 * LARGE.time)).to.be.above(2.5);
  });
});
