import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { watchConfigAge } from "./config_age_watch.ts";

describe("watch of the configuration's age", () => {
  it("writes one line when it is old and one when it is young again", async () => {
    const clock = createFakeClock(0);
    const controller = new AbortController();
    const lines: unknown[] = [];
    const ages: Millis[] = [];
    let confirmedAt: Millis = -Infinity;
    void watchConfigAge({
      clock,
      signal: controller.signal,
      log: { record: (kind, fields) => lines.push([kind, fields]) },
      metrics: { setConfigAge: (age) => ages.push(age) },
      readAge: () => clock.now() - confirmedAt,
      describe: () => ({ configVersion: 3, peersVersion: 4 }),
    });
    await clock.advance(1_000);
    expect(ages).to.deep.equal([]);
    confirmedAt = 1_000;
    await clock.advance(4_000);
    confirmedAt = 5_000;
    await clock.advance(500);
    controller.abort();
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
