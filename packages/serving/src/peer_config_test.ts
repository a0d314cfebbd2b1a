import { expect } from "chai";
import { refreshFromPeer } from "./peer_config.ts";

describe("configuration from a peer", () => {
  // All entries of a place restart after the store was restored from an older
  // copy. Without this, keys are refused until a configuration is published
  // again.
  it("is fetched from a peer that answers", async () => {
    const asked: string[] = [];
    const taken: string[] = [];
    const refresh = (draw: number, newerPeers = ["silent", "other"]) =>
      refreshFromPeer({
        random: () => draw,
        listNewerPeers: () => newerPeers,
        fetch: (address) => {
          asked.push(address);
          const value = address === "silent" ? undefined : "version 8";
          return Promise.resolve(value);
        },
        apply: (value) => taken.push(value),
      });
    await refresh(0);
    expect(taken).to.deep.equal([]);
    await refresh(0.9);
    await refresh(0.5, []);
    expect(asked).to.deep.equal(["silent", "other"]);
    expect(taken).to.deep.equal(["version 8"]);
  });
});
