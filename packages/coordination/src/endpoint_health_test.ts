import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createEndpointHealth, ejectSlowest } from "./endpoint_health.ts";

describe("endpoint ejection", () => {
  function createPool(ratios: number[]) {
    const clock = createFakeClock();
    const pool = ratios.map(() => createEndpointHealth(clock));
    pool.forEach((health, i) => {
      for (let n = 0; n < 60; n++) health.recordSuccess(ratios[i] ?? 1);
    });
    return { clock, pool };
  }

  it("ejects an outlier for a while", async () => {
    const { clock, pool } = createPool([1, 1, 1, 9]);
    expect(ejectSlowest(pool)).to.equal(pool[3]);
    await clock.advance(1_001);
    expect(pool[3]?.isEjected()).to.equal(false);
  });

  // A surge makes every endpoint slow at once. Ejecting the slow ones would
  // move their load to the others until the pool is empty.
  it("ejects nothing in a surge that makes the whole pool slow", () => {
    const { pool } = createPool([9, 9, 9, 9]);
    expect(ejectSlowest(pool)).to.equal(undefined);
  });

  it("never ejects more than a third of a pool for being slow", () => {
    const { pool } = createPool([1, 1, 1, 9, 9, 9]);
    while (ejectSlowest(pool) !== undefined);
    expect(pool.filter((health) => health.isEjected()).length).to.equal(2);
  });
});
