import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createColdEndpoints } from "./cold_endpoints.ts";
import type { EndpointInfo } from "./endpoint.ts";

function createEndpoint(change: Partial<EndpointInfo> = {}): EndpointInfo {
  return {
    id: "e",
    incarnation: "1",
    pool: "p",
    place: "a",
    address: "e",
    state: "live",
    ...change,
  };
}

describe("cold endpoints", () => {
  function create() {
    const clock = createFakeClock(0);
    return { clock, cold: createColdEndpoints(clock) };
  }

  it("stay cold for as long as they report", async () => {
    const { clock, cold } = create();
    expect(cold.record(createEndpoint({ coldLeft: 2_000 }))).to.equal(true);
    await clock.advance(1_000);
    expect(cold.record(createEndpoint({ coldLeft: 900 }))).to.equal(false);
    expect(cold.isCold(createEndpoint())).to.equal(true);
    await clock.advance(1_100);
    expect(cold.isCold(createEndpoint())).to.equal(false);
  });

  // A peer passes on a reading from before the endpoint became cold.
  it("stay cold despite an older report", () => {
    const { cold } = create();
    cold.record(createEndpoint({ coldLeft: 2_000 }));
    cold.record(createEndpoint());
    expect(cold.isCold(createEndpoint())).to.equal(true);
  });

  it("are distinguished by incarnation", () => {
    const { cold } = create();
    cold.record(createEndpoint({ coldLeft: 2_000 }));
    expect(cold.isCold(createEndpoint({ incarnation: "2" }))).to.equal(false);
  });

  // An endpoint ends and restarts under its id. Its report that it is cold is
  // read a second later; until then all entries would keep sending at their
  // usual rate.
  it("include those that refused a connection a moment ago", async () => {
    const { clock, cold } = create();
    cold.recordUnreachable(createEndpoint());
    await clock.advance(2_000);
    expect(cold.isCold(createEndpoint())).to.equal(true);
    await clock.advance(600);
    expect(cold.isCold(createEndpoint())).to.equal(false);
  });
});
