import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createVersionWatch } from "./version_watch.ts";

describe("a store that is behind the peers", () => {
  // A peer hears of a new version first, as in any change: the next word of the
  // store brings it here too.
  it("is not one that has not been asked since the peer told", async () => {
    const clock = createFakeClock(0);
    const watch = createVersionWatch(clock);
    await clock.advance(1_000);
    watch.note(8);
    await clock.advance(400);
    expect(watch.isBehind(7, 600)).to.equal(false);
    expect(watch.isBehind(8, 0)).to.equal(false);
  });

  // The store was away for a moment and is a copy of some seconds before. An
  // entry starts, reads the configuration before the last, and a key that was
  // taken away in between opens requests.
  it("is one that says otherwise later than the peer", async () => {
    const clock = createFakeClock(0);
    const watch = createVersionWatch(clock);
    watch.note(8);
    await clock.advance(400);
    expect(watch.isBehind(7, 100)).to.equal(true);
    // The operator has written it again, or nobody has it any more.
    expect(watch.isBehind(8, 100)).to.equal(false);
    watch.note(7);
    expect(watch.isBehind(7, 0)).to.equal(false);
  });

  // Serves keys that were taken away: the way to the store's news has failed, and
  // the age of what is known is still allowed.
  it("is one that a peer has told of a second ago", async () => {
    const clock = createFakeClock(0);
    const watch = createVersionWatch(clock);
    watch.note(8);
    await clock.advance(600);
    watch.note(9);
    await clock.advance(400);
    expect(watch.isBehind(7, 2_000)).to.equal(false);
    await clock.advance(1);
    expect(watch.isBehind(7, 2_001)).to.equal(true);
    // In a storm of changes it is always some behind, but never by long.
    expect(watch.isBehind(8, 2_001)).to.equal(false);
    await clock.advance(600);
    expect(watch.isBehind(8, 2_601)).to.equal(true);
    expect(watch.isBehind(9, 2_601)).to.equal(false);
  });
});
