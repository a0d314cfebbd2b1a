import type { StreamRow } from "@mangoreach/peers";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { LoggedStreams } from "./stream_log.ts";
import { createStreamLog } from "./stream_log.ts";

const createRow = (key: string, lifetime = 10_000): StreamRow => [
  key,
  "pool",
  "a",
  "v1",
  lifetime,
];

function createLog({ entries = 8, readDelay = 10 } = {}) {
  const clock = createFakeClock(0);
  const records: LoggedStreams[] = [];
  const times: number[] = [];
  let isDown = false;
  let reads = 0;
  const log = createStreamLog({
    clock,
    readWallTime: clock.now,
    log: createSilentDecisionLog(),
    store: {
      append(streams) {
        times.push(clock.now());
        if (isDown) return Promise.resolve(Result.err("down"));
        records.push(streams);
        return Promise.resolve(Result.ok(null));
      },
      async readNewest() {
        reads++;
        await clock.sleep(readDelay);
        return isDown ? Result.err("down") : Result.ok([...records]);
      },
    },
    countEntries: () => entries,
  });
  const readKeys = async () =>
    (await log.readRows()).map(([key, , , , left]) => `${key} ${left}`);
  return {
    clock,
    log,
    records,
    times,
    readKeys,
    countReads: () => reads,
    setDown: (next: boolean) => {
      isDown = next;
    },
  };
}

describe("log of streams", () => {
  it("writes streams of a short time together", async () => {
    const { clock, log, records } = createLog();
    log.write(createRow("a"));
    await clock.advance(200);
    log.write(createRow("b"));
    await clock.advance(1_000);
    expect(records).to.deep.equal([
      { writtenAt: 250, rows: [createRow("a"), createRow("b")] },
    ]);
  });

  // All entries together would exceed the rate that the store accepts.
  for (const [entries, writes] of [[8, 40], [87, 12], [360, 3]] as const) {
    it(`writes at most 100 times a second among ${entries} entries`, async () => {
      const { clock, log, times } = createLog({ entries });
      for (let count = 0; count < 1_000; count++) {
        log.write(createRow(`${count}`));
        await clock.advance(10);
      }
      expect(times.length).to.be.within(writes - 2, writes);
    }).timeout(20_000);
  }

  it("writes again what an unavailable store did not accept", async () => {
    const { clock, log, records, setDown } = createLog();
    setDown(true);
    log.write(createRow("a"));
    await clock.advance(600);
    setDown(false);
    await clock.advance(300);
    expect(records.flatMap(({ rows }) => rows))
      .to.deep.equal([createRow("a")]);
  });

  // A reader would leave out a record with more streams than a message may hold.
  it("writes no more streams in a record than a message may hold", async () => {
    const { clock, log, records } = createLog();
    for (let count = 0; count < 600; count++) log.write(createRow(`${count}`));
    await clock.advance(2_000);
    expect(records.map(({ rows }) => rows.length))
      .to.deep.equal([256, 256, 88]);
  });

  it("reads the streams that have time left", async () => {
    const { clock, records, readKeys } = createLog();
    records.push({ writtenAt: 0, rows: [createRow("a"), createRow("b", 50)] });
    await clock.advance(100);
    const keys = readKeys();
    await clock.advance(1_000);
    expect(await keys).to.deep.equal(["a 9890"]);
  });

  // After a restart of all entries, many callers resume streams at once.
  it("reads once for streams that are resumed at the same time", async () => {
    const { clock, records, readKeys, countReads } = createLog();
    records.push({ writtenAt: 0, rows: [createRow("a")] });
    const keys = Promise.all([readKeys(), readKeys(), readKeys()]);
    await clock.advance(10);
    const again = readKeys();
    await clock.advance(1_000);
    expect([(await keys).map((list) => list.length), await again, countReads()])
      .to.deep.equal([[1, 1, 1], [], 1]);
  });

  // A caller must not wait for a store that does not reply.
  it("gives up on a slow store", async () => {
    const { clock, readKeys } = createLog({ readDelay: 5_000 });
    let took = Infinity;
    const keys = readKeys().then((list) => {
      took = clock.now();
      return list;
    });
    await clock.advance(1_000);
    expect([await keys, took]).to.deep.equal([[], 300]);
  });
});
