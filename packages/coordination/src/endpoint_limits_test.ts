import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EndpointLimits } from "./endpoint_limits.ts";
import { createEndpointLimits } from "./endpoint_limits.ts";

const KEY = "e1#1";

interface Case {
  name: string;
  /** What is heard, one after the other. */
  heard: (limits: EndpointLimits, clock: FakeClock) => Promise<void> | void;
  expected: number | undefined;
}

function tell(rateLimit: number | null, age: Millis) {
  return { endpointKey: KEY, rateLimit, age };
}

describe("limits that endpoints name", () => {
  const CASES: readonly Case[] = [
    { name: "nothing", heard: () => {}, expected: undefined },
    {
      name: "an endpoint's own word",
      heard: (limits) => limits.note(KEY, 2, 0),
      expected: 2,
    },
    {
      name: "an own word that changes",
      heard(limits) {
        limits.note(KEY, 2, 0);
        limits.note(KEY, 0.5, 0);
      },
      expected: 0.5,
    },
    {
      name: "an own word that is taken back",
      heard(limits) {
        limits.note(KEY, 2, 0);
        limits.note(KEY, undefined, 0);
      },
      expected: undefined,
    },
    {
      // Two answers on two connections: the one that was made first comes last.
      name: "an own word, and an answer to a request sent before it",
      async heard(limits, clock) {
        await clock.advance(1_000);
        limits.note(KEY, 2, 900);
        limits.note(KEY, undefined, 950);
      },
      expected: 2,
    },
    {
      // Nothing is sent, so nothing is heard: that ends no limit.
      name: "an own word of a minute ago",
      async heard(limits, clock) {
        limits.note(KEY, 2, 0);
        await clock.advance(60_000);
      },
      expected: 2,
    },
    {
      name: "another entry's word",
      heard: (limits) => limits.takeNews(tell(2, 100)),
      expected: 2,
    },
    {
      name: "another entry's word of a minute ago",
      async heard(limits, clock) {
        limits.takeNews(tell(2, 100));
        await clock.advance(60_000);
      },
      expected: undefined,
    },
    {
      name: "an own word that another entry heard taken back",
      async heard(limits, clock) {
        limits.note(KEY, 2, 0);
        await clock.advance(1_000);
        limits.takeNews(tell(null, 100));
      },
      expected: undefined,
    },
    {
      name: "an own word, and older news that it was taken back",
      async heard(limits, clock) {
        await clock.advance(1_000);
        limits.note(KEY, 2, 0);
        limits.takeNews(tell(null, 500));
      },
      expected: 2,
    },
    {
      name: "an own word that another entry heard again",
      async heard(limits, clock) {
        limits.note(KEY, 2, 0);
        await clock.advance(1_000);
        limits.takeNews(tell(3, 100));
        await clock.advance(60_000);
      },
      expected: 3,
    },
  ];
  for (const { name, heard, expected } of CASES) {
    it(`stands after ${name}: ${expected}`, async () => {
      const clock = createFakeClock(0);
      const limits = createEndpointLimits({ clock, random: () => 0 });
      await heard(limits, clock);
      expect(limits.find(KEY)).to.equal(expected);
    });
  }

  it("is passed on with its age, and its end as well", async () => {
    const clock = createFakeClock(0);
    const limits = createEndpointLimits({ clock, random: () => 0 });
    limits.note(KEY, 2, 0);
    await clock.advance(300);
    expect(limits.chooseNews(4)).to.deep.equal([tell(2, 300)]);
    limits.note(KEY, undefined, 200);
    expect(limits.chooseNews(4)).to.deep.equal([tell(null, 100)]);
    await clock.advance(60_000);
    expect(limits.chooseNews(4)).to.deep.equal([]);
  });
});
