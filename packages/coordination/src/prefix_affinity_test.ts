import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPrefixAffinity } from "./prefix_affinity.ts";

describe("prefix affinity", () => {
  it("reduces its confidence with age and after a gap in the events", async () => {
    const clock = createFakeClock();
    const affinity = createPrefixAffinity({ clock, capacity: 2 });
    const stored = (sequence: number, prefix: string) =>
      ({ sequence, kind: "stored", prefix }) as const;
    affinity.applyEvents("e1", [stored(0, "a")]);
    expect(affinity.estimate("e1", "a")).to.equal(1);
    affinity.applyEvents("e1", [stored(5, "b")]);
    expect(affinity.estimate("e1", "a")).to.equal(0.5);
    affinity.recordSent("e1", "c");
    expect(affinity.estimate("e1", "a")).to.equal(0);
    affinity.applyEvents("e1", [{ sequence: 6, kind: "evicted", prefix: "b" }]);
    expect(affinity.estimate("e1", "b")).to.equal(0);
    await clock.advance(60_000);
    expect(affinity.estimate("e1", "c")).to.equal(0.5);
  });
});
