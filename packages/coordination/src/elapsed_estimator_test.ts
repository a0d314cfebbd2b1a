import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createElapsedEstimator } from "./elapsed_estimator.ts";

describe("time since a caller's first attempt", () => {
  function create() {
    const clock = createFakeClock(0);
    return { clock, estimator: createElapsedEstimator(clock) };
  }

  // In a burst a caller was refused and retried after two seconds. It is late
  // already; treated as new it would make another request late as well.
  it("is the difference between the budgets of a retry and a first attempt", () => {
    const { estimator } = create();
    expect(estimator.read("route", 8_000)).to.equal(0);
    expect(estimator.read("route", 6_000)).to.equal(2_000);
    expect(estimator.read("other", 6_000)).to.equal(0);
  });

  // Callers of a route have a smaller time budget than before. Their first
  // attempts must not count as late forever.
  it("adapts to callers that have changed their time budget", async () => {
    const { estimator, clock } = create();
    estimator.read("route", 8_000);
    await clock.advance(31_000);
    expect(estimator.read("route", 4_000)).to.equal(4_000);
    await clock.advance(31_000);
    expect(estimator.read("route", 4_000)).to.equal(0);
  });
});
