import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createOutcomeTable } from "./outcome_table.ts";

const KEY = { account: "handlers", id: "notice-1" };

describe("outcome table", () => {
  function createTable(capacity = 10) {
    const clock = createFakeClock(0);
    return { clock, table: createOutcomeTable<string>({ clock, capacity }) };
  }

  it("begins a request once and returns its outcome to repeated requests", async () => {
    const { table } = createTable();
    const first = table.begin(KEY, 1_000);
    const second = table.begin(KEY, 1_000);
    if (first.kind === "fresh") first.run.finish("issued");
    expect(first.kind).to.equal("fresh");
    expect(second.kind).to.equal("known");
    expect(second.kind === "known" && await second.outcome).to.equal("issued");
  });

  it("distinguishes accounts that use the same id", () => {
    const { table } = createTable();
    table.begin(KEY, 1_000);
    expect(table.begin({ ...KEY, account: "portal" }, 1_000).kind)
      .to.equal("fresh");
  });

  it("never runs a request that was forbidden before it began", () => {
    const { table } = createTable();
    expect(table.forbid(KEY, 1_000).kind).to.equal("forbidden");
    expect(table.begin(KEY, 1_000).kind).to.equal("forbidden");
  });

  it("returns the outcome of a running request instead of forbidding it", async () => {
    const { table } = createTable();
    const begun = table.begin(KEY, 1_000);
    const asked = table.forbid(KEY, 1_000);
    if (begun.kind === "fresh") begun.run.finish("issued");
    expect(asked.kind === "known" && await asked.outcome).to.equal("issued");
  });

  it("lets a later attempt run a request abandoned before dispatch", () => {
    const { table } = createTable();
    const begun = table.begin(KEY, 1_000);
    if (begun.kind === "fresh") begun.run.abandon("refused");
    expect(table.begin(KEY, 1_000).kind).to.equal("fresh");
  });

  it("refuses new requests when full and removes only expired records", async () => {
    const { table, clock } = createTable(1);
    const other = { ...KEY, id: "notice-2" };
    table.begin(KEY, 1_000);
    expect(table.begin(other, 2_000).kind).to.equal("full");
    await clock.advance(1_001);
    expect(table.begin(other, 3_000).kind).to.equal("fresh");
  });
});
