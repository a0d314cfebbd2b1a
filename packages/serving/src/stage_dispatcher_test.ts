import type { PieceRun } from "@mangoreach/peers";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { expect } from "chai";
import type { FakeClock } from "@mangoreach/shared";
import type { StageFeeder } from "./stage_dispatcher.ts";
import type { FakeStages } from "./test_support.ts";
import { createTestEndpoint, createTestFeeder } from "./test_support.ts";

function createRun(
  requestId: string,
  count: number,
  change: Partial<PieceRun> = {},
): PieceRun {
  return {
    pool: "pool",
    partition: "",
    requestId,
    priority: 1,
    onTime: 2_000,
    remaining: 5_000,
    resultBytes: 100,
    movedBytes: 0,
    ownsInputs: true,
    pieces: Array.from({ length: count }, (_, piece) => ({
      stage: 0,
      piece,
      source: { kind: "key", key: "k" },
    })),
    ...change,
  };
}

const FIVE_PIECES = Array.from({ length: 5 }, (_, piece) => ({
  stage: 1,
  piece,
  source: { kind: "results" as const, results: ["m/1"], pools: ["p"] },
}));

/** Lets small runs come for long enough that this feeder counts as settled. */
async function keepFeeding(
  feeder: StageFeeder,
  { clock, stages }: { clock: FakeClock; stages: FakeStages },
): Promise<void> {
  for (let second = 0; second < 6; second++) {
    const { signal } = new AbortController();
    const run = feeder.run(createRun(`warm-${second}`, 1), signal);
    stages.calls.at(-1)?.finish();
    const [outcome] = (await run).outcomes;
    if (outcome?.kind === "done") feeder.release([outcome.result]);
    await clock.advance(1_000);
  }
}

/** Fills the only maker, and lets one more piece wait for room there. */
async function fillMaker(
  { feeder, stages, signal }: {
    feeder: StageFeeder;
    stages: FakeStages;
    signal: AbortSignal;
  },
): Promise<void> {
  void feeder.run(createRun("a", 2, { resultBytes: 500 }), signal);
  stages.calls[0]?.finish();
  await settlePromises();
  void feeder.run(createRun("b", 1, { resultBytes: 500 }), signal);
  expect(stages.calls.length).to.equal(1);
}

describe("stage feeder", () => {
  function create(...ids: string[]) {
    const clock = createFakeClock(0);
    const endpoints = ids.map((id) => createTestEndpoint(id));
    const { signal } = new AbortController();
    return { clock, signal, endpoints, ...createTestFeeder(clock, endpoints) };
  }

  it("gathers pieces of many requests into one call", async () => {
    const { feeder, stages, signal } = create("e1");
    const first = feeder.run(createRun("a", 1), signal);
    const others = ["b", "c"].map((id) => feeder.run(createRun(id, 2), signal));
    expect(stages.calls.length).to.equal(1);
    stages.calls[0]?.finish();
    await first;
    expect(stages.calls[1]?.pieces.map(({ requestId }) => requestId))
      .to.deep.equal(["b", "b", "c", "c"]);
    stages.calls[1]?.finish();
    const replies = await Promise.all(others);
    expect(replies[1]?.outcomes).to.deep.equal([
      { kind: "done", result: "e1/c.0.0" },
      { kind: "done", result: "e1/c.0.1" },
    ]);
  });

  // A maker is full of results. What is sent there fails for want of room and
  // costs a whole call; after results are freed it can take work again.
  it("keeps count of the room at a maker", async () => {
    const { feeder, stages, signal } = create("e1");
    await fillMaker({ feeder, stages, signal });
    feeder.release(["e1/a.0.0"]);
    expect(stages.released).to.deep.equal(["e1/a.0.0"]);
    expect(stages.calls.length).to.equal(2);
  });

  // A maker full of results crashes and starts again under its id: it holds
  // nothing. Counted as full, it was idle until the old results would have lapsed.
  it("counts no room for results that ended with their maker", async () => {
    const { feeder, stages, signal, endpoints } = create("e1");
    await fillMaker({ feeder, stages, signal });
    endpoints[0] = createTestEndpoint("e1", { incarnation: "2" });
    feeder.refresh();
    expect(stages.calls.length).to.equal(2);
  });

  // An entry dies with results in use and never frees them. The maker drops
  // them after their lifetime; a feeder that did not would leave it idle.
  it("takes lapsed results off the room", async () => {
    const { feeder, stages, signal, clock } = create("e1");
    await fillMaker({ feeder, stages, signal });
    await clock.advance(4_100);
    expect(stages.calls.length).to.equal(2);
  });

  const FAILURES = [
    {
      name: "an endpoint that cannot be reached",
      end: "no",
    },
    { name: "a call that broke off", end: "maybe" },
    {
      name: "an endpoint that is another one now",
      end: { kind: "not_run", reason: "other_instance" },
    },
    {
      name: "a reply that is malformed",
      end: { kind: "invalid", reason: "status 500" },
    },
    {
      name: "a piece that failed",
      end: { kind: "results", results: [{ kind: "failed", reason: "error" }] },
    },
  ] as const;
  for (const { name, end } of FAILURES) {
    it(`makes the piece elsewhere after ${name}`, async () => {
      const { feeder, stages, signal } = create("e1", "e2");
      const run = feeder.run(createRun("a", 1), signal);
      const [call] = stages.calls;
      if (typeof end === "string") call?.breakOff(end);
      else call?.end(end);
      await settlePromises();
      expect(stages.calls[1]?.endpoint.id).not.to.equal(call?.endpoint.id);
      stages.calls[1]?.finish();
      expect((await run).outcomes[0]?.kind).to.equal("done");
    });
  }

  // Results of an entry that died take room at the maker that no feeder counts.
  // The piece did not run; failing the request for it would refuse a user while
  // the room comes back within a second.
  for (
    const { name, end } of [
      {
        name: "has no room",
        end: {
          kind: "results",
          results: [{ kind: "failed", reason: "no_room" }],
        },
      },
      { name: "is full", end: { kind: "not_run", reason: "full" } },
    ] as const
  ) {
    it(`waits with the piece while the only endpoint ${name}`, async () => {
      const { feeder, stages, signal, clock } = create("e1");
      const run = feeder.run(createRun("a", 1), signal);
      for (let index = 0; index < 4; index++) {
        stages.calls[index]?.end(end);
        await clock.advance(100);
        expect(stages.calls.length).to.equal(index + 1);
        await clock.advance(100);
      }
      stages.calls[4]?.finish();
      expect((await run).outcomes[0]?.kind).to.equal("done");
    });
  }

  // In a burst each call fills its maker, and sizes are only approximate: the last
  // piece finds no room. The maker was left idle for 150 ms after every such call.
  it("uses a maker at once that had no room for a part of a call", async () => {
    const { feeder, stages, signal } = create("e1");
    void feeder.run(createRun("a", 2), signal);
    void feeder.run(createRun("b", 1), signal);
    expect(stages.calls.length).to.equal(1);
    stages.calls[0]?.end({
      kind: "results",
      results: [
        { kind: "done", result: "e1/a.0.0" },
        { kind: "failed", reason: "no_room" },
      ],
    });
    await settlePromises();
    expect(stages.calls[1]?.pieces.length).to.equal(2);
  });

  // An endpoint of a pool is killed while the store is away; another starts at its
  // address. Its removal is not believed for two seconds, and until then each call
  // to it came back at once, used up the repeats, and requests were refused.
  it("calls an endpoint once that says it is another one", async () => {
    const { feeder, stages, signal, clock } = create("e1", "e2");
    for (let index = 0; index < 20; index++) {
      const run = feeder.run(createRun(`r${index}`, 1), signal);
      const call = stages.calls.at(-1);
      if (call?.endpoint.id === "e1") {
        call.end({ kind: "not_run", reason: "other_instance" });
        await settlePromises();
      }
      stages.calls.at(-1)?.finish();
      const [outcome] = (await run).outcomes;
      expect(outcome?.kind).to.equal("done");
      if (outcome?.kind === "done") feeder.release([outcome.result]);
      await clock.advance(100);
    }
    const toFirst = stages.calls.filter(({ endpoint }) => endpoint.id === "e1");
    expect(toFirst.length).to.equal(1);
  });

  // An hour of small failures uses up what may be repeated, if nothing adds to
  // it. Later failures would refuse users although there is load enough.
  it("earns repeats with the pieces that it runs", async () => {
    const { feeder, stages, signal } = create("e1", "e2");
    for (let index = 0; index < 100; index++) {
      const run = feeder.run(createRun(`r${index}`, 1), signal);
      if (index % 12 === 0) {
        stages.calls.at(-1)?.breakOff("maybe");
        await settlePromises();
      }
      stages.calls.at(-1)?.finish();
      const [outcome] = (await run).outcomes;
      expect(outcome?.kind).to.equal("done");
      if (outcome?.kind === "done") feeder.release([outcome.result]);
    }
  });

  it("gives a piece up after its attempts", async () => {
    const { feeder, stages, signal } = create("e1");
    const run = feeder.run(createRun("a", 1), signal);
    for (let index = 0; index < 3; index++) {
      stages.calls[index]?.end({ kind: "invalid", reason: "status 500" });
      await settlePromises();
    }
    expect((await run).outcomes)
      .to.deep.equal([{ kind: "failed", reason: "unavailable" }]);
  });

  // Makers of one pool have no room while their results lie there that the next
  // pool's endpoints have fetched long ago. Inputs are freed once all pieces
  // that need them are in calls.
  it("frees inputs when all pieces that need them have fetched them", async () => {
    const { feeder, stages, signal, clock, fetched } = create("e1");
    await keepFeeding(feeder, { clock, stages });
    void feeder.run(createRun("a", 0, { pieces: FIVE_PIECES }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
    stages.calls.at(-1)?.finish();
    await clock.advance(200);
    expect(fetched).to.deep.equal(["m/1"]);
  });

  // A maker is filled to the last byte, and results are a little larger than
  // they should be: some pieces find no room and are made again, from inputs that
  // were freed when the call had fetched them.
  it("keeps the inputs of a call that fills its maker", async () => {
    const { feeder, stages, signal, clock, fetched } = create("e1");
    await keepFeeding(feeder, { clock, stages });
    const pieces = FIVE_PIECES.slice(0, 4);
    const full = createRun("a", 0, { pieces, resultBytes: 250 });
    const run = feeder.run(full, signal);
    await clock.advance(200);
    const done = { kind: "done", result: "e1/x" } as const;
    const failed = { kind: "failed", reason: "no_room" } as const;
    stages.calls.at(-1)?.end({
      kind: "results",
      results: [done, done, done, failed],
    });
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
    stages.calls.at(-1)?.finish();
    expect((await run).outcomes.map(({ kind }) => kind))
      .to.deep.equal(["done", "done", "done", "done"]);
  });

  // An entry has just begun to feed the pool; calls of the one before it are
  // still at the endpoints. Its own calls wait there, with inputs to fetch.
  it("keeps inputs while another feeder may be at work", async () => {
    const { feeder, stages, signal, clock, fetched } = create("e1");
    const pieces = FIVE_PIECES.slice(0, 4);
    void feeder.run(createRun("a", 0, { pieces }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
    stages.calls.at(-1)?.finish();
    await settlePromises();
    await keepFeeding(feeder, { clock, stages });
    void feeder.run(createRun("b", 0, { pieces }), signal);
    stages.calls.at(-1)?.end({
      kind: "results",
      results: pieces.map(() => ({ kind: "failed", reason: "input_gone" })),
    });
    await settlePromises();
    void feeder.run(createRun("c", 0, { pieces }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
  });

  // Two endpoints make the pieces of one request. The second has not fetched
  // the inputs yet when the first has; freed then, its pieces would fail.
  it("keeps inputs until the last call has fetched them", async () => {
    const { feeder, stages, signal, clock, fetched } = create("e1", "e2");
    await keepFeeding(feeder, { clock, stages });
    const blocker = new AbortController();
    void feeder.run(createRun("b", 1), blocker.signal);
    void feeder.run(createRun("a", 0, { pieces: FIVE_PIECES }), signal);
    await clock.advance(100);
    expect(fetched).to.deep.equal([]);
  });

  // The caller leaves while its piece is in a call. Nobody will use the result,
  // and room at the maker is short.
  it("frees the result of a piece whose caller has left", async () => {
    const { feeder, stages } = create("e1");
    const caller = new AbortController();
    const run = feeder.run(createRun("a", 1), caller.signal);
    caller.abort();
    expect((await run).outcomes[0]?.kind).to.equal("failed");
    stages.calls[0]?.finish();
    await settlePromises();
    expect(stages.released).to.deep.equal(["e1/a.0.0"]);
  });

  // Half of a request's pieces are made when its caller leaves. The reply with
  // their results reaches nobody, so nobody would free them.
  it("frees the results of a request that was given up halfway", async () => {
    const { feeder, stages } = create("e1");
    const caller = new AbortController();
    void feeder.run(createRun("a", 5), caller.signal);
    stages.calls[0]?.finish();
    await settlePromises();
    caller.abort();
    expect(stages.released.length).to.equal(4);
  });

  it("drops waiting pieces of a caller that has left", async () => {
    const { feeder, stages, signal } = create("e1");
    void feeder.run(createRun("a", 1), signal);
    const caller = new AbortController();
    void feeder.run(createRun("b", 1), caller.signal);
    caller.abort();
    stages.calls[0]?.finish();
    await settlePromises();
    expect(stages.calls.length).to.equal(1);
  });

  it("fails at once what could not be done in time any more", async () => {
    const { feeder, signal } = create("e1");
    const run = await feeder.run(createRun("a", 1, { remaining: 200 }), signal);
    expect(run.outcomes)
      .to.deep.equal([{ kind: "failed", reason: "late" }]);
  });
});
