import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createStoreHealth } from "./store_health.ts";

describe("health of the store", () => {
  it("probes an unreachable store once a second until it answers", async () => {
    const clock = createFakeClock(0);
    const access = createStoreHealth(clock, () => 0.5);
    expect([access.isUnreachable(), access.reserveProbe()]).to.deep.equal([
      false,
      false,
    ]);
    access.recordFailure();
    const probedAt: number[] = [];
    while (clock.now() < 3_500) {
      if (access.reserveProbe()) probedAt.push(clock.now());
      // Other calls that fail do not delay the probe.
      access.recordFailure();
      await clock.advance(100);
    }
    expect(probedAt).to.deep.equal([1_000, 2_000, 3_000]);
    access.recordSuccess();
    await clock.advance(1_000);
    expect([access.isUnreachable(), access.reserveProbe()]).to.deep.equal([
      false,
      false,
    ]);
  });
});
