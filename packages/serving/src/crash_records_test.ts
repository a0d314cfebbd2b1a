import type { CrashedRun } from "@mangoreach/coordination";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { CrashRecord } from "./crash_records.ts";
import { createCrashRecords } from "./crash_records.ts";

const WALL_OFFSET = 1_000_000;

describe("records of crashes", () => {
  function create(
    clock: FakeClock,
    { entry = "a", isResponsible = true } = {},
  ) {
    const written: CrashRecord[] = [];
    const read: CrashedRun[] = [];
    const records = createCrashRecords({
      clock,
      readWallTime: () => WALL_OFFSET + clock.now(),
      entry,
      write: (record) => written.push(record),
      onRead: (run) => read.push(run),
      isResponsible: () => isResponsible,
    });
    return { records, written, read };
  }

  function createRun(endpointKey: string, trait = "c"): CrashedRun {
    return { traits: [trait], endpointKey, sentAgo: 50, endedAgo: 10 };
  }

  it("hold the runs that an endpoint's crash ended, for other entries", async () => {
    const clock = createFakeClock(0);
    const { records, written } = create(clock);
    ["c1", "c2"].forEach((trait) => records.add(createRun("e1", trait)));
    records.add(createRun("e2"));
    await clock.advance(20);
    expect(written.map(({ slot, crash }) => [slot, crash?.runs.length]))
      .to.deep.equal([[0, 2], [1, 1]]);
    const other = create(clock, { entry: "b" });
    await clock.advance(970);
    other.records.apply(written[0]!);
    expect(other.read).to.deep.equal([
      { traits: ["c1"], endpointKey: "e1", sentAgo: 1_040, endedAgo: 1_000 },
      { traits: ["c2"], endpointKey: "e1", sentAgo: 1_040, endedAgo: 1_000 },
    ]);
  });

  // Guards against an entry that restarts and overwrites what it wrote before.
  it("of a restarted entry follow its earlier ones", async () => {
    const clock = createFakeClock(0);
    const before = create(clock);
    for (let number = 0; number < 10; number++) {
      before.records.add(createRun(`e${number}`));
      await clock.advance(100);
    }
    const stored = new Map(before.written.map((one) => [one.slot, one]));
    expect(stored.size).to.equal(8);
    const after = create(clock);
    stored.forEach((record) => after.records.apply(record));
    after.records.add(createRun("later"));
    await clock.advance(20);
    expect(after.written[0]?.slot).to.equal(2);
  });

  it("are removed once they are too old to count", async () => {
    const clock = createFakeClock(0);
    const { records, written } = create(clock);
    const other = create(clock, { entry: "b", isResponsible: false });
    records.add(createRun("e1"));
    await clock.advance(20);
    other.records.apply(written[0]!);
    await clock.advance(600_000);
    records.removeExpired();
    other.records.removeExpired();
    expect(written.at(-1)).to.deep.equal({
      entry: "a",
      slot: 0,
      crash: undefined,
    });
    expect(other.written).to.deep.equal([]);
  });

  it("are written again if a restored store may lack them", async () => {
    const clock = createFakeClock(0);
    const { records, written } = create(clock);
    records.add(createRun("e1"));
    await clock.advance(29_000);
    records.add(createRun("e2"));
    await clock.advance(2_000);
    written.length = 0;
    records.republish();
    expect(written.map(({ crash }) => crash?.endpointKey))
      .to.deep.equal(["e2"]);
  });
});
