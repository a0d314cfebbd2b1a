import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createEndpointPauses } from "./endpoint_pauses.ts";

const PAUSE = 2_000;
const ENDPOINTS = 2_100;

describe("endpoint pauses", () => {
  // Guards against pauses that are forgotten, and requests sent within them,
  // where all endpoints of a large fleet ask for one.
  it("are all known until they end", async () => {
    const clock = createFakeClock(0);
    const pauses = createEndpointPauses(clock);
    const keys = Array.from({ length: ENDPOINTS }, (_, index) => `i-${index}`);
    keys.forEach((key) => pauses.record(key, PAUSE));
    await clock.advance(PAUSE - 1);
    const known = keys.filter((key) => pauses.readLeft(key) > 0);
    expect(known.length).to.equal(ENDPOINTS);
    await clock.advance(1);
    expect(keys.filter((key) => pauses.readLeft(key) > 0)).to.deep.equal([]);
    expect(pauses.isEmpty()).to.equal(true);
  });
});
