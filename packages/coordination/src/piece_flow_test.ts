import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPieceFlow } from "./piece_flow.ts";
import type { BatchSpec } from "./serving_config.ts";

/** One endpoint does 10 pieces a second. */
const SPEC: BatchSpec = {
  slots: 1,
  maxPieces: 4,
  callTime: 200,
  pieceTime: 50,
  roomBytes: 1_000,
  resultLifetime: 4_000,
};

describe("flow of pieces", () => {
  function create() {
    const clock = createFakeClock(0);
    const flow = createPieceFlow(clock);
    /** Lets pieces come and be called for twenty seconds, every tenth of one. */
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
        flow.noteQueue({
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

  it("knows only the specification at first", () => {
    const { forecast } = create();
    expect(forecast().estimateOnTime(10, 1)).to.equal(500);
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  // A pool has two endpoints for twenty pieces a second and gets as many on
  // time. Five late pieces seem to wait a quarter of a second; but all that come
  // go before them, and their callers would be refused at the deadline.
  it("tells late pieces that on-time ones keep coming", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [2], calls: 2, waiting: 5 });
    expect(forecast().estimateLate(5)).to.be.greaterThan(2_000);
    expect(forecast().estimateOnTime(5, 0)).to.be.lessThan(400);
  });

  it("lets only more urgent arrivals make an on-time piece wait", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [1, 1], calls: 2, waiting: 5 });
    expect(forecast().estimateOnTime(5, 0)).to.be.lessThan(400);
    expect(forecast().estimateOnTime(5, 1)).to.be.within(400, 700);
  });

  // Makers are full of results, so calls hold half of what they could: by the
  // specification the queue would be done in half of the time that it takes.
  it("goes by the measured rate while the queue stays", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 5 });
    expect(forecast().estimateLate(10)).to.be.within(900, 1_300);
  });

  // Calls go out half full while endpoints are free, so on a calm day all are
  // busy all the time and a few pieces wait for the next. The rate of such calls
  // is no limit; taken for one, callers were refused, and calls were filled with
  // pieces from other places, whose megabytes then crossed between places.
  it("does not take a pool with half-full calls for an overloaded one", async () => {
    const { flow, runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 3 });
    expect(flow.isStrained()).to.equal(false);
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  it("does not take a pool without a queue for a slow one", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [], calls: 1, waiting: 0 });
    expect(forecast().estimateLate(10)).to.equal(500);
  });

  // More comes than the pool takes. Whoever is let in now gets there after half a
  // second in other pools, and finds a longer queue than there is now.
  it("tells how fast the wait grows, or falls", async () => {
    const { runLoad, forecast } = create();
    await runLoad({ arrivals: [1, 2], calls: 2, waiting: 5 });
    expect(forecast().estimateGrowth(1)).to.be.within(0.8, 1.2);
    expect(forecast().estimateGrowth(0)).to.be.within(-0.6, -0.4);
  });

  it("names a bounded wait where no endpoint is left", () => {
    const { flow } = create();
    expect(flow.forecast(SPEC, 0).estimateLate(1)).to.equal(60_000);
  });
});
