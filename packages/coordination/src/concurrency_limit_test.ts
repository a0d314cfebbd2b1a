import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createConcurrencyLimit } from "./concurrency_limit.ts";

describe("concurrency limit", () => {
  it("grows while the endpoint keeps up and shrinks once per congestion event", async () => {
    const clock = createFakeClock();
    const limit = createConcurrencyLimit({ clock, start: 4, max: 8 });
    for (let i = 0; i < 40; i++) limit.record(1, limit.value);
    expect(limit.value).to.equal(8);
    limit.record(5, 8);
    limit.record(5, 8);
    expect(limit.value).to.equal(6);
    await clock.advance(101);
    for (let i = 0; i < 60; i++) {
      limit.recordOverload();
      await clock.advance(101);
    }
    expect(limit.value).to.equal(1);
  });

  it("does not grow on measurements taken below the limit", () => {
    const limit = createConcurrencyLimit({
      clock: createFakeClock(),
      start: 4,
      max: 8,
    });
    for (let i = 0; i < 40; i++) limit.record(1, 1);
    expect(limit.value).to.equal(4);
  });
});
