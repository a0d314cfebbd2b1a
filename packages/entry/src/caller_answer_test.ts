import { FAILURE_STATUS } from "@mangoreach/callers";
import type { FailureKind } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import { expect } from "chai";
import { createFailureAnswer } from "./caller_answer.ts";

// A plain HTTP client that gets one of these statuses repeats the request.
const NOT_RUN_STATUSES = [408, 421, 429, 503];

describe("failure answers", () => {
  for (const kind of Object.keys(FAILURE_STATUS) as FailureKind[]) {
    it(`say that nothing ran only with that verdict: ${kind}`, () => {
      const create = (verdict: "not_run" | "may_have_run" | "ran") =>
        createFailureAnswer(createFailure(kind, { verdict, message: "" }));
      expect(create("not_run").status).to.equal(FAILURE_STATUS[kind]);
      for (const verdict of ["may_have_run", "ran"] as const) {
        const answer = create(verdict);
        expect(answer.verdict).to.equal(verdict);
        expect(NOT_RUN_STATUSES).not.to.include(answer.status);
      }
    });
  }
});
