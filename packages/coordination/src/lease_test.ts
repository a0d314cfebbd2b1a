import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { LeaseRecord } from "./lease.ts";
import { createHeldLease, createLeaseTable } from "./lease.ts";

function record(
  kind: LeaseRecord["kind"],
  holder: string,
  fence?: number,
): LeaseRecord {
  const base = {
    kind,
    resource: "engines/engine",
    holder,
    attemptId: holder,
    duration: 100,
  };
  return fence === undefined ? base : { ...base, fence };
}

describe("lease table", () => {
  it("grants to the first and refuses others until it expires", () => {
    const table = createLeaseTable();
    expect(table.apply(record("acquire", "a"), { offset: 3, time: 0 }))
      .to.equal("granted");
    expect(table.apply(record("acquire", "b"), { offset: 4, time: 100 }))
      .to.equal("refused");
    expect(table.apply(record("acquire", "b"), { offset: 5, time: 101 }))
      .to.equal("granted");
    expect(table.find("engines/engine")).to.include({ holder: "b", fence: 5 });
  });

  // A holder is paused beyond the end of its lease and renews after it resumes.
  // Another holder has the lease by then; the renewal names the old fencing
  // number and is refused.
  it("refuses the renewal of a holder that was paused beyond its lease", () => {
    const table = createLeaseTable();
    table.apply(record("acquire", "a"), { offset: 1, time: 0 });
    expect(table.apply(record("renew", "a", 1), { offset: 2, time: 150 }))
      .to.equal("refused");
    table.apply(record("acquire", "b"), { offset: 3, time: 160 });
    expect(table.apply(record("renew", "a", 1), { offset: 4, time: 170 }))
      .to.equal("refused");
    expect(table.find("engines/engine")?.holder).to.equal("b");
  });

  it("renews and releases only under the holder's fencing number", () => {
    const table = createLeaseTable();
    table.apply(record("acquire", "a"), { offset: 1, time: 0 });
    expect(table.apply(record("renew", "a", 1), { offset: 2, time: 90 }))
      .to.equal("renewed");
    expect(table.apply(record("release", "b", 1), { offset: 3, time: 95 }))
      .to.equal("refused");
    expect(table.apply(record("release", "a", 1), { offset: 4, time: 96 }))
      .to.equal("released");
    expect(table.apply(record("acquire", "b"), { offset: 5, time: 97 }))
      .to.equal("granted");
  });
});

describe("held lease", () => {
  // The append was slow, and the log stamped it late. The holder counts from
  // before it sent the record, so it stops before the log could grant the lease
  // to another.
  it("ends before the log could grant it to another, counted from sending", async () => {
    const clock = createFakeClock(0);
    const held = createHeldLease({
      clock,
      fence: 1,
      duration: 100,
      sentAt: 0,
      margin: 20,
    });
    await clock.advance(79);
    expect(held.isValid()).to.equal(true);
    await clock.advance(1);
    expect(held.isValid()).to.equal(false);
    held.extend(70);
    expect(held.isValid()).to.equal(true);
    held.extend(10);
    await clock.advance(70);
    expect(held.isValid()).to.equal(false);
  });
});
