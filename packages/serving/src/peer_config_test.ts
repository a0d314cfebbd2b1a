import { expect } from "chai";
import { refreshFromPeer } from "./peer_config.ts";

describe("configuration from a peer", () => {
  // All entries of a place restart after the store was restored from an older
  // copy. Without this, keys are refused until a configuration is published
  // again.
  it("is fetched from a peer that answers", async () => {
    const requested: string[] = [];
    const applied: string[] = [];
    const refresh = (draw: number, newerPeers = ["silent", "other"]) =>
      refreshFromPeer({
        random: () => draw,
        listNewerPeers: () => newerPeers,
        fetch: (address) => {
          requested.push(address);
          const value = address === "silent" ? undefined : "version 8";
          return Promise.resolve(value);
        },
        apply: (value) => applied.push(value),
      });
    await refresh(0);
    expect(applied).to.deep.equal([]);
    await refresh(0.9);
    await refresh(0.5, []);
    expect(requested).to.deep.equal(["silent", "other"]);
    expect(applied).to.deep.equal(["version 8"]);
  });
});
