import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { BrittleAllowanceOptions } from "./brittle_allowance.ts";
import {
  computeRoomShares,
  createBrittleAllowance,
} from "./brittle_allowance.ts";
import { createBrittlePools } from "./brittle_pools.ts";
import type { EndpointInfo } from "./endpoint.ts";

describe("the allowance for brittle endpoints", () => {
  const ENDPOINT: EndpointInfo = {
    id: "i-1",
    incarnation: "1",
    pool: "pool",
    place: "z",
    address: "10.0.0.1:1",
    slots: 6,
    state: "live",
  };

  function create(change: Partial<BrittleAllowanceOptions> = {}) {
    const clock = createFakeClock(0);
    const brittle = createBrittlePools(clock);
    const allowance = createBrittleAllowance({
      clock,
      entry: "entry",
      brittle,
      findRank: () => 0,
      countEntries: () => 3,
      listUsable: () => [ENDPOINT],
      isDispatched: () => false,
      ...change,
    });
    return { clock, brittle, allowance };
  }

  // More than the slots of an endpoint in all would be rejected there.
  it("never adds up to more than the slots", () => {
    for (const slots of [1, 2, 6, 16, 64]) {
      for (const entries of [1, 3, 8, 87, 195, Infinity]) {
        const { senders, perSender } = computeRoomShares(slots, entries);
        expect(senders * perSender).to.be.within(1, slots);
      }
    }
  });

  it("is unlimited until an endpoint of the pool says that it is brittle", () => {
    const { brittle, allowance } = create();
    for (let sent = 0; sent < 9; sent++) allowance.recordSend(ENDPOINT);
    expect(allowance.readWait(ENDPOINT)).to.equal(0);
    brittle.record("pool", 3);
    expect(allowance.readWait(ENDPOINT)).to.be.above(0);
  });

  it("ends some seconds after the last such answer", async () => {
    const { clock, brittle, allowance } = create({ findRank: () => 9 });
    brittle.record("pool", 3);
    const waits = [allowance.readWait({ ...ENDPOINT, id: "i-2" })];
    await clock.advance(6_000);
    waits.push(allowance.readWait({ ...ENDPOINT, id: "i-2" }));
    expect(waits).to.deep.equal([Infinity, 0]);
  });

  // Each of hundreds of entries would otherwise try again at once.
  it("pauses after a rejection, for its share of those tolerated", () => {
    const { brittle, allowance } = create();
    brittle.record("pool", 3);
    allowance.recordSend(ENDPOINT);
    allowance.recordEnd(ENDPOINT, true);
    expect(allowance.readWait(ENDPOINT)).to.be.closeTo(1_250, 1);
  });

  it("gives one request to an entry that shares no endpoint", () => {
    const { brittle, allowance } = create({ findRank: () => 99 });
    brittle.record("pool", 3);
    const waits = [allowance.readWait(ENDPOINT)];
    allowance.recordSend(ENDPOINT);
    waits.push(allowance.readWait(ENDPOINT));
    expect(waits).to.deep.equal([0, 200]);
  });

  it("leaves all slots of a stage endpoint to its dispatcher", () => {
    const waits = [0, 1, 2, 3].map((rank) => {
      const { brittle, allowance } = create({
        isDispatched: () => true,
        findRank: () => rank,
        listUsable: () => [{ ...ENDPOINT, id: "i-2" }],
      });
      brittle.record("pool", 3);
      const list: number[] = [];
      for (let sent = 0; sent < 7; sent++) {
        list.push(allowance.readWait(ENDPOINT));
        allowance.recordSend(ENDPOINT);
      }
      return list.filter((wait) => wait === 0).length;
    });
    expect(waits).to.deep.equal([6, 1, 1, 0]);
  });
});
