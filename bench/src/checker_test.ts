import { expect } from "chai";
import type { HistoryEntry } from "./checker.ts";
import { checkHistory, hasNoViolations, parseLabel } from "./checker.ts";

const SENT = {
  label: "r1",
  className: "notices",
  isIdempotent: false,
  expected: { digest: "a" },
  deadlineMs: 1_000,
};
const EXECUTED = {
  requestId: "handlers/b~e~1~r1",
  stage: "s",
  attempt: 1,
  at: 0,
};
const GOOD: HistoryEntry = {
  sent: SENT,
  received: { kind: "answered", output: { digest: "a" }, latencyMs: 5 },
};

describe("history checker", () => {
  it("accepts a history in which every request was executed once and answered in full", () => {
    const result = checkHistory([GOOD], [EXECUTED]);
    expect(result.answeredInTime).to.equal(1);
    expect(hasNoViolations(result)).to.equal(true);
  });

  const BROKEN = [
    {
      name: "a duplicate execution",
      history: GOOD,
      executions: [EXECUTED, EXECUTED],
      violation: "doubled",
    },
    {
      name: "a lost answer",
      history: { sent: SENT, received: undefined },
      executions: [EXECUTED],
      violation: "lost",
    },
    {
      name: "an answer that belongs to another request",
      history: {
        sent: SENT,
        received: {
          kind: "answered",
          output: { digest: "b" },
          latencyMs: 5,
        },
      },
      executions: [EXECUTED],
      violation: "wrong",
    },
    {
      name: "a 'not run' answer to an executed request",
      history: {
        sent: SENT,
        received: {
          kind: "failed",
          verdict: "not_run",
          reason: "overloaded",
          latencyMs: 5,
        },
      },
      executions: [EXECUTED],
      violation: "falselyNotRun",
    },
  ] as const;

  for (const { name, history, executions, violation } of BROKEN) {
    it(`finds ${name}`, () => {
      const result = checkHistory([history], executions);
      expect(result[violation]).to.deep.equal(["r1"]);
      expect(hasNoViolations(result)).to.equal(false);
    });
  }

  it("extracts the label from request ids of every form", () => {
    expect(parseLabel("handlers/b~entry-1-ab~kx~r1")).to.equal("r1");
    expect(parseLabel("handlers/r1")).to.equal("r1");
  });
});
