import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { PoisonQuarantine } from "./poison_quarantine.ts";
import { createPoisonQuarantine } from "./poison_quarantine.ts";

const MINUTE = 60_000;

describe("the quarantine of contents", () => {
  /** Records a crash and confirms its cause; returns whether it is blamed. */
  function recordCrash(
    quarantine: PoisonQuarantine,
    endpointKey: string,
    content = "c",
  ): boolean {
    const cause = quarantine.recordCrash(content, {
      traits: [content],
      endpointKey,
      sentAgo: 100,
      endedAgo: 0,
    });
    if (cause === undefined) return false;
    const known = { completed: [], explained: [] };
    return quarantine.confirmCause(cause, known) !== undefined;
  }

  async function crashThree(content = "c") {
    const clock = createFakeClock(0);
    const quarantine = createPoisonQuarantine(clock);
    for (const endpointKey of ["e1", "e2", "e3"]) {
      await clock.advance(1_000);
      recordCrash(quarantine, endpointKey, content);
    }
    return { clock, quarantine };
  }

  it("begins with the third crash, counting each endpoint once", async () => {
    const clock = createFakeClock(0);
    const quarantine = createPoisonQuarantine(clock);
    const found: boolean[] = [];
    for (const endpointKey of ["e1", "e1", "e2", "e2", "e3"]) {
      await clock.advance(1_000);
      found.push(recordCrash(quarantine, endpointKey));
    }
    expect(found).to.deep.equal([false, false, false, false, true]);
    expect(quarantine.readTimeLeft(["c"])).to.equal(10 * MINUTE);
    expect(quarantine.readTimeLeft(["other"])).to.equal(0);
  });

  // Guards against counts that begin anew in each process.
  it("begins with the third crash, of which the store had two", () => {
    const clock = createFakeClock(10_000);
    const quarantine = createPoisonQuarantine(clock);
    const noteCrash = (endpointKey: string, endedAgo: number) =>
      quarantine.noteCrash({
        traits: ["c", "other"],
        endpointKey,
        sentAgo: endedAgo + 100,
        endedAgo,
      });
    noteCrash("e2", 1_000);
    noteCrash("e1", 4_000);
    expect(quarantine.isEmpty()).to.equal(false);
    expect(quarantine.readTimeLeft(["c"])).to.equal(0);
    expect(recordCrash(quarantine, "e3")).to.equal(true);
    expect(quarantine.readTimeLeft(["c"])).to.equal(10 * MINUTE);
  });

  it("counts what the store has without another crash, once each", () => {
    const clock = createFakeClock(10_000);
    const quarantine = createPoisonQuarantine(clock);
    const found = ["e1", "e2", "e2", "e3"].map((endpointKey, number) => {
      const endedAgo = 4_000 - 1_000 * number;
      const sentAgo = endedAgo + 100;
      quarantine.noteCrash({ traits: ["c"], endpointKey, sentAgo, endedAgo });
      return quarantine.hasEnoughCrashes("c");
    });
    expect(found).to.deep.equal([false, false, false, true]);
    expect(quarantine.recordNoted("c")?.traits).to.deep.equal(["c"]);
    expect(quarantine.countCrashes("c")).to.equal(3);
  });

  // Guards against old records of a restored store that renew a quarantine.
  it("does not relapse by a crash from before its release", async () => {
    const clock = createFakeClock(10_000);
    const quarantine = createPoisonQuarantine(clock);
    for (const endpointKey of ["e1", "e2", "e3"]) {
      await clock.advance(1_000);
      recordCrash(quarantine, endpointKey);
    }
    await clock.advance(10 * MINUTE);
    quarantine.releaseExpired();
    const relapse = quarantine.recordCrash("c", {
      traits: ["c"],
      endpointKey: "e4",
      sentAgo: 5_100,
      endedAgo: 5_000,
    });
    expect(relapse).to.equal(undefined);
    expect(recordCrash(quarantine, "e9")).to.equal(true);
  });

  it("does not count what the store had of a content that completed since", () => {
    const clock = createFakeClock(10_000);
    const quarantine = createPoisonQuarantine(clock);
    const crash = { traits: ["c"], sentAgo: 1_100, endedAgo: 1_000 };
    quarantine.noteCrash({ ...crash, endpointKey: "e1" });
    quarantine.recordCompletion(["c"]);
    // It is read again, as after a restore of the store.
    quarantine.noteCrash({ ...crash, endpointKey: "e1" });
    const found = ["e2", "e3"].map((key) => recordCrash(quarantine, key));
    expect(found).to.deep.equal([false, false]);
  });

  it("counts simultaneous crashes once", async () => {
    const clock = createFakeClock(1_000);
    const quarantine = createPoisonQuarantine(clock);
    for (const endpointKey of ["e1", "e2", "e3", "e4"]) {
      recordCrash(quarantine, endpointKey);
      await clock.advance(20);
    }
    expect(quarantine.readTimeLeft(["c"])).to.equal(0);
  });

  it("begins with the second moment, at which three endpoints have crashed", async () => {
    const clock = createFakeClock(1_000);
    const quarantine = createPoisonQuarantine(clock);
    recordCrash(quarantine, "e1");
    recordCrash(quarantine, "e2");
    await clock.advance(1_000);
    expect(recordCrash(quarantine, "e3")).to.equal(true);
    expect(quarantine.readTimeLeft(["c"])).to.equal(10 * MINUTE);
  });

  it("ignores crashes that are far apart", async () => {
    const clock = createFakeClock(0);
    const quarantine = createPoisonQuarantine(clock);
    for (const endpointKey of ["e1", "e2", "e3", "e4"]) {
      await clock.advance(6 * MINUTE);
      recordCrash(quarantine, endpointKey);
    }
    expect(quarantine.readTimeLeft(["c"])).to.equal(0);
  });

  it("accepts a content after its term, and doubles the term each time", async () => {
    const { clock, quarantine } = await crashThree();
    const terms: number[] = [];
    for (const endpointKey of ["e4", "e5"]) {
      await clock.advance(quarantine.readTimeLeft(["c"]));
      expect(quarantine.releaseExpired()).to.deep.equal(["c"]);
      expect(quarantine.readTimeLeft(["c"])).to.equal(0);
      recordCrash(quarantine, endpointKey);
      terms.push(quarantine.readTimeLeft(["c"]));
    }
    expect(terms).to.deep.equal([20 * MINUTE, 40 * MINUTE]);
  });

  // Guards against a popular part that is refused again at any crash, because
  // it was blamed once.
  it("does not blame again what has completed since its release", async () => {
    const { clock, quarantine } = await crashThree("part:1+part:2");
    await clock.advance(quarantine.readTimeLeft(["part:1", "part:2"]));
    quarantine.releaseExpired();
    await clock.advance(5_000);
    const crash = (endpointKey: string, completed: string[]) => {
      const traits = ["part:1", "part:2"];
      const run = { traits, endpointKey, sentAgo: 100, endedAgo: 0 };
      const cause = quarantine.recordCrash("part:1", run);
      const found = cause &&
        quarantine.confirmCause(cause, { completed, explained: [] });
      return [cause?.age, found?.content, found?.term];
    };
    expect([
      crash("e4", ["part:1", "part:2"]),
      crash("e5", []),
    ]).to.deep.equal([
      [5_000, undefined, undefined],
      [undefined, undefined, undefined],
    ]);
  });

  it("clears a content that has completed, whatever the evidence", async () => {
    const { clock, quarantine } = await crashThree();
    const [reported] = quarantine.chooseQuarantined(8);
    expect(quarantine.recordCompletion(["c"]).suspected)
      .to.deep.equal(["c"]);
    expect(quarantine.recordCompletion(["c"]).suspected)
      .to.deep.equal([]);
    // A stale record of a peer must not restore the quarantine.
    expect(quarantine.mergeQuarantined(reported!)).to.equal(false);
    await clock.advance(1_000);
    recordCrash(quarantine, "e9");
    expect(quarantine.readTimeLeft(["c"])).to.equal(0);
  });

  it("does not count crashes of a known cause against other contents", async () => {
    const { clock, quarantine } = await crashThree();
    for (const endpointKey of ["e1", "e2", "e3"]) {
      await clock.advance(1_000);
      recordCrash(quarantine, endpointKey, "beside");
    }
    expect(quarantine.readTimeLeft(["beside"])).to.equal(0);
  });

  it("survives more completions than released contents are kept", () => {
    const clock = createFakeClock(0);
    const quarantine = createPoisonQuarantine(clock);
    const contents = Array.from({ length: 1_100 }, (_, index) => `c${index}`);
    for (const content of contents) {
      quarantine.mergeQuarantined({ content, endpointKeys: [], term: MINUTE });
    }
    contents.reverse().forEach((content) => {
      expect(quarantine.recordCompletion([content]).released)
        .to.deep.equal([content]);
    });
    expect(quarantine.readTimeLeft(contents)).to.equal(0);
  });

  it("is empty again once everything is over", async () => {
    const { clock, quarantine } = await crashThree();
    quarantine.recordCompletion(["c"]);
    await clock.advance(2 * MINUTE);
    quarantine.releaseExpired();
    expect(quarantine.isEmpty()).to.equal(true);
  });

  it("evicts the oldest suspects, never quarantined contents", async () => {
    const { clock, quarantine } = await crashThree();
    for (let number = 0; number < 3_000; number++) {
      recordCrash(quarantine, `e-${number}`, `c-${number}`);
    }
    await clock.advance(1);
    expect(quarantine.readTimeLeft(["c"])).to.be.greaterThan(0);
    expect(quarantine.recordCompletion(["c-0"]).suspected)
      .to.deep.equal([]);
    expect(quarantine.recordCompletion(["c-2999"]).suspected)
      .to.deep.equal(["c-2999"]);
  });
});
