import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPoolReach } from "./pool_reach.ts";
import { createTestEndpoint } from "./test_support.ts";

describe("the record of the pools that an entry reaches", () => {
  // Without it, an entry that is cut off from all endpoints cannot be told from
  // a pool whose endpoints have all ended.
  it("logs once that no endpoint of a pool is reached, and its end", async () => {
    const clock = createFakeClock(0);
    const lines: unknown[] = [];
    const endpoints = ["a", "b"].map((id) => createTestEndpoint(id));
    const [a, b] = endpoints as [typeof endpoints[0], typeof endpoints[0]];
    const record = createPoolReach({
      clock,
      log: { record: (kind, fields) => void lines.push({ kind, ...fields }) },
      metrics: { countConnect: () => {} },
      listUsable: () => endpoints,
    });
    record(a, "refused");
    record(b, "silent");
    record(b, "refused");
    await clock.advance(70);
    record(a, "connected");
    record(a, "refused");
    expect(lines).to.deep.equal([
      {
        kind: "pool_unreachable",
        pool: "pool",
        endpoints: 2,
        refused: 1,
        silent: 1,
      },
      {
        kind: "pool_reachable",
        pool: "pool",
        endpoint: "a",
        unreachableFor: 70,
      },
      {
        kind: "pool_unreachable",
        pool: "pool",
        endpoints: 2,
        refused: 2,
        silent: 0,
      },
    ]);
  });
});
