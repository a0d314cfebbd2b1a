import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { scheduleEarlyRelease } from "./early_release.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createTestEndpoint, createTestRoute } from "./test_support.ts";

describe("early release of results", () => {
  function create({ isResumable = false, load = 0 }) {
    const clock = createFakeClock(0);
    const loads = createEndpointLoads(clock);
    const endpoint = createTestEndpoint("engine");
    for (let count = 0; count < load; count++) loads.begin(endpoint);
    const released: number[] = [];
    const cancel = scheduleEarlyRelease({
      clock,
      loads,
      route: createTestRoute({ kind: "stream", isResumable }),
      endpoint,
      results: { inputs: ["m/1"], release: () => released.push(clock.now()) },
    });
    return { clock, released, cancel };
  }

  // In a burst of requests with megabytes of results, results stored until the
  // engine's first event would leave no storage for other requests, which would
  // be late.
  it("releases them long before the engine's first event", async () => {
    const { clock, released } = create({});
    await clock.advance(1_000);
    expect(released).to.deep.equal([150]);
  });

  const RETAINED = [
    { name: "the request can be retried elsewhere", isResumable: true },
    { name: "the engine is loaded and may not have fetched them", load: 30 },
  ];
  for (const { name, ...options } of RETAINED) {
    it(`keeps them if ${name}`, async () => {
      const { clock, released } = create(options);
      await clock.advance(1_000);
      expect(released).to.deep.equal([]);
    });
  }

  it("keeps them if the attempt ends before the release", async () => {
    const { clock, released, cancel } = create({});
    await clock.advance(100);
    cancel();
    await clock.advance(1_000);
    expect(released).to.deep.equal([]);
  });
});
