import { expect } from "chai";
import fc from "fast-check";
import { createFakeClock } from "@mangoreach/shared";
import {
  computeMaxMinShare,
  createAccountShares,
  MAX_TRACKED_ACCOUNTS,
} from "./account_shares.ts";

describe("account shares", () => {
  // A burst that counted forever would keep its account behind the others for
  // the rest of the day; a new dispatcher starts without any use.
  it("halves the recent use every two seconds", async () => {
    const clock = createFakeClock(0);
    const shares = createAccountShares(clock);
    expect(shares.readUse("a")).to.equal(0);
    shares.record("a", 600);
    shares.record(undefined, 200);
    await clock.advance(2_000);
    expect(shares.readUse("a")).to.be.closeTo(300, 1e-6);
    expect(shares.readPercent("a")).to.be.closeTo(75, 1e-6);
    expect(shares.readUse(undefined)).to.be.closeTo(100, 1e-6);
  });

  // With 1,300 accounts the state of a dispatcher would grow without bound; if
  // the account in a burst were evicted, it would count as one without use.
  it("evicts the least used account above its bound", () => {
    const shares = createAccountShares(createFakeClock(0));
    shares.record("large", 10_000);
    shares.recordDrop("large");
    for (let index = 0; index < 1_300; index++) {
      shares.record(`a${index}`, 100 + index);
    }
    expect(shares.listMostUsed(Infinity).length).to.equal(MAX_TRACKED_ACCOUNTS);
    expect(shares.listMostUsed(1))
      .to.deep.equal([{ account: "large", use: 10_000, drops: 1 }]);
    expect(shares.readUse("a0")).to.equal(0);
  });

  it("computes the max-min share of those that wait", () => {
    const shares = createAccountShares(createFakeClock(0));
    shares.record("a", 100);
    shares.record("b", 500);
    expect(shares.computeShare(new Map())).to.equal(Infinity);
    expect(shares.computeShare(new Map([["b", 400]]))).to.equal(500);
    expect(shares.computeShare(new Map([["a", 400], ["b", 400]])))
      .to.equal(300);
  });

  // A share above the capacity would let all accounts count as within theirs;
  // one below it would hold back an account whose part nobody else uses.
  it("divides the whole capacity if demands exceed it", () => {
    const demands = fc.array(fc.integer({ min: 0, max: 1_000 }), {
      maxLength: 40,
    });
    fc.assert(fc.property(demands, fc.nat(20_000), (list, capacity) => {
      const share = computeMaxMinShare(list, capacity);
      const total = list.reduce((sum, demand) => sum + demand, 0);
      const given = list.reduce((sum, each) => sum + Math.min(each, share), 0);
      expect(given).to.be.closeTo(Math.min(total, capacity), 1e-6);
    }));
  });
});
