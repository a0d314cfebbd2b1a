import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createTestEndpoint } from "./test_support.ts";

describe("load of endpoints", () => {
  function create() {
    const clock = createFakeClock(0);
    const loads = createEndpointLoads(clock);
    const endpoint = createTestEndpoint("e1");
    const readLoad = () => loads.view([endpoint])[0]?.load;
    return { clock, loads, endpoint, readLoad };
  }

  it("counts own requests exactly and others by the last report", () => {
    const { loads, endpoint, readLoad } = create();
    loads.begin(endpoint);
    loads.begin(endpoint);
    const report = { running: 5, queued: 1, slots: 8, takenAt: 0 };
    loads.recordReport(endpoint, report);
    expect(readLoad()).to.equal(6);
    loads.end(endpoint, "done");
    expect(readLoad()).to.equal(5);
  });

  // The burst that a report from seconds ago reflects is over; requests would
  // avoid an endpoint that is idle by now.
  it("ignores a stale report", async () => {
    const { loads, endpoint, readLoad, clock } = create();
    const report = { running: 9, queued: 9, slots: 8, takenAt: clock.now() };
    loads.recordReport(endpoint, report);
    await clock.advance(2_100);
    expect(readLoad()).to.equal(0);
  });

  it("ejects an endpoint that cannot be reached", () => {
    const { loads, endpoint } = create();
    loads.begin(endpoint);
    loads.end(endpoint, "unreachable");
    expect(loads.view([endpoint])[0]?.health.isEjected()).to.equal(true);
  });

  // An endpoint that was ejected as dead restarts under its id and can serve at
  // once. The state of its predecessor must not keep requests from it.
  it("starts with a new state for an endpoint that restarted", () => {
    const { loads, endpoint } = create();
    loads.begin(endpoint);
    loads.begin(endpoint);
    loads.end(endpoint, "unreachable");
    const again = { ...endpoint, incarnation: "2" };
    const [view] = loads.view([again]);
    expect(view?.health.isEjected()).to.equal(false);
    expect(view?.load).to.equal(0);
    loads.end(endpoint, "unreachable");
    expect(loads.view([again])[0]?.load).to.equal(0);
  });

  // After a removal the registry accepts an earlier start time. Without a state
  // such an endpoint would always seem idle and healthy.
  it("counts for a listed endpoint whatever the start times before", () => {
    const { loads, endpoint } = create();
    const ahead = { ...endpoint, incarnation: "9", startedAt: 9 };
    const listed = { ...endpoint, incarnation: "1", startedAt: 1 };
    loads.begin(ahead);
    for (let index = 0; index < 50; index++) loads.begin(listed);
    expect(loads.view([listed])[0]?.load).to.equal(50);
    loads.recordReport(listed, {
      running: 60,
      queued: 0,
      slots: 8,
      takenAt: 0,
    });
    expect(loads.listHealthy([listed])[0]?.load).to.equal(60);
    loads.end(listed, "unreachable");
    expect(loads.view([listed])[0]?.health.isEjected()).to.equal(true);
    // Late answers of the incarnation that was listed before, also after its
    // last call has ended.
    loads.end(ahead, "unreachable");
    loads.recordReport(ahead, { running: 9, queued: 9, slots: 8, takenAt: 0 });
    expect(loads.view([listed])[0]?.load).to.equal(59);
  });

  // Answers that arrive after the state of their incarnation has gone must not
  // replace the state of the listed one, which would lose its load.
  it("ignores late answers of an earlier incarnation", () => {
    const { loads, endpoint } = create();
    const old = { ...endpoint, incarnation: "1", startedAt: 1 };
    const listed = { ...endpoint, incarnation: "2", startedAt: 2 };
    loads.begin(listed);
    loads.recordReport(old, { running: 9, queued: 9, slots: 8, takenAt: 0 });
    loads.recordRatio(old, 9);
    loads.end(old, "unreachable");
    expect(loads.view([listed])[0]?.load).to.equal(1);
    loads.recordRatio(listed, 1);
    expect(loads.view([listed])[0]?.health.isEjected()).to.equal(false);
  });

  it("never ejects for attempts that this entry gave up itself", () => {
    const { loads, endpoint } = create();
    for (let index = 0; index < 20; index++) {
      loads.begin(endpoint);
      loads.end(endpoint, "neutral");
    }
    expect(loads.view([endpoint])[0]?.health.isEjected()).to.equal(false);
  });
});
