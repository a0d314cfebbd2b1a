import { expect } from "chai";
import { createDelayModel } from "./delay_model.ts";

/** Prompt sizes, and what they take on an engine of their own, in ms. */
const SMALL = { size: 800, time: 30 };
const LARGE = { size: 12_000, time: 290 };

/** One small request in ten stands behind somebody's very large prompt. */
function recordMixedLoad(model: ReturnType<typeof createDelayModel>): void {
  for (let round = 0; round < 30; round++) {
    model.record(LARGE.size, LARGE.time);
    for (let i = 0; i < 9; i++) model.record(SMALL.size, SMALL.time);
    model.record(SMALL.size, 1_000);
  }
}

describe("delay model", () => {
  it("learns the time alone by size", () => {
    const model = createDelayModel();
    for (let i = 0; i < 20; i++) model.record(SMALL.size, SMALL.time);
    expect(model.estimateUnloaded(SMALL.size)).to.equal(SMALL.time);
    expect(model.estimateUsual(SMALL.size)).to.equal(SMALL.time);
  });

  // A draft of a whole case is due within 1.7 s and takes 0.3 s on its engine.
  // Small requests behind very large prompts took thirty times their own time;
  // with that as a factor, each draft was reckoned as late from its start, went
  // behind all others at the stages and came late indeed.
  it("adds the delay of small requests to a large one, not its factor", () => {
    const model = createDelayModel();
    recordMixedLoad(model);
    expect(model.estimateUsual(LARGE.size)).to.be.within(300, 600);
  });

  // An engine that reads one very large prompt answers small requests thirty
  // times later than usual. Taken for a slow engine it would lose its sessions,
  // whose prompts were then read again elsewhere.
  it("tells one held-up answer from a slow engine", () => {
    const model = createDelayModel();
    recordMixedLoad(model);
    expect(model.record(SMALL.size, 1_000)).to.be.below(8);
    expect(model.record(LARGE.size, 5 * LARGE.time)).to.be.above(2.5);
  });
});
