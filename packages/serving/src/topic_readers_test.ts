import { createMembership } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createTestPeer } from "./test_support.ts";
import { listTopicReaders } from "./topic_readers.ts";

/** What each entry of a fleet that knows all others asks. */
function listAll(size: number): string[][] {
  const records = Array.from(
    { length: size },
    (_, index) => createTestPeer(`entry-${index}`),
  );
  return records.map((self) => {
    const membership = createMembership({
      clock: createFakeClock(0),
      self,
      random: () => 0,
      suspectAfter: 2_500,
      loseAfter: 6_000,
    });
    membership.merge(records);
    return listTopicReaders(membership);
  });
}

describe("readers of the store", () => {
  const SIZES = [
    { size: 1, readers: 1 },
    { size: 2, readers: 1 },
    { size: 8, readers: 1 },
    { size: 9, readers: 2 },
    { size: 86, readers: 11 },
  ];
  for (const { size, readers } of SIZES) {
    it(`are ${readers} of ${size} entries, on whom all agree`, () => {
      const all = listAll(size);
      expect(all.filter((asked) => asked.length === 0).length)
        .to.equal(readers);
      expect(new Set(all.flat()).size)
        .to.equal(readers < size ? readers : 0);
    });
  }

  it("are asked by about as many entries each", () => {
    const firsts = listAll(86).flatMap((asked) => asked.slice(0, 1));
    const counts = [...new Set(firsts)].map((address) =>
      firsts.filter((first) => first === address).length
    );
    expect(Math.max(...counts)).to.be.at.most(16);
  });
});
