import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPieceRates } from "./piece_rates.ts";
import type { BatchSpec } from "./serving_config.ts";

/** One endpoint serves 10 pieces a second. */
const SPEC: BatchSpec = {
  slots: 1,
  maxPieces: 4,
  callTime: 200,
  pieceTime: 50,
  storageBytes: 1_000,
  resultLifetime: 4_000,
};

describe("flow of pieces", () => {
  function create() {
    const clock = createFakeClock(0);
    const flow = createPieceRates(clock);
    /** Runs a load for twenty seconds, in steps of 100 ms. */
    const runLoad = async (
      { arrivals, calls, waiting }: {
        arrivals: readonly number[];
        calls: number;
        waiting: number;
      },
    ) => {
      for (let step = 0; step < 200; step++) {
        arrivals.forEach((pieces, priority) =>
          flow.recordArrival(priority, pieces)
        );
        flow.recordCall(calls);
        flow.recordQueue({
          waiting,
          isBusy: waiting > 0,
          spec: SPEC,
          endpointCount: 2,
        });
        await clock.advance(100);
      }
    };
    return { flow, runLoad, forecast: () => flow.forecast(SPEC, 2) };
  }

  it("uses the nominal capacity at first", () => {
    const { forecast } = create();
    expect(forecast().estimateOnTime(10, 1)).to.equal(500);
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  // Two endpoints serve twenty pieces a second, and as many on-time pieces
  // arrive. By the queue alone, five late pieces wait a quarter of a second,
  // but all arrivals overtake them, and their callers would be refused at the
  // deadline.
  it("counts on-time arrivals in the wait of late pieces", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [2], calls: 2, waiting: 5 });
    expect(forecast().estimateLate(5)).to.be.greaterThan(2_000);
    expect(forecast().estimateOnTime(5, 0)).to.be.lessThan(400);
  });

  it("counts only more urgent arrivals in the wait of on-time pieces", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [1, 1], calls: 2, waiting: 5 });
    expect(forecast().estimateOnTime(5, 0)).to.be.lessThan(400);
    expect(forecast().estimateOnTime(5, 1)).to.be.within(400, 700);
  });

  // Endpoints have little storage left for results, so calls are half full: by
  // the specification, the queue would be served in half of the actual time.
  it("uses the measured rate during a backlog", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 5 });
    expect(forecast().estimateLate(10)).to.be.within(900, 1_300);
  });

  // Calls start half full while endpoints are free, so under normal load all
  // are busy and a few pieces wait for the next call. The rate of such calls is
  // not the capacity. When it was taken for it, callers were refused, and calls
  // were filled with pieces of other places, which moved megabytes between
  // places.
  it("does not treat a pool with half-full calls as overloaded", async () => {
    const { flow, runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 3 });
    expect(flow.isBacklogged()).to.equal(false);
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  it("does not treat a pool without a queue as slow", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 0 });
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  // Arrivals exceed the capacity. A request admitted now reaches this pool
  // after half a second in other pools, and finds a longer queue than the
  // current one.
  it("estimates how fast the wait grows or falls", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [1, 2], calls: 2, waiting: 5 });
    expect(forecast().estimateGrowth(1)).to.be.within(0.8, 1.2);
    expect(forecast().estimateGrowth(0)).to.be.within(-0.6, -0.4);
  });

  it("returns a bounded wait if there is no endpoint", () => {
    const { flow } = create();
    expect(flow.forecast(SPEC, 0).estimateLate(1)).to.equal(60_000);
  });
});
