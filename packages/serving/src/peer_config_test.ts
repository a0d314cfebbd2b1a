import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { followPeerConfigs } from "./peer_config.ts";

describe("the configuration of a peer", () => {
  // All entries of a place start again before a store that came back from an
  // older copy. Keys are refused until somebody publishes a configuration again.
  it("is taken while this entry is behind, from one that answers", async () => {
    const clock = createFakeClock(0);
    const controller = new AbortController();
    const asked: string[] = [];
    const taken: string[] = [];
    let isBehind = false;
    const draws = [0, 0.9];
    void followPeerConfigs({
      clock,
      random: () => draws[asked.length % draws.length] ?? 0,
      signal: controller.signal,
      isBehind: () => isBehind,
      listAhead: () => ["silent", "other"],
      ask: (address) => {
        asked.push(address);
        return Promise.resolve(address === "silent" ? undefined : "version 8");
      },
      take(value) {
        taken.push(value);
        isBehind = false;
      },
    });
    await clock.advance(1_000);
    expect(asked).to.deep.equal([]);
    isBehind = true;
    await clock.advance(1_000);
    controller.abort();
    expect(asked).to.deep.equal(["silent", "other"]);
    expect(taken).to.deep.equal(["version 8"]);
  });
});
