import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPoolWaits } from "./pool_wait_cache.ts";

const QUESTION = { pool: "pool", partition: "", priority: 1 };

describe("waits of pools", () => {
  function create(answers: readonly (number | undefined)[]) {
    const clock = createFakeClock(0);
    const asked: string[] = [];
    const waits = createPoolWaits({
      clock,
      ask: ({ pool, priority }) => {
        const late = answers[Math.min(asked.length, answers.length - 1)];
        asked.push(`${pool}/${priority}`);
        return Promise.resolve(
          late === undefined ? undefined : { onTime: 0, late, growth: 0 },
        );
      },
    });
    const read = async () => (await waits.read(QUESTION)).late;
    return { clock, asked, waits, read };
  }

  const CASES = [
    { name: "a calm pool", late: 0, pause: 300, asks: 1 },
    { name: "a calm pool after a while", late: 0, pause: 500, asks: 2 },
    { name: "a loaded pool", late: 900, pause: 100, asks: 1 },
    { name: "a loaded pool after a call", late: 900, pause: 200, asks: 2 },
  ];
  for (const { name, late, pause, asks } of CASES) {
    it(`asks ${asks === 1 ? "once" : "again"} for ${name}`, async () => {
      const { read, clock, asked } = create([late]);
      await read();
      await clock.advance(pause);
      expect(await read()).to.equal(late);
      expect(asked.length).to.equal(asks);
    });
  }

  it("asks once for requests that come together", async () => {
    const { read, asked } = create([900]);
    expect(await Promise.all([read(), read(), read()]))
      .to.deep.equal([900, 900, 900]);
    expect(asked).to.deep.equal(["pool/1"]);
  });

  // The feeder was killed. What it said last holds for a moment; then requests
  // must be let in again, or nobody would ever start the pool's next feeder.
  it("forgets what a feeder said that does not answer any more", async () => {
    const { read, clock } = create([900, undefined]);
    await read();
    await clock.advance(700);
    expect(await read()).to.equal(900);
    await clock.advance(200);
    expect(await read()).to.equal(0);
  });

  it("takes what a run of pieces tells", async () => {
    const { read, waits, asked } = create([0]);
    waits.note(QUESTION, { onTime: 5, late: 700, growth: 0 });
    expect(await read()).to.equal(700);
    expect(asked).to.deep.equal([]);
  });
});
