import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createReadTracker } from "./read_tracker.ts";

describe("read tracker", () => {
  it("describes the oldest read in progress and the last one", async () => {
    const clock = createFakeClock(0);
    const ended: string[] = [];
    const watch = createReadTracker({
      clock,
      onEnd: (source, outcome) => ended.push(`${source} ${outcome}`),
    });
    expect(watch.describe()).to.deep.equal({});
    watch.begin("store");
    await clock.advance(40);
    const end = watch.begin("peer", "10.1.0.4:8628");
    await clock.advance(10);
    end("old");
    await clock.advance(950);
    expect(watch.describe()).to.deep.equal({
      reading: "store",
      readingFor: 1_000,
      lastReading: "peer 10.1.0.4:8628",
      lastOutcome: "old",
      lastTook: 10,
    });
    expect(ended).to.deep.equal(["peer old"]);
  });
});
