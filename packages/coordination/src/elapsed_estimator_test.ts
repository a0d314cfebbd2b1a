import { createFakeClock } from "@mangoreach/shared";
import { MersenneTwister19937, Random } from "random-js";
import { expect } from "chai";
import { createElapsedEstimator } from "./elapsed_estimator.ts";

const LONGEST = 15_000;
const SHORTEST = 0.85 * LONGEST;
const ATTEMPTS = 100;
const RETRY_DELAY = 4_000;

describe("time since a caller's first attempt", () => {
  function create() {
    const clock = createFakeClock(0);
    return { clock, estimator: createElapsedEstimator(clock) };
  }

  /** Sends first attempts of callers who differ in how long they wait. */
  async function sendAttempts(failedShare: number) {
    const { clock, estimator } = create();
    const random = new Random(MersenneTwister19937.seed(72));
    const fresh: number[] = [];
    const retries: number[] = [];
    for (let count = 0; count < ATTEMPTS; count++) {
      const budget = random.real(SHORTEST, LONGEST);
      fresh.push(estimator.read("route", budget));
      await clock.advance(100);
      if (random.real(0, 1) >= failedShare) continue;
      estimator.recordFailed("route");
      retries.push(estimator.read("route", budget - RETRY_DELAY));
    }
    return { fresh, retries };
  }

  const computeMean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

  // In a burst a caller was refused and retried after two seconds. It is late
  // already; treated as new it would make another request late as well.
  it("is the difference between the budgets of a retry and a first attempt", () => {
    const { estimator } = create();
    expect(estimator.read("route", 8_000)).to.equal(0);
    estimator.recordFailed("route");
    expect(estimator.read("route", 6_000)).to.equal(2_000);
    expect(estimator.read("other", 6_000)).to.equal(0);
  });

  // Callers who wait less long than others would be late from the start.
  it("is none for callers with different budgets where no attempt failed", async () => {
    const { fresh } = await sendAttempts(0);
    expect(Math.max(...fresh)).to.equal(0);
  });

  it("tells retries from callers who wait less long", async () => {
    const { fresh, retries } = await sendAttempts(0.4);
    const spread = LONGEST - SHORTEST;
    expect(computeMean(fresh)).to.be.lessThan(0.1 * spread);
    expect(computeMean(retries)).to.be.within(
      RETRY_DELAY - spread,
      RETRY_DELAY + spread,
    );
  });

  // Callers of a route have a smaller time budget than before. Their first
  // attempts must not count as late forever.
  it("adapts to callers that have changed their time budget", async () => {
    const { estimator, clock } = create();
    estimator.read("route", 8_000);
    estimator.recordFailed("route");
    await clock.advance(31_000);
    expect(estimator.read("route", 4_000)).to.equal(4_000);
    await clock.advance(31_000);
    expect(estimator.read("route", 4_000)).to.equal(0);
  });
});
