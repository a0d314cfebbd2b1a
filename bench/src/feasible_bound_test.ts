import { expect } from "chai";
import { computeFeasibleShare } from "./feasible_bound.ts";

describe("feasible bound", () => {
  const cost = (a: number, b: number) => new Map([["a", a], ["b", b]]);
  const CASES = [
    {
      name: "1 when all requests fit",
      costs: [cost(1, 1), cost(1, 1)],
      a: 2,
      b: 2,
      share: 1,
    },
    {
      name: "the share that the most loaded pool serves",
      costs: [cost(1, 1), cost(1, 1)],
      a: 9,
      b: 1,
      share: 0.5,
    },
    {
      name: "computed from the cheapest requests",
      costs: [cost(5, 0), cost(1, 0), cost(1, 0)],
      a: 2,
      b: 0,
      share: 2 / 3,
    },
    {
      name: "0 without capacity",
      costs: [cost(1, 0)],
      a: 0,
      b: 0,
      share: 0,
    },
  ];
  for (const { name, costs, a, b, share } of CASES) {
    it(`is ${name}`, () => {
      expect(computeFeasibleShare(costs, cost(a, b))).to.equal(share);
    });
  }
});
