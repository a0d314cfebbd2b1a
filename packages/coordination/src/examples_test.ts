import { expect } from "chai";
import { runGuardedService } from "../examples/guarded_http_service.ts";
import { runLeaseExample } from "../examples/lease_over_any_log.ts";

describe("examples of embedding", () => {
  it("transfer a lease with a higher fencing number", async () => {
    expect(await runLeaseExample()).to.deep.equal([
      "worker-a holds 0",
      "worker-b must wait",
      "worker-b holds 2",
      "worker-a may act: false",
    ]);
  });

  it("limit what a service accepts and what callers retry", async () => {
    const { answered, refused, retries } = await runGuardedService(20);
    expect(answered + refused).to.equal(20);
    expect(answered).to.be.at.least(4);
    expect(retries).to.be.at.most(4);
  });
});
