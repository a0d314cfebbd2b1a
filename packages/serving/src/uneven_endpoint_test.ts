import type { PieceRun } from "@mangoreach/peers";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { FakeStageCall } from "./test_support.ts";
import { createTestDispatcher, createTestEndpoint } from "./test_support.ts";

/** Expected time of a call with one piece. */
const CALL = 225;
const SLOW = 2.4;
/** More than the time for which an endpoint without storage is not called. */
const BLOCK_TIME = 200;

function createRun(
  requestId: string,
  { count = 1, onTime = 2_000 } = {},
): PieceRun {
  return {
    pool: "pool",
    partition: "",
    requestId,
    priority: 1,
    onTime,
    remaining: 5_000,
    resultBytes: 10,
    movedBytes: 0,
    ownsInputs: true,
    pieces: Array.from({ length: count }, (_, piece) => ({
      stage: 0,
      piece,
      source: { kind: "key", key: "k" },
    })),
  };
}

interface Case {
  name: string;
  /** Ends the call of the first endpoint, which took 2.4 times as long. */
  endSlow: (call: FakeStageCall) => void;
  chosen: string;
}

// In the last three cases, the piece of the call is retried at `e2`.
const CASES: readonly Case[] = [
  {
    name: "past an endpoint that was slow",
    endSlow: (call) => call.finish(),
    chosen: "e2",
  },
  {
    name: "past an endpoint whose call timed out",
    endSlow: (call) => call.disconnect("maybe", "aborted"),
    chosen: "e3",
  },
  // A call that fails can end early or late, which says nothing about speed.
  {
    name: "to an endpoint whose connection was cut",
    endSlow: (call) => call.disconnect("maybe"),
    chosen: "e1",
  },
  {
    name: "to an endpoint that failed a piece",
    endSlow: (call) =>
      call.end({
        kind: "results",
        results: [{ kind: "failed", reason: "no_room" }],
      }),
    chosen: "e1",
  },
];

describe("stage dispatcher with uneven endpoints", () => {
  function create() {
    const clock = createFakeClock(0);
    const endpoints = ["e1", "e2", "e3"].map((id) => createTestEndpoint(id));
    const { dispatcher, stages } = createTestDispatcher(clock, endpoints);
    const { signal } = new AbortController();
    const run = (id: string, change = {}) =>
      void dispatcher.run(createRun(id, change), signal);

    /** Sends a call to each endpoint; ends those of the first as given. */
    async function runRounds(
      rounds: number,
      endSlow: (call: FakeStageCall) => void,
    ): Promise<void> {
      for (let round = 0; round < rounds; round++) {
        for (let call = 0; call < 3; call++) run(`${round}-${call}`);
        const calls = stages.calls.slice(-3);
        const slow = calls.find(({ endpoint }) => endpoint.id === "e1")!;
        await clock.advance(CALL);
        calls.filter((call) => call !== slow).forEach((call) => call.finish());
        await clock.advance((SLOW - 1) * CALL);
        endSlow(slow);
        await clock.advance(1);
      }
    }

    /** Returns the endpoint of a piece that is sent while all are free. */
    function sendUrgent(): string | undefined {
      run("urgent", { onTime: 350 });
      return stages.calls.at(-1)?.endpoint.id;
    }

    return { clock, endpoints, dispatcher, run, runRounds, sendUrgent };
  }

  // All endpoints have equal storage, so without speeds the first is chosen,
  // and the piece misses its objective there.
  for (const { name, endSlow, chosen } of CASES) {
    it(`sends an urgent piece ${name}`, async () => {
      const { clock, runRounds, sendUrgent } = create();
      await runRounds(1, endSlow);
      await clock.advance(BLOCK_TIME);
      expect(sendUrgent()).to.equal(chosen);
    });
  }

  // Waits that count a slow endpoint as a whole one are too short, and requests
  // are admitted that are dropped later.
  it("computes waits from the sum of the speeds", async () => {
    const { run, runRounds, dispatcher } = create();
    await runRounds(3, (call) => call.finish());
    for (let call = 0; call < 3; call++) run(`busy-${call}`);
    run("waiting", { count: 4 });
    const expected = 300 / (2 + 1 / SLOW);
    expect(dispatcher.readWaits(1).onTime)
      .to.be.within(0.95 * expected, 1.05 * expected);
  });

  it("begins again when an endpoint restarts under its id", async () => {
    const { endpoints, runRounds, sendUrgent } = create();
    await runRounds(3, (call) => call.finish());
    endpoints[0] = createTestEndpoint("e1", { incarnation: "2" });
    expect(sendUrgent()).to.equal("e1");
  });
});
