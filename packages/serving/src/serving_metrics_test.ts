import { expect } from "chai";
import { createServingMetrics } from "./serving_metrics.ts";

describe("serving metrics", () => {
  // With 1,300 accounts, series of accounts that are no longer reported would
  // add up without bound.
  it("reports only the accounts that are listed now", async () => {
    const metrics = createServingMetrics("entry");
    const place = { pool: "p", partition: "here" };
    let account = "a";
    metrics.setAccountUse(() => [{ ...place, account, use: 1_500, drops: 2 }]);
    await metrics.registry.metrics();
    account = "b";
    const text = await metrics.registry.metrics();
    expect(text).to.include(
      'mangoreach_account_endpoint_seconds{pool="p",' +
        'partition="here",account="b",entry="entry"} 1.5',
    );
    expect(text).to.match(/account_pieces_dropped\{.*"b".*\} 2/);
    expect(text).to.not.include('account="a"');
  });
});
