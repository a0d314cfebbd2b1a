import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import fc from "fast-check";
import type { EndpointInfo } from "../endpoint.ts";
import { createEndpointSpeeds } from "./endpoint_speeds.ts";

function createInfo(id: string, incarnation = "1"): EndpointInfo {
  const rest = { pool: "p", place: "a", address: id, state: "live" } as const;
  return { id, incarnation, ...rest };
}

const INFOS = ["e1", "e2", "e3", "e4"].map((id) => createInfo(id));
const [FIRST, SECOND] = INFOS as [EndpointInfo, EndpointInfo];

describe("endpoint speeds", () => {
  function create() {
    const clock = createFakeClock(0);
    const speeds = createEndpointSpeeds(clock);
    const recordAll = (ratio: number) =>
      INFOS.forEach((info) => speeds.record(info, ratio));
    /** Returns the estimate for an endpoint, the first if none is given. */
    const read = (info = FIRST) =>
      speeds.estimateRatios([info, ...INFOS.slice(1)])[0]!;
    return { clock, speeds, recordAll, read };
  }

  // A new dispatcher, or one that takes over from another, has no history.
  it("begins with equal speeds", () => {
    const { speeds } = create();
    expect(speeds.estimateRatios(INFOS)).to.deep.equal([1, 1, 1, 1]);
    expect(speeds.estimateRatios([])).to.deep.equal([]);
  });

  it("is usable after one or two responses", () => {
    const { speeds, recordAll, read } = create();
    recordAll(1);
    speeds.record(SECOND, 1);
    const slow = createInfo("slow");
    speeds.record(slow, 2.4);
    expect(read(slow)).to.be.within(1.7, 2.1);
    speeds.record(slow, 2.4);
    expect(read(slow)).to.be.within(1.9, 2.4);
    expect(read()).to.be.within(0.9, 1.1);
  });

  // Noise of a call's time would otherwise change the decisions of a pool whose
  // endpoints are alike.
  it("returns 1 for all within 10% of each other", () => {
    const ratios = fc.array(fc.double({ min: 1, max: 1.1, noNaN: true }), {
      minLength: 4,
      maxLength: 4,
    });
    const level = fc.double({ min: 0.4, max: 2.4, noNaN: true });
    fc.assert(fc.property(ratios, level, (list, factor) => {
      const { speeds } = create();
      INFOS.forEach((info, index) =>
        speeds.record(info, factor * list[index]!)
      );
      expect(speeds.estimateRatios(INFOS)).to.deep.equal([1, 1, 1, 1]);
    }));
  });

  // A disturbed endpoint that gets few calls would never recover its share.
  it("forgets within ten seconds", async () => {
    const { clock, speeds, recordAll, read } = create();
    recordAll(1);
    for (let call = 0; call < 6; call++) speeds.record(FIRST, 5);
    expect(read()).to.be.greaterThan(3.5);
    await clock.advance(10_000);
    recordAll(1);
    await clock.advance(100);
    expect(read()).to.be.lessThan(1.6);
  });

  it("limits the effect of one outlier, and follows the second", async () => {
    const { clock, speeds, recordAll, read } = create();
    for (let call = 0; call < 5; call++) {
      recordAll(1);
      await clock.advance(300);
    }
    speeds.record(FIRST, 10);
    expect(read()).to.be.lessThan(1.3);
    await clock.advance(300);
    speeds.record(FIRST, 10);
    expect(read()).to.be.greaterThan(5);
    speeds.record(FIRST, 1);
    speeds.record(FIRST, 1);
    expect(read()).to.be.lessThan(1.1);
  });

  // An endpoint restarts under its id, perhaps on another machine.
  it("begins again with a new incarnation", () => {
    const { speeds, recordAll, read } = create();
    recordAll(1);
    for (let call = 0; call < 4; call++) speeds.record(FIRST, 2.4);
    expect(read()).to.be.greaterThan(1.7);
    expect(read(createInfo("e1", "2"))).to.be.lessThan(1.1);
  });

  it("evicts the endpoint with the oldest call above its bound", () => {
    const { speeds, recordAll, read } = create();
    speeds.record(FIRST, 2.4);
    speeds.record(FIRST, 2.4);
    for (let index = 0; index < 300; index++) {
      speeds.record(createInfo(`other-${index}`), 1);
    }
    recordAll(1);
    expect(read()).to.be.lessThan(1.1);
  });

  it("returns bounded ratios for any measured times", () => {
    const calls = fc.array(fc.tuple(fc.nat(3), fc.double()), { maxLength: 30 });
    fc.assert(fc.property(calls, (list) => {
      const { speeds } = create();
      list.forEach(([index, ratio]) => speeds.record(INFOS[index]!, ratio));
      for (const ratio of speeds.estimateRatios(INFOS)) {
        expect(ratio).to.be.within(0.04, 21);
      }
    }));
  });
});
