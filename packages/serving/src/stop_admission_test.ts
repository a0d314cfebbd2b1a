import type { CompletionModel } from "@mangoreach/coordination";
import {
  createCompletionModel,
  createDeadline,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { findStopRefusal } from "./stop_admission.ts";
import { createStopWindow } from "./stop_window.ts";
import {
  createTestEndpoint,
  createTestHead,
  createTestPeer,
  createTestRoute,
  createTestState,
} from "./test_support.ts";

const STOP_TIME = 8_000;
/** Milliseconds per token of the streams that have ended. */
const PACE = 20;

function createModel(): CompletionModel {
  const model = createCompletionModel();
  const endpoint = createTestEndpoint("e1");
  for (let answer = 0; answer < 40; answer++) {
    model.record({
      endpoint,
      firstAfter: 0,
      tokens: 100,
      first: 0,
      took: 100 * PACE,
      isWhole: true,
    });
  }
  return model;
}

describe("refusals of a stopping entry", () => {
  /** Decides on one request; times are milliseconds after the signal. */
  async function decide(
    {
      at = 0,
      admittedAt = at,
      tokens = 100,
      budget = 20_000,
      delay = 0,
      isKnown = true,
      hasOther = true,
      stopTime = STOP_TIME,
    }: {
      at?: Millis | undefined;
      admittedAt?: Millis;
      tokens?: number;
      budget?: Millis;
      delay?: Millis;
      isKnown?: boolean;
      hasOther?: boolean;
      stopTime?: Millis;
    } = {},
  ) {
    const clock = createFakeClock(1_000);
    const model = isKnown ? createModel() : createCompletionModel();
    const stopWindow = createStopWindow(clock, { stopTime, onEnded: () => {} });
    const state = createTestState(clock, {
      stopWindow,
      findCompletion: () => model,
      random: () => 0.5,
    });
    state.membership.merge([{
      ...createTestPeer("other"),
      state: hasOther ? "live" : "leaving",
    }]);
    const route = createTestRoute({ kind: "stream", timeout: 30_000 });
    const check = () =>
      findStopRefusal(state, {
        head: createTestHead({ outputTokens: tokens }),
        admittedAt: 1_000 + admittedAt,
        admitted: { route, pool: "pool" },
        deadline: createDeadline({ clock, budget }),
        estimateDelay: () => delay,
      });
    const before = check();
    expect(before).to.equal(undefined);
    stopWindow.begin();
    await clock.advance(at);
    return check();
  }

  // Callers lost streams that were accepted after the signal and cut off before
  // their end, though another entry would have finished them.
  it("refuses a stream that cannot end, and accepts one that can", async () => {
    const accepted: Record<string, Millis[]> = {};
    for (const tokens of [10, 100, 200, 300]) {
      const times = [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000];
      const decisions = await Promise.all(
        times.map((at) => decide({ at, tokens })),
      );
      accepted[tokens] = times.filter((_, index) =>
        decisions[index] === undefined
      );
    }
    expect(accepted).to.deep.equal({
      10: [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000],
      100: [0, 1_000, 2_000, 3_000, 4_000],
      200: [0, 1_000, 2_000],
      300: [],
    });
  });

  it("says that a refused request did not run, and when to return", async () => {
    const other = await decide({ tokens: 300 });
    const alone = await decide({ tokens: 300, at: 3_200, hasOther: false });
    expect([other, alone]).to.deep.equal([
      {
        kind: "stopping",
        verdict: "not_run",
        message: "this entry ends in 7200 ms; the answer may take 7675 ms",
        retryAfterMs: 50,
      },
      {
        kind: "stopping",
        verdict: "not_run",
        message: "this entry ends in 4000 ms; the answer may take 7675 ms",
        retryAfterMs: 4_000,
      },
    ]);
  });

  // A caller whose deadline comes first loses nothing by the end of this entry.
  it("accepts what its deadline ends before", async () => {
    expect(await decide({ tokens: 300, budget: 7_000 })).to.equal(undefined);
    expect(await decide({ tokens: 300, budget: 7_300 }))
      .to.include({ kind: "stopping" });
  });

  // An entry that has just started would guess, and cut off what it accepts.
  it("refuses while it knows no answer of the route", async () => {
    const refusal = await decide({ isKnown: false, tokens: 10 });
    expect(refusal).to.include({
      kind: "stopping",
      message: "this entry ends in 7200 ms",
    });
  });

  it("counts the time of the stages before the stream", async () => {
    expect(await decide({ tokens: 200, delay: 2_000 })).to.equal(undefined);
    expect(await decide({ tokens: 200, delay: 2_100 }))
      .to.include({ kind: "stopping" });
  });

  // Elsewhere it would be late, after it has waited here.
  it("needs less certainty for a request that came before", async () => {
    expect(await decide({ tokens: 300, admittedAt: -500 }))
      .to.equal(undefined);
    expect(await decide({ tokens: 360, admittedAt: -500 }))
      .to.include({ kind: "stopping" });
  });

  // Supervisors wait for other times than the usual 8 s.
  it("depends on the time to stop", async () => {
    const stopTimes = [1_000, 3_000, 8_000, 30_000];
    const refusals = await Promise.all(
      stopTimes.map((stopTime) => decide({ stopTime, tokens: 200 })),
    );
    expect(refusals.map((refusal) => refusal?.kind))
      .to.deep.equal(["stopping", "stopping", undefined, undefined]);
  });
});
