import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { createStopPlan } from "./stop_plan.ts";
import { runStopSoak } from "./stop_soak.ts";

const TEST_TIMEOUT_MS = 90_000;

describe("entries that stop under long streams", function () {
  this.timeout(TEST_TIMEOUT_MS);

  // Callers lost streams that a stopping entry accepted, passed on and cut off.
  // Seed 2 stops five entries in turn and all at once, with 5 s to stop.
  it("finish all that they accept after the signal", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-stops-"));
    const { violations, finished, refused } = await runStopSoak({
      seed: 2,
      folder,
    });
    expect(violations).to.deep.equal([]);
    expect(finished).to.be.greaterThan(50);
    expect(refused).to.be.greaterThan(20);
  });

  it("are stopped in all ways within a few seeds", () => {
    const kinds = [1, 2].flatMap((seed) =>
      createStopPlan(seed).stops.map(({ kind }) => kind)
    );
    expect(new Set(kinds))
      .to.deep.equal(new Set(["one", "one_again", "rolling", "all"]));
  });
});
