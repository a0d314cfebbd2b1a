import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EndpointLimits } from "./endpoint_limits.ts";
import { createEndpointLimits } from "./endpoint_limits.ts";

const KEY = "e1#1";

interface Case {
  name: string;
  /** Applies reports, one after the other. */
  report: (limits: EndpointLimits, clock: FakeClock) => Promise<void> | void;
  expected: number | undefined;
}

function createUpdate(rateLimit: number | null, age: Millis) {
  return { endpointKey: KEY, rateLimit, age };
}

describe("limits that endpoints announce", () => {
  // Guards against limits that are forgotten where all endpoints of a large
  // fleet announce one.
  it("are all known in a large fleet", () => {
    const clock = createFakeClock(0);
    const limits = createEndpointLimits({ clock, random: () => 0.5 });
    const keys = Array.from({ length: 2_100 }, (_, index) => `i-${index}`);
    keys.forEach((key) => limits.record(key, 1, 0));
    expect(keys.filter((key) => limits.find(key) === 1).length)
      .to.equal(keys.length);
  });

  const CASES: readonly Case[] = [
    { name: "nothing", report: () => {}, expected: undefined },
    {
      name: "a direct report",
      report: (limits) => limits.record(KEY, 2, 0),
      expected: 2,
    },
    {
      name: "a direct report that changes",
      report(limits) {
        limits.record(KEY, 2, 0);
        limits.record(KEY, 0.5, 0);
      },
      expected: 0.5,
    },
    {
      name: "a direct report that is withdrawn",
      report(limits) {
        limits.record(KEY, 2, 0);
        limits.record(KEY, undefined, 0);
      },
      expected: undefined,
    },
    {
      // Two answers on two connections: the one that was sent first arrives
      // last.
      name: "a direct report, and an answer to a request sent before it",
      async report(limits, clock) {
        await clock.advance(1_000);
        limits.record(KEY, 2, 900);
        limits.record(KEY, undefined, 950);
      },
      expected: 2,
    },
    {
      // Nothing is sent, so no answer arrives; that ends no limit.
      name: "a direct report of a minute ago",
      async report(limits, clock) {
        limits.record(KEY, 2, 0);
        await clock.advance(60_000);
      },
      expected: 2,
    },
    {
      name: "another entry's report",
      report: (limits) => limits.applyUpdate(createUpdate(2, 100)),
      expected: 2,
    },
    {
      name: "another entry's report of a minute ago",
      async report(limits, clock) {
        limits.applyUpdate(createUpdate(2, 100));
        await clock.advance(60_000);
      },
      expected: undefined,
    },
    {
      name: "a direct report that another entry saw withdrawn",
      async report(limits, clock) {
        limits.record(KEY, 2, 0);
        await clock.advance(1_000);
        limits.applyUpdate(createUpdate(null, 100));
      },
      expected: undefined,
    },
    {
      name: "a direct report, and an older update that it was withdrawn",
      async report(limits, clock) {
        await clock.advance(1_000);
        limits.record(KEY, 2, 0);
        limits.applyUpdate(createUpdate(null, 500));
      },
      expected: 2,
    },
    {
      name: "a direct report that another entry received again",
      async report(limits, clock) {
        limits.record(KEY, 2, 0);
        await clock.advance(1_000);
        limits.applyUpdate(createUpdate(3, 100));
        await clock.advance(60_000);
      },
      expected: 3,
    },
  ];
  for (const { name, report, expected } of CASES) {
    it(`are in force after ${name}: ${expected}`, async () => {
      const clock = createFakeClock(0);
      const limits = createEndpointLimits({ clock, random: () => 0 });
      await report(limits, clock);
      expect(limits.find(KEY)).to.equal(expected);
    });
  }

  it("are propagated with their age, and so is their end", async () => {
    const clock = createFakeClock(0);
    const limits = createEndpointLimits({ clock, random: () => 0 });
    limits.record(KEY, 2, 0);
    await clock.advance(300);
    expect(limits.chooseUpdates(4)).to.deep.equal([createUpdate(2, 300)]);
    limits.record(KEY, undefined, 200);
    expect(limits.chooseUpdates(4)).to.deep.equal([createUpdate(null, 100)]);
    await clock.advance(60_000);
    expect(limits.chooseUpdates(4)).to.deep.equal([]);
  });
});
