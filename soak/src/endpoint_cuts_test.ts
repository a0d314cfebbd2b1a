import { expect } from "chai";
import type { EndpointCut } from "./endpoint_cuts.ts";
import { listCutViolations } from "./endpoint_cuts.ts";
import type { CallResult } from "./soak_callers.ts";

describe("the check of entries that reach no endpoint", () => {
  const cuts: readonly EndpointCut[] = [{ entry: "a", from: 0, until: 9_000 }];

  function createResults(
    entry: string,
    { sent, served, sentAt }: { sent: number; served: number; sentAt: number },
  ): CallResult[] {
    return Array.from({ length: sent }, (_, index) => ({
      id: `${entry}-${index}`,
      kind: "plain",
      key: "key",
      sentAt,
      entry,
      status: index < served ? 200 : 503,
    }));
  }

  function check(served: number, { sentAt = 4_000 } = {}): string[] {
    return listCutViolations([
      ...createResults("a", { sent: 60, served, sentAt }),
      ...createResults("b", { sent: 90, served: 80, sentAt }),
    ], cuts);
  }

  // A check that never reports would hide that cut entries refuse all callers.
  it("reports callers that are served far worse than those of others", () => {
    expect([check(0), check(30), check(40), check(60)]).to.deep.equal([
      [
        "entries that reach no endpoint served 0 of 60 requests, the others 80 of 90",
      ],
      [
        "entries that reach no endpoint served 30 of 60 requests, the others 80 of 90",
      ],
      [],
      [],
    ]);
  });

  it("excuses the first seconds of a cut and what comes after it", () => {
    expect([check(0, { sentAt: 2_900 }), check(0, { sentAt: 9_000 })])
      .to.deep.equal([[], []]);
  });
});
