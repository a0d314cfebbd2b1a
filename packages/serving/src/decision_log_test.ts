import type { Logger } from "@mangoreach/shared";
import { createFakeClock, createSilentLogger } from "@mangoreach/shared";
import { expect } from "chai";
import { createDecisionLog } from "./decision_log.ts";

describe("decision log", () => {
  function create() {
    const clock = createFakeClock(0);
    const lines: string[] = [];
    const dropped: string[] = [];
    const logger: Logger = {
      ...createSilentLogger(),
      info: (message, fields) =>
        void lines.push(`${message} ${JSON.stringify(fields)}`),
    };
    const log = createDecisionLog({
      clock,
      logger,
      onDropped: (kind) => dropped.push(kind),
    });
    return { clock, lines, dropped, log };
  }

  it("writes inputs and outcome, with rounded numbers", () => {
    const { lines, log } = create();
    log.record("attempt_ended", { request: "r", left: 12.3456, outcome: "x" });
    expect(lines)
      .to.deep.equal([
        'attempt_ended {"request":"r","left":12.3,"outcome":"x"}',
      ]);
  });

  // In a burst of refusals, a line for each would take processor time from the
  // requests that can be served. Dropped lines are counted.
  it("limits the lines of one kind and counts the dropped ones", async () => {
    const { lines, dropped, log, clock } = create();
    for (let index = 0; index < 250; index++) {
      log.record("request_refused", {});
    }
    log.record("request_answered", {});
    expect(lines.length).to.equal(101);
    expect(dropped.length).to.equal(150);
    await clock.advance(1_000);
    log.record("request_refused", {});
    expect(lines.length).to.equal(102);
  });
});
