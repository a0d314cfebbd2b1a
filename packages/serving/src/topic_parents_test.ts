import type { PeerState } from "@mangoreach/coordination";
import { createMembership } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createTestPeer } from "./test_support.ts";
import { chooseTopicParents } from "./topic_parents.ts";

const PLACES = ["a", "b", "c", "d", "e", "f"];

/** The parents of each entry in a fleet whose entries all know each other. */
function chooseAll(
  size: number,
  { strong = size, state = "live" }: { strong?: number; state?: PeerState } =
    {},
) {
  const records = Array.from({ length: size }, (_, index) => ({
    ...createTestPeer(`entry-${index}`),
    place: PLACES[index % PLACES.length] ?? "",
    capacity: index < strong ? 1.35 : 0.3,
    state,
  }));
  return records.map((self) => {
    const membership = createMembership({
      clock: createFakeClock(0),
      self,
      random: () => 0,
      suspectTimeout: 2_500,
      lostTimeout: 6_000,
    });
    membership.merge(records);
    return { self, ...chooseTopicParents(membership) };
  });
}

describe("relay tree of a topic", () => {
  const SIZES = [
    { size: 1, strong: 1, readers: 1, relays: 0 },
    { size: 2, strong: 2, readers: 1, relays: 1 },
    { size: 8, strong: 8, readers: 1, relays: 1 },
    { size: 20, strong: 20, readers: 2, relays: 2 },
    { size: 66, strong: 12, readers: 3, relays: 6 },
    { size: 195, strong: 18, readers: 3, relays: 17 },
    { size: 300, strong: 300, readers: 3, relays: 25 },
    { size: 1_000, strong: 90, readers: 3, relays: 84 },
  ];
  for (const { size, strong, readers, relays } of SIZES) {
    it(`has ${readers} store readers of ${size} entries, ${relays} parents`, () => {
      const all = chooseAll(size, { strong });
      expect(all.filter(({ isReader }) => isReader).length).to.equal(readers);
      const asking = all.filter(({ isReader }) => !isReader);
      expect(new Set(asking.flatMap(({ addresses }) => addresses)).size)
        .to.equal(relays);
    });
  }

  it("gives each parent about twelve children of its own place", () => {
    const all = chooseAll(195, { strong: 18 });
    const leaves = all.filter(({ storePause }) => storePause > 0);
    const firsts = leaves.flatMap(({ addresses }) => addresses.slice(0, 1));
    const counts = [...new Set(firsts)].map((address) =>
      firsts.filter((first) => first === address).length
    );
    expect(Math.max(...counts)).to.be.at.most(20);
    const places = new Map(
      all.map(({ self }) => [self.controlAddress, self.place]),
    );
    const near = leaves.filter(({ self, addresses }) =>
      places.get(addresses[0] ?? "") === self.place
    );
    expect(near.length).to.equal(leaves.length);
  });

  // All entries have just started, or the store has been unavailable for
  // seconds, so no entry is ready. If unready entries were treated as leaving,
  // each would read the store itself.
  it("is the same while no entry is ready", () => {
    const ready = chooseAll(66, { strong: 12 });
    const unready = chooseAll(66, { strong: 12, state: "unready" });
    expect(unready.map(({ addresses }) => addresses))
      .to.deep.equal(ready.map(({ addresses }) => addresses));
  });

  // Two relays that read from each other would keep taking each other's stale
  // data for fresh.
  it("has no relays that wait for each other", () => {
    const all = chooseAll(195, { strong: 18 });
    const parents = new Map(
      all.map(({ self, addresses }) => [self.controlAddress, addresses]),
    );
    for (const { self, isReader, addresses } of all) {
      // A store reader asks others without a wait, for the data that they have.
      if (isReader) continue;
      for (const parent of addresses) {
        const isReaderAsked = all.find((one) =>
          one.self.controlAddress === parent
        )?.isReader;
        if (isReaderAsked) continue;
        expect(parents.get(parent)).not.to.include(self.controlAddress);
      }
    }
  });
});
