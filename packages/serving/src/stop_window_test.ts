import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { StopOutcome } from "./stop_window.ts";
import { createStopWindow } from "./stop_window.ts";

describe("stop window", () => {
  function create(stopTime = 8_000) {
    const clock = createFakeClock(0);
    const ended: StopOutcome[] = [];
    const window = createStopWindow(clock, {
      stopTime,
      onEnded: (outcome) => ended.push(outcome),
    });
    return { clock, ended, window };
  }

  // Supervisors send the signal again; requests that were accepted for the
  // first one would then be cut off before their time.
  it("begins once, however often the signal comes", async () => {
    const { clock, window } = create();
    const left: number[] = [window.readTimeLeft()];
    for (let signal = 0; signal < 3; signal++) {
      window.begin();
      left.push(window.readTimeLeft());
      await clock.advance(1_000);
    }
    expect(left).to.deep.equal([Infinity, 7_200, 6_200, 5_200]);
  });

  // With a fixed margin, an entry with two seconds to stop cut off requests after
  // 1.2 s, with two fifths of its time left.
  it("cuts off in the last tenth of a short time to stop", () => {
    const left = [1_000, 2_000, 3_000, 8_000, 30_000].map((stopTime) => {
      const { window } = create(stopTime);
      window.begin();
      return [window.readTimeLeft(), window.readTimeToKill()];
    });
    expect(left).to.deep.equal([
      [900, 1_000],
      [1_800, 2_000],
      [2_700, 3_000],
      [7_200, 8_000],
      [29_200, 30_000],
    ]);
  });

  // Requests that end before the signal would hide how many a stop costs.
  it("counts only requests that end after the signal", () => {
    const { ended, window } = create();
    window.recordEnd("finished");
    window.begin();
    window.recordEnd("refused");
    window.recordEnd("cut");
    window.recordEnd("cut");
    expect(ended).to.deep.equal(["refused", "cut", "cut"]);
    expect(window.readCounts())
      .to.deep.equal({ refused: 1, finished: 0, failed: 0, cut: 2 });
  });
});
