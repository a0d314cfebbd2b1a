import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createConfigFreshness } from "./config_freshness.ts";
import { createSilentDecisionLog } from "./decision_log.ts";

/** Guards against keys that an entry accepts by a copy of an old configuration. */
describe("an entry that starts as the store returns from an older copy", () => {
  function create({ isAwaitingPeers = false, startedFor = 0 }) {
    const clock = createFakeClock(0);
    const freshness = createConfigFreshness({
      clock,
      random: () => 0,
      log: createSilentDecisionLog(),
      metrics: { setConfigAge: () => {} },
      isAwaitingPeers: () => isAwaitingPeers,
      siteState: {
        readTable: () => ({ config: { version: 7 } }) as never,
        configAge: { read: () => 0 } as never,
        applyPublished: () => {},
        describeConfigReads: () => ({}),
      } as never,
    });
    return clock.advance(startedFor).then(() => freshness);
  }

  it("is behind as soon as a peer tells of a newer version", async () => {
    const freshness = await create({});
    expect(freshness.isBehindPeers()).to.equal(false);
    freshness.noteVersion(8);
    expect(freshness.isBehindPeers()).to.equal(true);
  });

  it("is behind until a peer has replied", async () => {
    const freshness = await create({ isAwaitingPeers: true });
    expect(freshness.isBehindPeers()).to.equal(true);
  });

  it("has time to read a new version once it has run for a while", async () => {
    const freshness = await create({ startedFor: 10_000 });
    freshness.noteVersion(8);
    expect(freshness.isBehindPeers()).to.equal(false);
  });
});
