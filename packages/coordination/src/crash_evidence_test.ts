import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createCrashEvidence } from "./crash_evidence.ts";
import { createRecentCompletions } from "./recent_completions.ts";
import { formatTraits, listPartTraits, parseTraits } from "./request_traits.ts";

const [FIRST, BAD, OTHER] = ["part:1", "part:2", "part:3"];

describe("evidence against traits of requests", () => {
  /** Records crashes, each with the traits of its runs; finds the cause. */
  async function findCause(
    trait: string,
    crashes: readonly (readonly string[][])[],
    earlier: readonly string[][] = [],
  ) {
    const clock = createFakeClock(0);
    const evidence = createCrashEvidence(clock);
    for (const [number, runs] of crashes.entries()) {
      await clock.advance(1_000);
      for (const traits of runs) {
        if (!traits.includes(trait)) continue;
        const endpointKey = `e${number}`;
        evidence.record(trait, {
          traits,
          endpointKey,
          sentAgo: 9,
          endedAgo: 0,
        });
      }
    }
    const cause = evidence.findCause(trait, earlier);
    return cause && [...cause.traits, cause.isAmbiguous];
  }

  const run = (number: number, ...parts: string[]) => [`c${number}`, ...parts];

  it("blames what the runs of all crashes have in common", async () => {
    const always = [1, 2, 3].map((number) => [run(number, FIRST, BAD)]);
    const beside = [1, 2, 3].map((number) => [
      run(number, FIRST, BAD),
      run(10 + number, FIRST, OTHER),
    ]);
    const same = [1, 2, 3].map(() => [run(1, FIRST, BAD)]);
    const apart = [1, 2, 3].map((number) => [
      run(number, FIRST, BAD),
      run(10 + number, "part:4", OTHER),
    ]);
    expect({
      twice: await findCause(BAD, always.slice(1)),
      always: await findCause(BAD, always),
      same: await findCause("c1", same),
      beside: await findCause(BAD, beside),
      apart: await findCause(OTHER, apart),
    }).to.deep.equal({
      twice: undefined,
      always: [FIRST, BAD, false],
      same: ["c1", FIRST, BAD, false],
      beside: [FIRST, BAD, false],
      apart: ["part:4", OTHER, false],
    });
  });

  // Guards against a first part that is blamed for later ones.
  it("blames an earlier part after the later ones it came with", async () => {
    const crashes = [1, 2, 3, 4, 5].map((number) => [
      run(number, FIRST, `part:x${number}`),
    ]);
    expect({
      four: await findCause(FIRST, crashes.slice(1)),
      five: await findCause(FIRST, crashes),
    }).to.deep.equal({ four: undefined, five: [FIRST, true] });
  });

  // Guards against a part that is refused in one of its many combinations at a
  // time, while all of them run together at the same endpoints.
  it("blames a part alone if the others beside it vary at each crash", async () => {
    const cases = [1, 2, 3, 4, 5, 6];
    const together = [1, 2, 3].map((crash) =>
      cases.map((number) =>
        run(10 * crash + number, FIRST, `part:case${number}`, BAD)
      )
    );
    expect({
      bad: await findCause(BAD, together),
      beside: await findCause("part:case1", together),
    }).to.deep.equal({ bad: [FIRST, BAD, false], beside: undefined });
  });

  // Guards against a part that many requests share and that is blamed for two
  // outages of several endpoints.
  it("blames a part after three moments at least", async () => {
    const clock = createFakeClock(0);
    const evidence = createCrashEvidence(clock);
    const causes = [];
    for (const moment of [1, 2, 3]) {
      await clock.advance(1_000);
      for (const endpoint of [1, 2]) {
        evidence.record(BAD, {
          traits: [`c${moment}${endpoint}`, BAD],
          endpointKey: `e${moment}${endpoint}`,
          sentAgo: 9,
          endedAgo: 0,
        });
      }
      causes.push(evidence.findCause(BAD, [])?.traits);
    }
    expect(causes).to.deep.equal([undefined, undefined, [BAD]]);
  });

  it("widens a known cause after two crashes without one of its traits", async () => {
    const known = [1, 2, 3].map((number) => [run(number, FIRST, BAD)]);
    const wider = [4, 5].map((number) => [run(number, "part:4", BAD)]);
    const earlier = [[FIRST, BAD]];
    expect({
      one: await findCause(BAD, [...known, ...wider.slice(1)], earlier),
      two: await findCause(BAD, [...known, ...wider], earlier),
    }).to.deep.equal({ one: undefined, two: [BAD, false] });
  });

  it("keeps a bounded number of traits", async () => {
    const clock = createFakeClock(0);
    const evidence = createCrashEvidence(clock);
    for (let number = 0; number < 3_000; number++) {
      const trait = `part:${number}`;
      evidence.record(trait, {
        traits: [trait],
        endpointKey: "e",
        sentAgo: 9,
        endedAgo: 0,
      });
    }
    expect([
      evidence.size,
      evidence.countCrashes("part:0"),
      evidence.countCrashes("part:2999"),
    ])
      .to.deep.equal([512, 0, 1]);
    await clock.advance(600_000);
    evidence.removeExpired();
    expect(evidence.size).to.equal(0);
  });
});

describe("recent completions", () => {
  it("are remembered within a time and a number", async () => {
    const clock = createFakeClock(0);
    const completions = createRecentCompletions(clock);
    for (let number = 0; number < 8_193; number++) {
      completions.record([`${number}`]);
    }
    await clock.advance(100);
    const listWithin = (within: number) =>
      completions.listCompleted(["0", "1", "8192", "none"], within);
    expect([listWithin(101), listWithin(100)])
      .to.deep.equal([["1", "8192"], []]);
  });
});

describe("traits of requests", () => {
  const list = (...ids: string[]) =>
    listPartTraits(ids.map((id) => ({ id, tokens: 1 })));

  it("are the parts of the prompt but the last", () => {
    expect([list(), list("a"), list("A", "b", "a", "c")])
      .to.deep.equal([[], [], ["part:a", "part:b"]]);
  });

  it("are bounded in number and length", () => {
    const long = list("f".repeat(64), "own");
    expect([list(..."abcdefghijkl").length, long[0]!.length])
      .to.deep.equal([8, 27]);
  });

  it("are formatted in one order", () => {
    expect(formatTraits(["b", "a"])).to.equal(formatTraits(["a", "b"]));
    expect(parseTraits(formatTraits(["b", "a"]))).to.deep.equal(["a", "b"]);
  });
});
