import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./fleet_simulation.ts";
import {
  createSignalSchedule,
  runFleetSimulation,
} from "./fleet_simulation.ts";

const SECOND: Millis = 1_000;
/** Requests sent later than this after the report must go elsewhere. */
const DRAIN_TIME = 2 * SECOND;
const LEAVES_AT = 5 * SECOND;
const duration = 25 * SECOND;

/** Counts requests sent too long after the endpoint notified their entry. */
function countLate(arrivals: readonly FleetArrival[]): number {
  return arrivals.filter(({ sentAt, told }) => {
    const report = told.find(({ isLeaving }) => isLeaving);
    return report !== undefined && sentAt > report.at + DRAIN_TIME;
  }).length;
}

describe("an endpoint that reports that it is leaving", () => {
  const LOADS: Record<string, Omit<FleetLoad, "duration" | "readSignals">> = {
    "one of 8 at 8 entries": { entries: 8, endpoints: 8, perSecond: 20 },
    "one of 6 at 195 entries": { entries: 195, endpoints: 6, perSecond: 66 },
  };

  // The store is unavailable, and its last record shows the endpoint as live.
  // If entries ignore the endpoint's own report, or drop it after some seconds,
  // the last requests that they send are cut off.
  it("gets no more requests while the store shows it as live", async () => {
    const late: Record<string, number> = {};
    for (const [name, load] of Object.entries(LOADS)) {
      const { arrivals } = await runFleetSimulation({
        ...load,
        duration,
        readSignals: createSignalSchedule({ count: 1, from: LEAVES_AT }, {
          isLeaving: true,
        }),
      });
      late[name] = countLate(arrivals);
    }
    expect(late).to.deep.equal(
      Object.fromEntries(Object.keys(LOADS).map((name) => [name, 0])),
    );
  }).timeout(60_000);
});
