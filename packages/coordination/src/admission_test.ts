import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createAdmission, spreadRetryAfter } from "./admission.ts";

const RULINGS = { name: "rulings", priority: 1, target: 0.99 };

describe("admission", () => {
  const stage = { wait: 0, service: 100, unloaded: 50 };

  function admit(stages = [stage], remaining = 500) {
    const admission = createAdmission({
      clock: createFakeClock(),
      random: () => 0,
      maxInProgress: 1,
      readLowestPriority: () => 3,
    });
    return {
      admission,
      decide: () => admission.admit({ workClass: RULINGS, remaining, stages }),
    };
  }

  it("admits a request that can meet its deadline, and counts it until it ends", () => {
    const { admission, decide } = admit();
    const admitted = decide();
    expect(admission.inProgress).to.equal(1);
    expect(decide().isErr).to.equal(true);
    if (admitted.isOk) admitted.value.end({ kind: "other" });
    if (admitted.isOk) admitted.value.end({ kind: "other" });
    expect(admission.inProgress).to.equal(0);
  });

  it("refuses a request that queueing would make late, and says when to retry", () => {
    const { decide } = admit([{ ...stage, wait: 900 }]);
    const refused = decide();
    expect(refused.isErr && refused.error).to.deep.include({
      kind: "overloaded",
      verdict: "not_run",
      retryAfterMs: 500,
    });
  });

  it("refuses a deadline that even an idle site cannot meet", () => {
    const { decide } = admit([stage], 40);
    const refused = decide();
    expect(refused.isErr && refused.error.kind).to.equal("deadline_exceeded");
  });

  it("adds jitter to retry times, so that callers do not return together", () => {
    expect(spreadRetryAfter(1_000, () => 0)).to.equal(1_000);
    expect(spreadRetryAfter(1_000, () => 0.99)).to.equal(1_990);
    expect(spreadRetryAfter(0, () => 0)).to.be.above(0);
  });
});
