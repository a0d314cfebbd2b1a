import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { Claim } from "./claim_table.ts";
import { createClaimTable } from "./claim_table.ts";

const NEVER = new AbortController().signal;

function claim(claimId: string, incarnation = claimId): Claim {
  return {
    account: "handlers",
    id: "n1",
    claimId,
    incarnation,
    issuedAt: 1_000_000,
  };
}

describe("claim table", () => {
  function create() {
    const clock = createFakeClock(1_000_000);
    return { clock, table: createClaimTable({ clock, window: 10_000 }) };
  }

  // The caller sends a notice to entry a, gets no answer, and sends it to entry
  // b. Both claim it; the log orders b first, so a must not run it.
  it("lets the first in log order win, whoever waited first", async () => {
    const { table } = create();
    const a = table.waitFor(claim("a"), NEVER);
    const b = table.waitFor(claim("b"), NEVER);
    table.apply(claim("b"));
    table.apply(claim("a"));
    expect(await a).to.deep.equal({ kind: "lost", holder: "b" });
    expect(await b).to.deep.equal({ kind: "won" });
    const c = table.waitFor(claim("c"), NEVER);
    table.apply(claim("c"));
    expect(await c).to.deep.equal({ kind: "lost", holder: "b" });
    expect(table.find(claim("c"))?.claimId).to.equal("b");
  });

  it("counts a claim once if its append was repeated", async () => {
    const { table } = create();
    table.apply(claim("a"));
    table.apply(claim("a"));
    expect(await table.waitFor(claim("a"), NEVER)).to.deep.equal({
      kind: "won",
    });
  });

  it("stays unknown when the log does not decide in time", async () => {
    const { table } = create();
    const controller = new AbortController();
    const waiting = table.waitFor(claim("a"), controller.signal);
    controller.abort();
    expect(await waiting).to.deep.equal({ kind: "unknown" });
  });

  it("separates accounts that use the same id", async () => {
    const { table } = create();
    table.apply({ ...claim("a"), account: "portal" });
    table.apply(claim("b"));
    expect(await table.waitFor(claim("b"), NEVER)).to.deep.equal({
      kind: "won",
    });
  });

  // If the claim expired while the caller still retries, the id would look new.
  // Ids carry their time, and one older than the window is not accepted at all,
  // while claims are kept for twice the window.
  it("drops claims only after their ids are refused as too old", async () => {
    const { table, clock } = create();
    table.apply(claim("a"));
    await clock.advance(10_001);
    expect(table.isWithinWindow(1_000_000)).to.equal(false);
    for (let i = 0; i < 2_048; i++) {
      table.apply({ ...claim(`x${i}`), id: `x${i}`, issuedAt: clock.now() });
    }
    expect(table.find(claim("a"))?.claimId).to.equal("a");
  });

  it("refuses ids from a clock far ahead", () => {
    const { table } = create();
    expect(table.isWithinWindow(1_000_000 + 61_000)).to.equal(false);
  });
});
