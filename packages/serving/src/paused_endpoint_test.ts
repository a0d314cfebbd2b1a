import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./fleet_simulation.ts";
import {
  createSignalSchedule,
  runFleetSimulation,
} from "./fleet_simulation.ts";

const SECOND: Millis = 1_000;
const PAUSE = 3 * SECOND;
/** Requests that arrive earlier after the report may have been in transit. */
const GRACE_PERIOD = 500;
/** Requests of one entry that may still arrive within a pause. */
const MAX_LATE_REQUESTS = 2;
const PAUSING_FROM = 5 * SECOND;
const PAUSING_UNTIL = 20 * SECOND;
const PAUSING_PERIOD = { from: PAUSING_FROM, until: PAUSING_UNTIL };
const duration = 25 * SECOND;

/** Counts the most requests of one entry within a pause it was notified of. */
function countMostInPause(arrivals: readonly FleetArrival[]): number {
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
      at >= pause.at + GRACE_PERIOD && at < pause.until
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

  // The endpoint refuses all requests at once, so it has the fewest in progress
  // and would always be chosen first; each refusal costs a retry elsewhere.
  it("gets no requests from an entry that it has refused", async () => {
    const found: Record<string, string> = {};
    for (const [name, { paused, ...load }] of Object.entries(CASES)) {
      const { arrivals } = await runFleetSimulation({
        ...load,
        duration,
        readSignals: createSignalSchedule(
          { ...PAUSING_PERIOD, count: paused },
          {
            pause: PAUSE,
          },
        ),
      });
      const most = countMostInPause(arrivals);
      found[name] = most <= MAX_LATE_REQUESTS
        ? "kept"
        : `${most} requests in a pause`;
    }
    expect(found).to.deep.equal(
      Object.fromEntries(Object.keys(CASES).map((name) => [name, "kept"])),
    );
  }).timeout(60_000);

  it("gets requests again when its pause is over", async () => {
    const { arrivals } = await runFleetSimulation({
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      duration,
      readSignals: createSignalSchedule({ ...PAUSING_PERIOD, count: 1 }, {
        pause: PAUSE,
      }),
    });
    const after = arrivals.filter(({ at }) => at >= PAUSING_UNTIL + PAUSE);
    const share = after.filter(({ endpoint }) => endpoint === 0).length /
      after.length;
    expect(share).to.be.at.least(0.2);
  });

  // No endpoint accepts the request until the time when its caller may retry.
  it("causes refusals at once, with the remaining pause as delay", async () => {
    const { refusals } = await runFleetSimulation({
      entries: 8,
      endpoints: 4,
      perSecond: 30,
      duration,
      readSignals: createSignalSchedule({ ...PAUSING_PERIOD, count: 4 }, {
        pause: PAUSE,
      }),
    });
    const within = refusals.filter(({ at }) =>
      at >= PAUSING_FROM + SECOND && at < PAUSING_UNTIL
    );
    const sum = within.reduce((total, { retryAfter }) => total + retryAfter, 0);
    expect(within.length).to.be.at.least(100);
    expect(Math.max(...within.map(({ took }) => took))).to.be.at.most(10);
    expect(sum / within.length).to.be.within(PAUSE / 3, 1.5 * PAUSE);
  });
});
