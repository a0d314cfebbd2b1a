import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createDataAge } from "./data_age.ts";

describe("data age", () => {
  function create() {
    const clock = createFakeClock(0);
    let wallOffset = 0;
    const age = createDataAge({
      clock,
      readWallTime: () => clock.now() + wallOffset,
    });
    const moveWall = (by: number) => wallOffset += by;
    return { clock, age, moveWall };
  }

  it("is infinite before the first confirmation", () => {
    expect(create().age.read()).to.equal(Infinity);
  });

  // A read waits a second for a change and finds none. It confirms the state at
  // the time of the query; a later change may be on its way.
  it("counts from the query of the source, not from its answer", async () => {
    const { clock, age } = create();
    const queriedAt = age.readTime();
    await clock.advance(1_000);
    age.recordConfirmed(queriedAt);
    expect(age.read()).to.equal(1_000);
  });

  // A user's key is revoked while the machine is suspended. The monotonic clock
  // did not count the pause, so by that clock the keys are fresh.
  it("counts a pause that only the wall clock measured", () => {
    const { age, moveWall } = create();
    age.recordConfirmed(age.readTime());
    moveWall(30_000);
    expect(age.read()).to.equal(30_000);
  });

  // The wall clock is set back: by that clock the data is fresher than it is.
  it("is not reduced by a wall clock that is set back", async () => {
    const { clock, age, moveWall } = create();
    age.recordConfirmed(age.readTime());
    await clock.advance(4_000);
    moveWall(-60_000);
    expect(age.read()).to.equal(4_000);
  });

  it("keeps the newest confirmation when answers arrive out of order", async () => {
    const { clock, age } = create();
    const first = age.readTime();
    await clock.advance(500);
    age.recordConfirmed(age.readTime());
    age.recordConfirmed(first);
    expect(age.read()).to.equal(0);
  });
});
