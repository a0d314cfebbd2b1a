import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createConfigAgeLog } from "./config_age_log.ts";

describe("log of the configuration's age", () => {
  it("writes a line when it gets stale and when it is fresh again", async () => {
    const clock = createFakeClock(0);
    const lines: unknown[] = [];
    const ages: Millis[] = [];
    let confirmedAt: Millis = -Infinity;
    const ageLog = createConfigAgeLog({
      clock,
      log: { record: (kind, fields) => lines.push([kind, fields]) },
      metrics: { setConfigAge: (age) => ages.push(age) },
      readAge: () => clock.now() - confirmedAt,
      describe: () => ({ configVersion: 3, peersVersion: 4 }),
    });
    async function checkFor(duration: Millis): Promise<void> {
      for (let time = 0; time < duration; time += 250) {
        await clock.advance(250);
        ageLog.check();
      }
    }
    await checkFor(1_000);
    expect(ages).to.deep.equal([]);
    confirmedAt = 1_000;
    await checkFor(4_000);
    confirmedAt = 5_000;
    await checkFor(500);
    expect(lines).to.deep.equal([
      ["knowledge_aged", {
        configAge: 2_250,
        configVersion: 3,
        peersVersion: 4,
      }],
      ["knowledge_renewed", {
        configAge: 250,
        oldFor: 4_250,
        configVersion: 3,
        peersVersion: 4,
      }],
    ]);
  });
});
