import { expect } from "chai";
import { putBounded } from "./bounded_map.ts";

describe("bounded map", () => {
  const CASES = [
    { name: "below its bound", keys: ["a", "b"], left: ["a", "b"] },
    { name: "above its bound", keys: ["a", "b", "c", "d"], left: ["c", "d"] },
    { name: "a key again", keys: ["a", "b", "a"], left: ["a", "b"] },
  ];
  for (const { name, keys, left } of CASES) {
    it(`keeps the keys that were inserted last: ${name}`, () => {
      const map = new Map<string, number>();
      keys.forEach((key, index) => putBounded(map, [key, index], 2));
      expect([...map.keys()]).to.deep.equal(left);
    });
  }
});
