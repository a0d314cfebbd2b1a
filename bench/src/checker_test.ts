import { expect } from "chai";
import type { HistoryEntry } from "./checker.ts";
import { isUnbroken, judgeHistory, readLabel } from "./checker.ts";

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
  it("accepts a history in which everything was answered once and whole", () => {
    const judgement = judgeHistory([GOOD], [EXECUTED]);
    expect(judgement.wholeInTime).to.equal(1);
    expect(isUnbroken(judgement)).to.equal(true);
  });

  const BROKEN = [
    {
      name: "a doubled execution",
      history: GOOD,
      executions: [EXECUTED, EXECUTED],
      finds: "doubled",
    },
    {
      name: "a lost answer",
      history: { sent: SENT, received: undefined },
      executions: [EXECUTED],
      finds: "lost",
    },
    {
      name: "an answer of another request",
      history: {
        sent: SENT,
        received: {
          kind: "answered",
          output: { digest: "b" },
          latencyMs: 5,
        },
      },
      executions: [EXECUTED],
      finds: "wrong",
    },
    {
      name: "a false not run",
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
      finds: "falselyNotRun",
    },
  ] as const;

  for (const { name, history, executions, finds } of BROKEN) {
    it(`finds ${name}`, () => {
      const judgement = judgeHistory([history], executions);
      expect(judgement[finds]).to.deep.equal(["r1"]);
      expect(isUnbroken(judgement)).to.equal(false);
    });
  }

  it("reads the caller's part off ids of every form", () => {
    expect(readLabel("handlers/b~entry-1-ab~kx~r1")).to.equal("r1");
    expect(readLabel("handlers/r1")).to.equal("r1");
  });
});
