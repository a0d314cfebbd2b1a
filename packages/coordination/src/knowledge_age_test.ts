import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createKnowledgeAge } from "./knowledge_age.ts";

describe("age of knowledge", () => {
  function create() {
    const clock = createFakeClock(0);
    let wallOffset = 0;
    const age = createKnowledgeAge({
      clock,
      readWallTime: () => clock.now() + wallOffset,
    });
    const moveWall = (by: number) => wallOffset += by;
    return { clock, age, moveWall };
  }

  it("is infinite before the first confirmation", () => {
    expect(create().age.read()).to.equal(Infinity);
  });

  // A reading waits a second for a change and finds none. What it confirms was
  // true when it was asked for; a change after that may be on its way.
  it("counts from when the source was asked, not from its answer", async () => {
    const { clock, age } = create();
    const askedAt = age.readTime();
    await clock.advance(1_000);
    age.noteConfirmed(askedAt);
    expect(age.read()).to.equal(1_000);
  });

  // A user's key is taken away while the machine is suspended. The monotonic
  // clock did not count the pause, so by it the keys are fresh.
  it("counts a pause that only the wall clock saw", () => {
    const { age, moveWall } = create();
    age.noteConfirmed(age.readTime());
    moveWall(30_000);
    expect(age.read()).to.equal(30_000);
  });

  // The time of day is set back: by it the knowledge is younger than it is.
  it("is not made younger by a wall clock that is set back", async () => {
    const { clock, age, moveWall } = create();
    age.noteConfirmed(age.readTime());
    await clock.advance(4_000);
    moveWall(-60_000);
    expect(age.read()).to.equal(4_000);
  });

  it("keeps the newest confirmation when answers come out of order", async () => {
    const { clock, age } = create();
    const first = age.readTime();
    await clock.advance(500);
    age.noteConfirmed(age.readTime());
    age.noteConfirmed(first);
    expect(age.read()).to.equal(0);
  });
});
