import type { EndpointInfo } from "@mangoreach/coordination";
import type { PieceRun } from "@mangoreach/peers";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { expect } from "chai";
import type { FakeClock } from "@mangoreach/shared";
import type { DecisionFields } from "./decision_log.ts";
import type { StageDispatcher } from "./stage_dispatcher.ts";
import type { FakeStages } from "./test_support.ts";
import { createTestDispatcher, createTestEndpoint } from "./test_support.ts";

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

/** Runs pieces for long enough that this counts as the sole dispatcher. */
async function warmUp(
  dispatcher: StageDispatcher,
  { clock, stages }: { clock: FakeClock; stages: FakeStages },
): Promise<void> {
  for (let second = 0; second < 6; second++) {
    const { signal } = new AbortController();
    const run = dispatcher.run(createRun(`warm-${second}`, 1), signal);
    stages.calls.at(-1)?.finish();
    const [outcome] = (await run).outcomes;
    if (outcome?.kind === "done") dispatcher.release([outcome.result]);
    await clock.advance(1_000);
  }
}

/** Fills the storage of the only endpoint and queues one more piece. */
async function fillStorage(
  { dispatcher, stages, signal }: {
    dispatcher: StageDispatcher;
    stages: FakeStages;
    signal: AbortSignal;
  },
): Promise<void> {
  void dispatcher.run(createRun("a", 2, { resultBytes: 500 }), signal);
  stages.calls[0]?.finish();
  await settlePromises();
  void dispatcher.run(createRun("b", 1, { resultBytes: 500 }), signal);
  expect(stages.calls.length).to.equal(1);
}

describe("stage dispatcher", () => {
  function create(...ids: string[]) {
    const clock = createFakeClock(0);
    const endpoints = ids.map((id) => createTestEndpoint(id));
    const { signal } = new AbortController();
    return {
      clock,
      signal,
      endpoints,
      ...createTestDispatcher(clock, endpoints),
    };
  }

  it("batches pieces of several requests into one call", async () => {
    const { dispatcher, stages, signal } = create("e1");
    const first = dispatcher.run(createRun("a", 1), signal);
    const others = ["b", "c"].map((id) =>
      dispatcher.run(createRun(id, 2), signal)
    );
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

  // A call to an endpoint without result storage fails and is wasted. Once
  // results are released, the endpoint can run pieces again.
  it("tracks the result storage of an endpoint", async () => {
    const { dispatcher, stages, signal } = create("e1");
    await fillStorage({ dispatcher, stages, signal });
    dispatcher.release(["e1/a.0.0"]);
    expect(stages.released).to.deep.equal(["e1/a.0.0"]);
    expect(stages.calls.length).to.equal(2);
  });

  // An endpoint full of results crashes and restarts under its id without them.
  // If it still counted as full, it would be idle until they had expired.
  it("ignores results that were lost in a restart of their endpoint", async () => {
    const { dispatcher, stages, signal, endpoints } = create("e1");
    await fillStorage({ dispatcher, stages, signal });
    endpoints[0] = createTestEndpoint("e1", { incarnation: "2" });
    dispatcher.refresh();
    expect(stages.calls.length).to.equal(2);
  });

  // A piece that may have ended an endpoint must not be sent to its next
  // incarnation.
  it("calls a restarted endpoint, except with pieces that failed there", async () => {
    const { dispatcher, stages, signal, endpoints } = create("e1");
    const list = endpoints as EndpointInfo[];
    void dispatcher.run(createRun("a", 1), signal);
    list[0] = createTestEndpoint("e1", { incarnation: "2" });
    list.push(createTestEndpoint("e2"));
    void dispatcher.run(createRun("b", 1), signal);
    void dispatcher.run(createRun("c", 1), signal);
    const called = () => stages.calls.map(({ endpoint }) => endpoint.id);
    expect(called()).to.have.members(["e1", "e1", "e2"]);
    stages.calls[0]?.disconnect("no");
    stages.calls[1]?.finish();
    stages.calls[2]?.finish();
    await settlePromises();
    expect(called().length).to.equal(4);
    expect(stages.calls[3]?.endpoint.id).to.equal("e2");
    expect(stages.calls[3]?.pieces[0]?.requestId).to.equal("a");
  });

  // An entry crashes and never releases its results. The endpoint discards them
  // when they expire; a dispatcher that still counted them would leave it idle.
  it("removes expired results from the storage in use", async () => {
    const { dispatcher, stages, signal, clock } = create("e1");
    await fillStorage({ dispatcher, stages, signal });
    await clock.advance(4_100);
    expect(stages.calls.length).to.equal(2);
  });

  const FAILURES = [
    {
      name: "an endpoint that cannot be reached",
      end: "no",
    },
    { name: "a call without a reply", end: "maybe" },
    {
      name: "a reply of another instance",
      end: { kind: "not_run", reason: "other_instance" },
    },
    {
      name: "a malformed reply",
      end: { kind: "invalid", reason: "status 500" },
    },
    {
      name: "a failed piece",
      end: { kind: "results", results: [{ kind: "failed", reason: "error" }] },
    },
  ] as const;
  for (const { name, end } of FAILURES) {
    it(`retries the piece at another endpoint after ${name}`, async () => {
      const { dispatcher, stages, signal } = create("e1", "e2");
      const run = dispatcher.run(createRun("a", 1), signal);
      const [call] = stages.calls;
      if (typeof end === "string") call?.disconnect(end);
      else call?.end(end);
      await settlePromises();
      expect(stages.calls[1]?.endpoint.id).not.to.equal(call?.endpoint.id);
      stages.calls[1]?.finish();
      expect((await run).outcomes[0]?.kind).to.equal("done");
    });
  }

  // Results of an entry that crashed use storage that no dispatcher counts. The
  // piece has not run, and storage is available again within a second, so the
  // request must not fail.
  for (
    const { name, end } of [
      {
        name: "has no result storage",
        end: {
          kind: "results",
          results: [{ kind: "failed", reason: "no_room" }],
        },
      },
      { name: "is full", end: { kind: "not_run", reason: "full" } },
    ] as const
  ) {
    it(`queues the piece while the only endpoint ${name}`, async () => {
      const { dispatcher, stages, signal, clock } = create("e1");
      const run = dispatcher.run(createRun("a", 1), signal);
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

  // In a burst each call fills the endpoint's storage, and result sizes are
  // approximate, so the last piece can fail. If that blocked the endpoint, it
  // would be idle for 150 ms after every such call.
  it("does not block an endpoint that stored a part of a call's results", async () => {
    const { dispatcher, stages, signal } = create("e1");
    void dispatcher.run(createRun("a", 2), signal);
    void dispatcher.run(createRun("b", 1), signal);
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

  // An endpoint is killed while the store is unavailable, and another starts at
  // its address. The removal is not applied for two seconds. Repeated calls
  // until then would fail immediately and exhaust the retry budget, and
  // requests would be refused.
  it("does not call an address again that belongs to another instance", async () => {
    const { dispatcher, stages, signal, clock } = create("e1", "e2");
    for (let index = 0; index < 20; index++) {
      const run = dispatcher.run(createRun(`r${index}`, 1), signal);
      const call = stages.calls.at(-1);
      if (call?.endpoint.id === "e1") {
        call.end({ kind: "not_run", reason: "other_instance" });
        await settlePromises();
      }
      stages.calls.at(-1)?.finish();
      const [outcome] = (await run).outcomes;
      expect(outcome?.kind).to.equal("done");
      if (outcome?.kind === "done") dispatcher.release([outcome.result]);
      await clock.advance(100);
    }
    const toFirst = stages.calls.filter(({ endpoint }) => endpoint.id === "e1");
    expect(toFirst.length).to.equal(1);
  });

  // Occasional failures over an hour would exhaust a retry budget that is not
  // refilled, and later failures would fail requests.
  it("refills the retry budget with the pieces that it runs", async () => {
    const { dispatcher, stages, signal } = create("e1", "e2");
    for (let index = 0; index < 100; index++) {
      const run = dispatcher.run(createRun(`r${index}`, 1), signal);
      if (index % 12 === 0) {
        stages.calls.at(-1)?.disconnect("maybe");
        await settlePromises();
      }
      stages.calls.at(-1)?.finish();
      const [outcome] = (await run).outcomes;
      expect(outcome?.kind).to.equal("done");
      if (outcome?.kind === "done") dispatcher.release([outcome.result]);
    }
  });

  it("fails a piece after the maximum number of attempts", async () => {
    const { dispatcher, stages, signal } = create("e1");
    const run = dispatcher.run(createRun("a", 1), signal);
    for (let index = 0; index < 3; index++) {
      stages.calls[index]?.end({ kind: "invalid", reason: "status 500" });
      await settlePromises();
    }
    expect((await run).outcomes)
      .to.deep.equal([{ kind: "failed", reason: "unavailable" }]);
  });

  // Results that the next pool's endpoints have fetched would occupy the
  // storage of their pool. Inputs are released once all pieces that need them
  // are in calls.
  it("releases inputs when all pieces that need them have fetched them", async () => {
    const { dispatcher, stages, signal, clock, fetched } = create("e1");
    await warmUp(dispatcher, { clock, stages });
    void dispatcher.run(createRun("a", 0, { pieces: FIVE_PIECES }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
    stages.calls.at(-1)?.finish();
    await clock.advance(200);
    expect(fetched).to.deep.equal(["m/1"]);
  });

  // If the endpoint's storage is filled completely and results are slightly
  // larger than expected, some pieces fail for lack of storage and are retried.
  // They need their inputs again.
  it("keeps the inputs of a call that fills the endpoint's storage", async () => {
    const { dispatcher, stages, signal, clock, fetched } = create("e1");
    await warmUp(dispatcher, { clock, stages });
    const pieces = FIVE_PIECES.slice(0, 4);
    const full = createRun("a", 0, { pieces, resultBytes: 250 });
    const run = dispatcher.run(full, signal);
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

  // An entry has just become the dispatcher, and calls of the previous one are
  // still running. Its own calls are queued behind them and need their inputs.
  it("keeps inputs while another dispatcher may be active", async () => {
    const { dispatcher, stages, signal, clock, fetched } = create("e1");
    const pieces = FIVE_PIECES.slice(0, 4);
    void dispatcher.run(createRun("a", 0, { pieces }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
    stages.calls.at(-1)?.finish();
    await settlePromises();
    await warmUp(dispatcher, { clock, stages });
    void dispatcher.run(createRun("b", 0, { pieces }), signal);
    stages.calls.at(-1)?.end({
      kind: "results",
      results: pieces.map(() => ({ kind: "failed", reason: "input_gone" })),
    });
    await settlePromises();
    void dispatcher.run(createRun("c", 0, { pieces }), signal);
    await clock.advance(200);
    expect(fetched).to.deep.equal([]);
  });

  // Two endpoints run the pieces of one request. If the inputs were released
  // when the first has fetched them, the pieces at the second would fail.
  it("keeps inputs until the last call has fetched them", async () => {
    const { dispatcher, stages, signal, clock, fetched } = create("e1", "e2");
    await warmUp(dispatcher, { clock, stages });
    const blocker = new AbortController();
    void dispatcher.run(createRun("b", 1), blocker.signal);
    void dispatcher.run(createRun("a", 0, { pieces: FIVE_PIECES }), signal);
    await clock.advance(100);
    expect(fetched).to.deep.equal([]);
  });

  // The caller disconnects while its piece is in a call. The result is not
  // needed and would occupy storage.
  it("releases the result of a piece whose caller has disconnected", async () => {
    const { dispatcher, stages } = create("e1");
    const caller = new AbortController();
    const run = dispatcher.run(createRun("a", 1), caller.signal);
    caller.abort();
    expect((await run).outcomes[0]?.kind).to.equal("failed");
    stages.calls[0]?.finish();
    await settlePromises();
    expect(stages.released).to.deep.equal(["e1/a.0.0"]);
  });

  // Some pieces of a request are complete when its caller disconnects. The
  // reply with their results is not read, so nobody else would release them.
  it("releases the results of a request that is cancelled halfway", async () => {
    const { dispatcher, stages } = create("e1");
    const caller = new AbortController();
    void dispatcher.run(createRun("a", 5), caller.signal);
    stages.calls[0]?.finish();
    await settlePromises();
    caller.abort();
    expect(stages.released.length).to.equal(4);
  });

  it("drops queued pieces of a caller that has disconnected", async () => {
    const { dispatcher, stages, signal } = create("e1");
    void dispatcher.run(createRun("a", 1), signal);
    const caller = new AbortController();
    void dispatcher.run(createRun("b", 1), caller.signal);
    caller.abort();
    stages.calls[0]?.finish();
    await settlePromises();
    expect(stages.calls.length).to.equal(1);
  });

  // One account fills the queue. Another, and an entry of an older build that
  // sends no account, must not wait behind all of it.
  it("shares calls between accounts and logs what it drops", async () => {
    const clock = createFakeClock(0);
    const lines: DecisionFields[] = [];
    const { dispatcher, stages } = createTestDispatcher(
      clock,
      [createTestEndpoint("e1")],
      undefined,
      { log: { record: (_kind, fields) => void lines.push(fields) } },
    );
    const { signal } = new AbortController();
    const run = (id: string, count: number, change: Partial<PieceRun>) =>
      dispatcher.run(createRun(id, count, change), signal);
    void run("l1", 4, { account: "large" });
    for (const id of ["l2", "l3"]) void run(id, 4, { account: "large" });
    void run("small", 1, { account: "small" });
    void run("old", 1, {});
    const readWait = (account?: string) =>
      dispatcher.readWaits(1, account).onTime;
    expect(readWait("other")).to.be.lessThan(readWait("large"));
    expect(dispatcher.readWaits(1, "other").overall?.onTime)
      .to.equal(readWait());
    void run("l4", 1, { account: "large", remaining: 900 });
    expect(lines.find(({ request }) => request === "l4"))
      .to.include({ account: "large", share: 100 });
    stages.calls[0]?.finish();
    await settlePromises();
    expect(
      stages.calls[1]?.pieces.slice(0, 2).map(({ requestId }) => requestId),
    )
      .to.deep.equal(["small", "old"]);
  });

  it("fails pieces immediately that cannot meet their deadline", async () => {
    const { dispatcher, signal } = create("e1");
    const run = await dispatcher.run(
      createRun("a", 1, { remaining: 200 }),
      signal,
    );
    expect(run.outcomes)
      .to.deep.equal([{ kind: "failed", reason: "late" }]);
  });
});
