import type { Millis } from "@mangoreach/shared";
import { expect } from "chai";
import type { FleetArrival, FleetLoad } from "./signalling_fleet.ts";
import { createSignals, runSignallingFleet } from "./signalling_fleet.ts";

const SECOND: Millis = 1_000;
/** What a caller sends later than this after the word goes elsewhere. */
const DRAIN = 2 * SECOND;
const LEAVES_AT = 5 * SECOND;
const duration = 25 * SECOND;

/** Requests that reached an endpoint too long after it had told their entry. */
function countLate(arrivals: readonly FleetArrival[]): number {
  return arrivals.filter(({ sentAt, told }) => {
    const word = told.find(({ isLeaving }) => isLeaving);
    return word !== undefined && sentAt > word.at + DRAIN;
  }).length;
}

describe("an endpoint that says it is leaving", () => {
  const LOADS: Record<string, Omit<FleetLoad, "duration" | "readSignals">> = {
    "one of 8 at 8 entries": { entries: 8, endpoints: 8, perSecond: 20 },
    "one of 6 at 195 entries": { entries: 195, endpoints: 6, perSecond: 66 },
  };

  // The store is away and calls it live; its own word was not read, or was
  // forgotten after some seconds, and its last requests are cut off.
  it("gets nothing more while the store calls it live", async () => {
    const late: Record<string, number> = {};
    for (const [name, load] of Object.entries(LOADS)) {
      const { arrivals } = await runSignallingFleet({
        ...load,
        duration,
        readSignals: createSignals({ count: 1, from: LEAVES_AT }, {
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
