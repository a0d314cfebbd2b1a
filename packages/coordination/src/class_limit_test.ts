import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createAdmission } from "./admission.ts";
import type { AdmittedEnd } from "./class_limit.ts";
import { createClassLimit } from "./class_limit.ts";

const RULINGS = { name: "rulings", priority: 1, target: 0.99 };

describe("class limit", () => {
  const CHAT = { name: "chat", priority: 3, target: 0.9 };

  function create() {
    const clock = createFakeClock();
    const admission = createAdmission({
      clock,
      random: () => 0,
      maxInProgress: 1_000,
      readLowestPriority: () => 3,
    });
    const admit = (workClass: typeof RULINGS) => {
      const admitted = admission.admit({
        workClass,
        remaining: 1_000,
        stages: [{ wait: 0, service: 1, unloaded: 1 }],
      });
      return admitted.isOk ? admitted.value : undefined;
    };
    return { clock, admission, admit };
  }

  // Rulings miss their deadline while chat requests are in progress. Chat is
  // reduced first; rulings are reduced only when no chat is left.
  it("reduces the lowest priority after a miss of any class", async () => {
    const { clock, admit } = create();
    for (let i = 0; i < 60; i++) {
      const chat = admit(CHAT);
      admit(RULINGS)?.end({ kind: "missed" });
      chat?.end({ kind: "other" });
      await clock.advance(200);
    }
    expect(admit(RULINGS)).not.to.equal(undefined);
    expect(admit(CHAT)).to.equal(undefined);
  });

  // Chat itself misses deadlines all the time. Rulings must not be reduced
  // because of it.
  it("never reduces a class for one of lower priority", async () => {
    const { clock, admit } = create();
    for (let i = 0; i < 200; i++) {
      const ruling = admit(RULINGS);
      admit(CHAT)?.end({ kind: "missed" });
      ruling?.end({ kind: "other" });
      await clock.advance(200);
    }
    for (let i = 0; i < 32; i++) expect(admit(RULINGS)).not.to.equal(undefined);
  });

  // Rulings miss deadlines at one entry because of chat requests that callers
  // send to another. The first entry must not refuse rulings; it reports the
  // misses, and the other entry reduces chat.
  it("makes other entries shed load instead of refusing rulings itself", async () => {
    const strained = create();
    const busy = create();
    for (let i = 0; i < 60; i++) {
      strained.admit(RULINGS)?.end({ kind: "missed" });
      const chat = busy.admit(CHAT);
      busy.admission.shedBelow(strained.admission.strainedPriority);
      chat?.end({ kind: "other" });
      await strained.clock.advance(200);
      await busy.clock.advance(200);
    }
    expect(strained.admit(RULINGS)).not.to.equal(undefined);
    expect(busy.admit(CHAT)).to.equal(undefined);
    await strained.clock.advance(2_001);
    expect(strained.admission.strainedPriority).to.equal(0);
  });

  it("lets a class at its minimum try again after a pause", async () => {
    const clock = createFakeClock();
    const limit = createClassLimit(clock);
    while (limit.shrink()) await clock.advance(200);
    limit.begin();
    limit.end({ kind: "other" });
    expect(limit.hasRoom()).to.equal(false);
    await clock.advance(5_000);
    expect(limit.hasRoom()).to.equal(true);
  });

  // An entry has just started and many requests arrive at once. Nothing has
  // missed its deadline, so nothing may be refused.
  it("refuses nothing before the first miss", () => {
    const { admit } = create();
    for (let i = 0; i < 900; i++) expect(admit(CHAT)).not.to.equal(undefined);
  });

  it("shrinks once for a burst of misses", () => {
    const limit = createClassLimit(createFakeClock());
    for (let i = 0; i < 31; i++) limit.begin();
    limit.shrink();
    limit.shrink();
    expect(limit.value).to.equal(24);
  });

  it("grows again, faster the more time was left", () => {
    const limit = createClassLimit(createFakeClock());
    for (let i = 0; i < 31; i++) limit.begin();
    limit.shrink();
    const run = (how: AdmittedEnd) => {
      while (limit.hasRoom()) limit.begin();
      limit.end(how);
    };
    run({ kind: "in_time", slack: 0.9 });
    expect(limit.value).to.be.closeTo(24.96, 0.01);
    run({ kind: "in_time", slack: 0.3 });
    expect(limit.value).to.be.closeTo(25.21, 0.01);
    run({ kind: "in_time", slack: 0.01 });
    expect(limit.value).to.be.closeTo(25.21, 0.01);
  });
});
