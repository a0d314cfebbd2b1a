import type { Logger } from "@mangoreach/shared";
import { createFakeClock, createSilentLogger } from "@mangoreach/shared";
import { expect } from "chai";
import { createDecisionLog } from "./decision_log.ts";

describe("log of decisions", () => {
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

  it("writes inputs and outcome, with short numbers", () => {
    const { lines, log } = create();
    log.record("attempt_ended", { request: "r", left: 12.3456, outcome: "x" });
    expect(lines)
      .to.deep.equal([
        'attempt_ended {"request":"r","left":12.3,"outcome":"x"}',
      ]);
  });

  // A burst of refusals: a line for each would take the processor away from the
  // requests that can be served. What is left out is counted.
  it("bounds the lines of one kind and counts the rest", async () => {
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
