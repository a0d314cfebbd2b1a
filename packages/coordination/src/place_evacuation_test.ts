import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPlaceEvacuation } from "./place_evacuation.ts";

describe("evacuated places", () => {
  function create() {
    const clock = createFakeClock(0);
    const changes: string[] = [];
    const evacuation = createPlaceEvacuation({
      clock,
      onChange: (place, change) => changes.push(`${place} ${change}`),
    });
    return { clock, changes, evacuation };
  }

  it("keeps a place evacuated until its mark is removed", () => {
    const { evacuation, changes } = create();
    evacuation.markEvacuated("a");
    evacuation.markEvacuated("a");
    expect(evacuation.isEvacuated("a")).to.equal(true);
    expect(evacuation.isEvacuated("b")).to.equal(false);
    evacuation.clearEvacuated("a");
    evacuation.clearEvacuated("b");
    expect(evacuation.isEvacuated("a")).to.equal(false);
    expect(changes).to.deep.equal(["a evacuated", "a returned"]);
  });

  it("replaces all marks with those of a full read", () => {
    const { evacuation } = create();
    evacuation.markEvacuated("a");
    evacuation.replaceAll(["b"]);
    expect(evacuation.isEvacuated("a")).to.equal(false);
    expect(evacuation.isEvacuated("b")).to.equal(true);
  });

  // All endpoints of a place return at once and cold, a second before their
  // reports of it are read. Under their former load they would crash.
  it("treats a returned place as cold for some seconds", async () => {
    const { clock, evacuation } = create();
    evacuation.markEvacuated("a");
    expect(evacuation.isReturning("a")).to.equal(false);
    evacuation.clearEvacuated("a");
    expect(evacuation.isReturning("a")).to.equal(true);
    await clock.advance(3_100);
    expect(evacuation.isReturning("a")).to.equal(false);
  });

  // The store fails briefly and is restored from a copy a few seconds old,
  // which lacks the mark. Requests would reach the evacuated place until the
  // operator has written the mark again.
  it("keeps its marks when the store is restored from an older copy", async () => {
    const { clock, evacuation, changes } = create();
    evacuation.markEvacuated("a");
    evacuation.handleStoreRestored();
    evacuation.replaceAll([]);
    await clock.advance(4_000);
    expect(evacuation.isEvacuated("a")).to.equal(true);
    evacuation.markEvacuated("a");
    await clock.advance(20_000);
    expect(evacuation.isEvacuated("a")).to.equal(true);
    expect(changes).to.deep.equal(["a evacuated"]);
  });

  it("removes a mark that is not written again", async () => {
    const { clock, evacuation } = create();
    evacuation.markEvacuated("a");
    evacuation.handleStoreRestored();
    evacuation.replaceAll([]);
    // Further reads of the restored store must not extend the mark.
    await clock.advance(1_000);
    evacuation.replaceAll([]);
    expect(evacuation.isEvacuated("a")).to.equal(true);
    await clock.advance(9_100);
    expect(evacuation.isEvacuated("a")).to.equal(false);
  });
});
