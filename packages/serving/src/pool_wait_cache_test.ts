import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPoolWaitCache } from "./pool_wait_cache.ts";

const QUERY = { pool: "pool", partition: "", priority: 1 };

describe("pool wait cache", () => {
  function create(answers: readonly (number | undefined)[]) {
    const clock = createFakeClock(0);
    const queries: string[] = [];
    const waits = createPoolWaitCache({
      clock,
      fetchWaits: ({ pool, priority }) => {
        const late = answers[Math.min(queries.length, answers.length - 1)];
        queries.push(`${pool}/${priority}`);
        return Promise.resolve(
          late === undefined ? undefined : { onTime: 0, late, growth: 0 },
        );
      },
    });
    const read = async () => (await waits.read(QUERY)).late;
    return { clock, queries, waits, read };
  }

  const CASES = [
    { name: "an idle pool", late: 0, pause: 300, count: 1 },
    { name: "an idle pool after its TTL", late: 0, pause: 500, count: 2 },
    { name: "a loaded pool", late: 900, pause: 100, count: 1 },
    { name: "a loaded pool after its TTL", late: 900, pause: 200, count: 2 },
  ];
  for (const { name, late, pause, count } of CASES) {
    it(`queries ${count === 1 ? "once" : "again"} for ${name}`, async () => {
      const { read, clock, queries } = create([late]);
      await read();
      await clock.advance(pause);
      expect(await read()).to.equal(late);
      expect(queries.length).to.equal(count);
    });
  }

  it("shares one query between concurrent requests", async () => {
    const { read, queries } = create([900]);
    expect(await Promise.all([read(), read(), read()]))
      .to.deep.equal([900, 900, 900]);
    expect(queries).to.deep.equal(["pool/1"]);
  });

  // The dispatcher is killed. Its last waits are used for a short time; then
  // requests must be admitted again, so that pieces reach the next dispatcher.
  it("ignores stale waits of a dispatcher that does not reply", async () => {
    const { read, clock } = create([900, undefined]);
    await read();
    await clock.advance(700);
    expect(await read()).to.equal(900);
    await clock.advance(200);
    expect(await read()).to.equal(0);
  });

  // With one query for each account, an idle pool would get many times as many.
  it("answers for all accounts from one reply of an idle pool", async () => {
    const { waits, queries } = create([0]);
    for (const account of ["a", "b", "c"]) {
      await waits.read({ ...QUERY, account });
    }
    expect(queries.length).to.equal(1);
  });

  // The queue is that of one account: another must not be refused because of
  // it, and its short waits must not count as those of the first.
  it("separates the accounts of a loaded pool", async () => {
    const { waits, queries } = create([900]);
    const overall = { onTime: 900, late: 900, growth: 0 };
    waits.record({ ...QUERY, account: "small" }, {
      onTime: 0,
      late: 0,
      growth: 0,
      overall,
    });
    const read = async (account?: string) =>
      (await waits.read({ ...QUERY, account })).late;
    expect(await read("small")).to.equal(0);
    expect(await read()).to.equal(900);
    expect(queries.length).to.equal(0);
    expect(await read("large")).to.equal(900);
    expect(queries.length).to.equal(1);
  });

  it("bounds the number of cached waits", async () => {
    const { waits, queries } = create([900]);
    for (let index = 0; index < 1_300; index++) {
      await waits.read({ ...QUERY, account: `a${index}` });
    }
    expect(queries.length).to.equal(1_300);
    expect(waits.peek({ ...QUERY, account: "a1299" })?.late).to.equal(900);
    waits.record(QUERY, { onTime: 5, late: 5, growth: 0 });
    expect(waits.peek({ ...QUERY, account: "a0" })?.late).to.equal(5);
  });

  it("returns waits that a run of pieces reported", async () => {
    const { read, waits, queries } = create([0]);
    waits.record(QUERY, { onTime: 5, late: 700, growth: 0 });
    expect(await read()).to.equal(700);
    expect(queries).to.deep.equal([]);
  });
});
