import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import type { AddressCandidate } from "./address_selection.ts";
import { chooseAddresses } from "./address_selection.ts";

function candidate(
  entry: string,
  change: Partial<AddressCandidate> = {},
): AddressCandidate {
  return {
    entry,
    incarnation: entry,
    place: "odda",
    callerAddress: entry,
    state: "live",
    health: "alive",
    inFlight: 0,
    age: 0,
    ...change,
  };
}

describe("address choice", () => {
  const seeded = new Random(MersenneTwister19937.seed(3));
  const random = () => seeded.realZeroToOneExclusive();

  function countFirst(candidates: AddressCandidate[], place?: string) {
    const counts = new Map<string, number>();
    for (let i = 0; i < 4_000; i++) {
      const { ordered } = chooseAddresses(candidates, {
        callerPlace: place,
        limit: 4,
        random,
      });
      const first = ordered[0]?.entry ?? "";
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    return (entry: string) => counts.get(entry) ?? 0;
  }

  it("omits entries that are leaving or suspected", () => {
    const { ordered, keep } = chooseAddresses([
      candidate("a"),
      candidate("b", { state: "leaving" }),
      candidate("c", { health: "suspected" }),
    ], { callerPlace: "odda", limit: 4, random });
    expect(ordered.map(({ entry }) => entry)).to.deep.equal(["a"]);
    expect(keep).to.be.at.most(2_000);
  });

  it("spreads callers over equal entries instead of always choosing one", () => {
    const count = countFirst([candidate("a"), candidate("b")]);
    expect(count("a") / count("b")).to.be.within(0.85, 1.18);
  });

  it("prefers the caller's place without leaving other places idle", () => {
    const count = countFirst(
      [candidate("near"), candidate("far", { place: "voss" })],
      "odda",
    );
    expect(count("near") / count("far")).to.be.within(3, 5);
  });

  it("sends fewer callers to a busy entry, but discounts old load reports", () => {
    const fresh = countFirst([
      candidate("busy", { inFlight: 200 }),
      candidate("idle"),
    ]);
    const old = countFirst([
      candidate("busy", { inFlight: 200, age: 10_000 }),
      candidate("idle"),
    ]);
    expect(fresh("busy")).to.be.below(fresh("idle") / 3);
    expect(old("busy")).to.be.above(fresh("busy"));
  });
});
