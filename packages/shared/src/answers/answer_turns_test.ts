import { expect } from "chai";
import { createFakeClock } from "../fake_clock.ts";
import { createAnswerTurns } from "./answer_turns.ts";

const ANSWERS = 5;

/** Resolves after the next turn of the event loop. */
function waitTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("the turns of long answers", () => {
  // Guards against an event loop that does nothing but read answers.
  it("are a few in each turn of the event loop, in order", async () => {
    const turns = createAnswerTurns(createFakeClock());
    const resumed: number[] = [];
    for (let answer = 0; answer < ANSWERS; answer++) {
      turns.wait(() => resumed.push(answer));
    }
    const counts: number[] = [];
    for (let turn = 0; turn < 4; turn++) {
      await waitTurn();
      counts.push(resumed.length);
    }
    expect(counts).to.deep.equal([2, 4, 5, 5]);
    expect(resumed).to.deep.equal([0, 1, 2, 3, 4]);
  });

  it("rest for as long as they have taken beside other work", async () => {
    const clock = createFakeClock();
    const turns = createAnswerTurns(clock);
    let resumed = 0;
    turns.spend(7);
    await clock.advance(14);
    turns.wait(() => resumed++);
    await waitTurn();
    await clock.advance(6);
    await waitTurn();
    expect(resumed).to.equal(0);
    await clock.advance(1);
    await waitTurn();
    expect(resumed).to.equal(1);
  });

  // Guards against large answers that wait although nobody wants the time.
  it("do not rest without other work", async () => {
    const clock = createFakeClock();
    const turns = createAnswerTurns(clock);
    let resumed = 0;
    turns.spend(7);
    await clock.advance(8);
    turns.wait(() => resumed++);
    await waitTurn();
    expect(resumed).to.equal(1);
  });

  it("rest briefly after the process was suspended", async () => {
    const clock = createFakeClock();
    const turns = createAnswerTurns(clock);
    let resumed = 0;
    turns.wait(() => resumed++);
    turns.spend(60_000);
    await clock.advance(120_000);
    await waitTurn();
    await clock.advance(20);
    await waitTurn();
    expect(resumed).to.equal(1);
  });
});
