import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createInputReleaser } from "./input_release.ts";

describe("early release of inputs", () => {
  async function create({ activeFor = 6_000 } = {}) {
    const clock = createFakeClock(0);
    const released: string[] = [];
    const release = createInputReleaser({
      clock,
      releaseInputs: (pool, results) =>
        released.push(`${pool} ${results.join()}`),
    });
    for (let passed = 0; passed <= activeFor; passed += 1_000) {
      release.recordRun();
      await clock.advance(1_000);
    }
    const scheduleRelease = (
      change: {
        started?: number;
        storageShare?: number;
        ownsInputs?: boolean;
      } = {},
    ) =>
      release.scheduleRelease({
        startedAt: 10,
        groups: [{
          group: {
            started: change.started ?? 4,
            pieces: { length: 4 },
            lastCallAt: 10,
            ownsInputs: change.ownsInputs ?? true,
            freedInputs: false,
          },
          source: { kind: "results", results: ["m/1", "m/2"], pools: ["p"] },
        }],
        storageShare: change.storageShare ?? 0.5,
      });
    return { clock, released, release, scheduleRelease };
  }

  it("releases them when the endpoint has fetched them", async () => {
    const { clock, released, scheduleRelease } = await create();
    scheduleRelease();
    await clock.advance(100);
    expect(released).to.deep.equal([]);
    await clock.advance(50);
    expect(released).to.deep.equal(["p m/1,m/2"]);
  });

  // A call holds pieces of about ten requests. One message per request would
  // cost dispatchers as much time as the pieces themselves.
  it("releases the inputs of all requests of a call together", async () => {
    const { clock, released, release } = await create();
    release.scheduleRelease({
      startedAt: 10,
      groups: ["a", "b", "c"].map((name) => ({
        group: {
          started: 1,
          pieces: { length: 1 },
          lastCallAt: 10,
          ownsInputs: true,
          freedInputs: false,
        },
        source: { kind: "results", results: [`m/${name}`], pools: ["p"] },
      })),
      storageShare: 0.5,
    });
    await clock.advance(200);
    expect(released).to.deep.equal(["p m/a,m/b,m/c"]);
  });

  // In each of these cases a piece needs its inputs after the call has started.
  // If they were released, the request would be refused for a missing input.
  const RETAINED = [
    { name: "pieces of the request are queued for another call", started: 3 },
    { name: "another stage needs them too", ownsInputs: false },
    { name: "the call fills the endpoint's storage", storageShare: 0.9 },
    { name: "this dispatcher has just started", activeFor: 2_000 },
  ];
  for (const { name, activeFor, ...change } of RETAINED) {
    it(`keeps them while ${name}`, async () => {
      const { clock, released, scheduleRelease } = await create(
        activeFor === undefined ? {} : { activeFor },
      );
      scheduleRelease(change);
      await clock.advance(500);
      expect(released).to.deep.equal([]);
    });
  }

  it("keeps them for a while after another dispatcher was detected", async () => {
    const { clock, released, release, scheduleRelease } = await create();
    release.recordOtherDispatcher();
    scheduleRelease();
    await clock.advance(4_000);
    expect(released).to.deep.equal([]);
    release.recordRun();
    await clock.advance(1_500);
    scheduleRelease();
    await clock.advance(500);
    expect(released.length).to.equal(1);
  });

  it("keeps them if the call ends before the release", async () => {
    const { clock, released, scheduleRelease } = await create();
    scheduleRelease()();
    await clock.advance(500);
    expect(released).to.deep.equal([]);
  });
});
