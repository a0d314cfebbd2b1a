import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./fleet_simulation.ts";
import {
  createSignalSchedule,
  runFleetSimulation,
} from "./fleet_simulation.ts";

const SECOND: Millis = 1_000;
/** The window over which an endpoint counts its requests. */
const WINDOW = 4 * SECOND;
/** Time from reporting a limit until it must be kept. */
const SETTLE_TIME = 3 * SECOND;
/** An entry that received the limit this long ago must keep it. */
const GRACE_PERIOD = 500;

/** Returns how many requests an endpoint tolerates within the window. */
function computeAllowed(limit: number): number {
  return 1.5 * limit * WINDOW / SECOND + 5;
}

/** Counts the most requests of notified entries at one endpoint in a window. */
function countMost(
  arrivals: readonly FleetArrival[],
  { from, until }: { from: Millis; until: Millis },
): number {
  const counted = arrivals.filter(({ at, told }) =>
    at >= from && at < until && (told[0]?.at ?? Infinity) + GRACE_PERIOD <= at
  );
  return Math.max(
    0,
    ...counted.map((first) =>
      counted.filter(({ endpoint, at }) =>
        endpoint === first.endpoint && at >= first.at && at < first.at + WINDOW
      ).length
    ),
  );
}

describe("an endpoint that reports a rate limit", () => {
  const LIMITED_FROM = 5 * SECOND;
  const LIMITED_UNTIL = 25 * SECOND;
  const LIMITED_PERIOD = { from: LIMITED_FROM, until: LIMITED_UNTIL };
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
      name: "6 endpoints at 195 entries that each miss a fifth of the others",
      limit: 1,
      limited: 6,
      load: {
        entries: 195,
        endpoints: 6,
        perSecond: 66,
        listKnownEntries: (entry, records) =>
          records.filter((_, other) =>
            other === entry || (7 * other + 13 * entry) % 5 !== 0
          ),
      },
    },
  ];

  async function checkCase({ limit, limited, load }: Case): Promise<string> {
    const { arrivals } = await runFleetSimulation({
      ...load,
      duration,
      readSignals: createSignalSchedule({ ...LIMITED_PERIOD, count: limited }, {
        rateLimit: limit,
      }),
    });
    const most = countMost(arrivals, {
      from: LIMITED_FROM + SETTLE_TIME,
      until: LIMITED_UNTIL,
    });
    const allowed = computeAllowed(limit);
    return most <= allowed ? "kept" : `${most} requests, allowed ${allowed}`;
  }

  // If each entry ignores the limit, or keeps to it only on its own, all
  // entries together send many times what the endpoint accepts.
  it("gets no more than that from all entries together", async () => {
    const found: Record<string, string> = {};
    for (const one of CASES) found[one.name] = await checkCase(one);
    expect(found).to.deep.equal(
      Object.fromEntries(CASES.map(({ name }) => [name, "kept"])),
    );
  }).timeout(60_000);

  // An entry that sends no requests receives no reports, and would keep to the
  // limit for ever.
  it("gets its share again soon after the limit is lifted", async () => {
    const { arrivals } = await runFleetSimulation({
      entries: 195,
      endpoints: 6,
      perSecond: 66,
      duration,
      readSignals: createSignalSchedule({ ...LIMITED_PERIOD, count: 6 }, {
        rateLimit: 1,
      }),
    });
    const late = arrivals.filter(({ at }) => at >= LIMITED_UNTIL + 5 * SECOND);
    const perSecond = late.length * SECOND /
      (duration - LIMITED_UNTIL - 5 * SECOND);
    expect(perSecond).to.be.at.least(0.95 * 66);
  });

  it("causes requests above the limit to be refused at once", async () => {
    const { refusals, sent, served } = await runFleetSimulation({
      entries: 8,
      endpoints: 4,
      perSecond: 12,
      duration,
      readSignals: createSignalSchedule({ count: 4, from: LIMITED_FROM }, {
        rateLimit: 1,
      }),
    });
    expect(Math.max(...refusals.map(({ took }) => took))).to.equal(0);
    expect(served / sent).to.be.within(0.3, 0.6);
  });
});
