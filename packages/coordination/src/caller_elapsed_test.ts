import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createCallerElapsed } from "./caller_elapsed.ts";

describe("time since a caller began", () => {
  function create() {
    const clock = createFakeClock(0);
    return { clock, elapsed: createCallerElapsed(clock) };
  }

  // In a burst a caller was refused and came back after two seconds. It is late
  // already; taken for new it would make another one late as well.
  it("is what a repeat has less than a first try", () => {
    const { elapsed } = create();
    expect(elapsed.read("route", 8_000)).to.equal(0);
    expect(elapsed.read("route", 6_000)).to.equal(2_000);
    expect(elapsed.read("other", 6_000)).to.equal(0);
  });

  // Callers of a route wait less than before. Their first tries must not count
  // as late for ever.
  it("follows callers that have changed their time", async () => {
    const { elapsed, clock } = create();
    elapsed.read("route", 8_000);
    await clock.advance(31_000);
    expect(elapsed.read("route", 4_000)).to.equal(4_000);
    await clock.advance(31_000);
    expect(elapsed.read("route", 4_000)).to.equal(0);
  });
});
