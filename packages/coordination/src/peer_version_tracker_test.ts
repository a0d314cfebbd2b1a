import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPeerVersionTracker } from "./peer_version_tracker.ts";

describe("a store that is behind the peers", () => {
  // Some peer reads a new version first, as in any change; the next read of the
  // store brings it here too.
  it("is not one that has not been read since the peer's report", async () => {
    const clock = createFakeClock(0);
    const watch = createPeerVersionTracker(clock);
    await clock.advance(1_000);
    watch.record(8);
    await clock.advance(400);
    expect(watch.isBehind(7, 600)).to.equal(false);
    expect(watch.isBehind(8, 0)).to.equal(false);
  });

  // The store failed briefly and was restored from a copy a few seconds old. An
  // entry starts, reads an old configuration, and would accept a key that has
  // been revoked since.
  it("is one that returns an older version after the peer's report", async () => {
    const clock = createFakeClock(0);
    const watch = createPeerVersionTracker(clock);
    watch.record(8);
    await clock.advance(400);
    expect(watch.isBehind(7, 100)).to.equal(true);
    // The operator has written it again, or no peer has it any more.
    expect(watch.isBehind(8, 100)).to.equal(false);
    watch.record(7);
    expect(watch.isBehind(7, 0)).to.equal(false);
  });

  // The configuration feed has failed and the age of the known configuration is
  // still within its limit, so the entry would accept revoked keys.
  it("is one without a version that a peer reported a second ago", async () => {
    const clock = createFakeClock(0);
    const watch = createPeerVersionTracker(clock);
    watch.record(8);
    await clock.advance(600);
    watch.record(9);
    await clock.advance(400);
    expect(watch.isBehind(7, 2_000)).to.equal(false);
    await clock.advance(1);
    expect(watch.isBehind(7, 2_001)).to.equal(true);
    // In a storm of changes an entry is always behind, but never for long.
    expect(watch.isBehind(8, 2_001)).to.equal(false);
    await clock.advance(600);
    expect(watch.isBehind(8, 2_601)).to.equal(true);
    expect(watch.isBehind(9, 2_601)).to.equal(false);
  });
});
