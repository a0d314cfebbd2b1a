import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./signalling_fleet.ts";
import { createSignals, runSignallingFleet } from "./signalling_fleet.ts";

const SECOND: Millis = 1_000;
/** The span of which an endpoint counts its requests. */
const SPAN = 4 * SECOND;
/** From naming a limit until it must be kept. */
const SETTLE = 3 * SECOND;
/** An entry that was told this long ago keeps the limit. */
const TOLD_BEFORE = 500;

/** Requests within the span that an endpoint bears. */
function computeAllowed(limit: number): number {
  return 1.5 * limit * SPAN / SECOND + 5;
}

/** The most that one endpoint got within the span from entries it had told. */
function countMost(
  arrivals: readonly FleetArrival[],
  { from, until }: { from: Millis; until: Millis },
): number {
  const counted = arrivals.filter(({ at, told }) =>
    at >= from && at < until && (told[0]?.at ?? Infinity) + TOLD_BEFORE <= at
  );
  return Math.max(
    0,
    ...counted.map((first) =>
      counted.filter(({ endpoint, at }) =>
        endpoint === first.endpoint && at >= first.at && at < first.at + SPAN
      ).length
    ),
  );
}

describe("an endpoint that names a limit", () => {
  const NAMED_AT = 5 * SECOND;
  const LIFTED_AT = 25 * SECOND;
  const NAMED = { from: NAMED_AT, until: LIFTED_AT };
  const duration = 40 * SECOND;

  interface Case {
    name: string;
    limit: number;
    limited: number;
    load: Omit<FleetLoad, "duration" | "readSignals">;
  }

  const CASES: readonly Case[] = [
    {
      name: "one of 8 engines at 8 entries",
      limit: 1,
      limited: 1,
      load: { entries: 8, endpoints: 8, perSecond: 20 },
    },
    {
      name: "all 4 endpoints of a pool at 8 entries",
      limit: 1,
      limited: 4,
      load: { entries: 8, endpoints: 4, perSecond: 12 },
    },
    {
      name: "a limit of one request in four seconds",
      limit: 0.25,
      limited: 4,
      load: { entries: 8, endpoints: 4, perSecond: 12 },
    },
    {
      name: "a limit of 10 a second in a burst",
      limit: 10,
      limited: 4,
      load: { entries: 8, endpoints: 4, perSecond: 100 },
    },
    {
      name: "6 endpoints at 195 entries",
      limit: 1,
      limited: 6,
      load: { entries: 195, endpoints: 6, perSecond: 66 },
    },
    {
      name: "a third of 60 engines at 195 entries",
      limit: 2,
      limited: 20,
      load: { entries: 195, endpoints: 60, perSecond: 190 },
    },
    {
      name: "6 endpoints at 195 entries that each lack a fifth of the others",
      limit: 1,
      limited: 6,
      load: {
        entries: 195,
        endpoints: 6,
        perSecond: 66,
        listKnown: (entry, records) =>
          records.filter((_, other) =>
            other === entry || (7 * other + 13 * entry) % 5 !== 0
          ),
      },
    },
  ];

  async function judgeCase({ limit, limited, load }: Case): Promise<string> {
    const { arrivals } = await runSignallingFleet({
      ...load,
      duration,
      readSignals: createSignals({ ...NAMED, count: limited }, {
        rateLimit: limit,
      }),
    });
    const most = countMost(arrivals, {
      from: NAMED_AT + SETTLE,
      until: LIFTED_AT,
    });
    const allowed = computeAllowed(limit);
    return most <= allowed ? "kept" : `${most} requests, allowed ${allowed}`;
  }

  // Each entry sends what it would send without the limit, or keeps to it by
  // itself: the sum of all is many times what the endpoint takes.
  it("gets no more from all entries together", async () => {
    const found: Record<string, string> = {};
    for (const one of CASES) found[one.name] = await judgeCase(one);
    expect(found).to.deep.equal(
      Object.fromEntries(CASES.map(({ name }) => [name, "kept"])),
    );
  }).timeout(60_000);

  // An entry that sends nothing hears nothing; the limit would stand for ever.
  it("gets its share again soon after it names none", async () => {
    const { arrivals } = await runSignallingFleet({
      entries: 195,
      endpoints: 6,
      perSecond: 66,
      duration,
      readSignals: createSignals({ ...NAMED, count: 6 }, { rateLimit: 1 }),
    });
    const late = arrivals.filter(({ at }) => at >= LIFTED_AT + 5 * SECOND);
    const perSecond = late.length * SECOND /
      (duration - LIFTED_AT - 5 * SECOND);
    expect(perSecond).to.be.at.least(0.95 * 66);
  });

  it("lets requests that it cannot take be refused at once", async () => {
    const { refusals, sent, served } = await runSignallingFleet({
      entries: 8,
      endpoints: 4,
      perSecond: 12,
      duration,
      readSignals: createSignals({ count: 4, from: NAMED_AT }, {
        rateLimit: 1,
      }),
    });
    expect(Math.max(...refusals.map(({ took }) => took))).to.equal(0);
    expect(served / sent).to.be.within(0.3, 0.6);
  });
});
