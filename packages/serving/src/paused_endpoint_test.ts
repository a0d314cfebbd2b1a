import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./signalling_fleet.ts";
import { createSignals, runSignallingFleet } from "./signalling_fleet.ts";

const SECOND: Millis = 1_000;
const PAUSE = 3 * SECOND;
/** What reaches the endpoint before this was on its way. */
const TOLD_BEFORE = 500;
/** So many of one entry may reach it all the same. */
const ALLOWED = 2;
const SHEDS_FROM = 5 * SECOND;
const SHEDS_UNTIL = 20 * SECOND;
const SHEDS = { from: SHEDS_FROM, until: SHEDS_UNTIL };
const duration = 25 * SECOND;

/** The most that one entry sent an endpoint within a pause it had asked for. */
function countMost(arrivals: readonly FleetArrival[]): number {
  const pauses = arrivals.flatMap(({ endpoint, entry, told }) =>
    told.filter(({ pause }) => pause !== undefined)
      .map(({ at, pause = 0 }) => ({ endpoint, entry, at, until: at + pause }))
  );
  const distinct = new Map(
    pauses.map((one) => [`${one.endpoint}/${one.entry}/${one.at}`, one]),
  );
  const counts = [...distinct.values()].map((pause) =>
    arrivals.filter(({ endpoint, entry, at }) =>
      endpoint === pause.endpoint && entry === pause.entry &&
      at >= pause.at + TOLD_BEFORE && at < pause.until
    ).length
  );
  return Math.max(0, ...counts);
}

describe("an endpoint that asks for a pause", () => {
  interface Case extends Omit<FleetLoad, "duration" | "readSignals"> {
    paused: number;
  }

  const CASES: Record<string, Case> = {
    "one of 4 at 8 entries": {
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      paused: 1,
    },
    "all 4 at 8 entries": {
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      paused: 4,
    },
    "2 of 6 at 195 entries": {
      entries: 195,
      endpoints: 6,
      perSecond: 400,
      paused: 2,
    },
  };

  // It turns all away at once, so it has the fewest requests in progress and is
  // chosen first, again and again; each costs a repeat at another endpoint.
  it("gets nothing from an entry that it has turned away", async () => {
    const found: Record<string, string> = {};
    for (const [name, { paused, ...load }] of Object.entries(CASES)) {
      const { arrivals } = await runSignallingFleet({
        ...load,
        duration,
        readSignals: createSignals({ ...SHEDS, count: paused }, {
          pause: PAUSE,
        }),
      });
      const most = countMost(arrivals);
      found[name] = most <= ALLOWED ? "kept" : `${most} requests in a pause`;
    }
    expect(found).to.deep.equal(
      Object.fromEntries(Object.keys(CASES).map((name) => [name, "kept"])),
    );
  }).timeout(60_000);

  it("takes work again when its pause is over", async () => {
    const { arrivals } = await runSignallingFleet({
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      duration,
      readSignals: createSignals({ ...SHEDS, count: 1 }, { pause: PAUSE }),
    });
    const after = arrivals.filter(({ at }) => at >= SHEDS_UNTIL + PAUSE);
    const share = after.filter(({ endpoint }) => endpoint === 0).length /
      after.length;
    expect(share).to.be.at.least(0.2);
  });

  // Nobody takes the request before its caller should come back.
  it("lets its callers be refused at once, with the time that is left", async () => {
    const { refusals } = await runSignallingFleet({
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      duration,
      readSignals: createSignals({ ...SHEDS, count: 4 }, { pause: PAUSE }),
    });
    const within = refusals.filter(({ at }) =>
      at >= SHEDS_FROM + SECOND && at < SHEDS_UNTIL
    );
    const sum = within.reduce((total, { retryAfter }) => total + retryAfter, 0);
    expect(within.length).to.be.at.least(100);
    expect(Math.max(...within.map(({ took }) => took))).to.be.at.most(10);
    expect(sum / within.length).to.be.within(PAUSE / 3, 1.5 * PAUSE);
  });
});
