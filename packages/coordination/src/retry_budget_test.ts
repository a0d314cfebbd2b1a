import { expect } from "chai";
import { createRetryBudget } from "./retry_budget.ts";

describe("retry budget", () => {
  it("allows second attempts only as a share of first attempts", () => {
    const budget = createRetryBudget({ share: 0.1, max: 2 });
    let allowed = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.deposit();
      if (budget.withdraw()) allowed++;
    }
    expect(allowed).to.be.within(99, 102);
  });
});
