import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createFallbackPeers } from "./fallback_peers.ts";

const OTHERS = Array.from({ length: 20 }, (_, index) => `10.1.0.${index}`);

describe("fallback peers", () => {
  it("chooses eight distinct candidates for one search", () => {
    const clock = createFakeClock(0);
    const peers = createFallbackPeers({ clock, random: () => 0.99 });
    const chosen = peers.chooseCandidates(() => OTHERS);
    expect(new Set(chosen).size).to.equal(8);
    expect(peers.chooseCandidates(() => ["only"])).to.deep.equal(["only"]);
  });

  // Without the back-off, each entry would ask eight others all the time in an
  // outage for all.
  it("backs off while no peer is usable", async () => {
    const clock = createFakeClock(0);
    const peers = createFallbackPeers({ clock, random: () => 0.5 });
    const searchedAt: number[] = [];
    while (clock.now() < 6_000) {
      if (peers.chooseCandidates(() => OTHERS).length > 0) {
        searchedAt.push(clock.now());
        peers.recordNotFound();
      }
      await clock.advance(50);
    }
    expect(searchedAt).to.deep.equal([
      ...[0, 50, 150, 300, 500, 800, 1_200, 1_800, 2_700, 4_000, 5_600],
    ]);
  });

  it("prefers the peer that was found for five seconds", async () => {
    const clock = createFakeClock(0);
    const peers = createFallbackPeers({ clock, random: () => 0.5 });
    expect(peers.readPreferred()).to.equal(undefined);
    peers.recordFound("10.1.0.7");
    await clock.advance(4_999);
    expect(peers.readPreferred()).to.equal("10.1.0.7");
    await clock.advance(1);
    expect(peers.readPreferred()).to.equal(undefined);
  });
});
