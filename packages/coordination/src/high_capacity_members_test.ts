import { expect } from "chai";
import { listHighCapacity } from "./high_capacity_members.ts";

describe("high-capacity members", () => {
  const CASES = [
    { members: [], expected: [] },
    { members: [0.7, 0.7], expected: [0.7, 0.7] },
    { members: [0.3, 1.35, 0.3, 1.2], expected: [1.35, 1.2] },
    { members: [0.3, 0.2, 0.1], expected: [0.3, 0.2] },
  ];
  for (const { members, expected } of CASES) {
    it(`of ${members.join(", ") || "none"} are those near the largest`, () => {
      expect(listHighCapacity(members, (capacity) => capacity))
        .to.deep.equal(expected);
    });
  }
});
