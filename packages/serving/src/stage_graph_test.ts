import type { EndpointCrash, PieceRunReply } from "@mangoreach/peers";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { PieceWork } from "./piece_router.ts";
import { runStages } from "./stage_graph.ts";
import { createTestHead, createTestRoute } from "./test_support.ts";

/** Stage 0 runs in parallel with the chain of stages 1, 2 and 3. */
const STAGES = [
  { pool: "p0", after: [], resultBytes: 1 },
  { pool: "p1", after: [], resultBytes: 1 },
  { pool: "p2", after: [1], resultBytes: 1 },
  { pool: "p3", after: [2], resultBytes: 1 },
];

describe("stage graph", () => {
  const waits = { onTime: 0, late: 0, growth: 0 };

  function create(
    pieceCounts: number[],
    { deadlineAt = 5_000, freedInputs = false, account = "" } = {},
  ) {
    const runs: (PieceWork & { end: (reply: PieceRunReply) => void })[] = [];
    const released: string[] = [];
    const reportedEnds: EndpointCrash[] = [];
    const stage = (number: number) =>
      runs.find(({ pieces }) => pieces[0]?.stage === number);
    const finish = async (number: number, ends?: EndpointCrash[]) => {
      const run = stage(number);
      run?.end({
        outcomes: run.pieces.map(({ piece }) => ({
          kind: "done",
          result: `${number}.${piece}`,
        })),
        waits,
        freedInputs,
        ...(ends === undefined ? {} : { ends }),
      });
      await settlePromises();
    };
    const outcome = runStages({
      clock: createFakeClock(0),
      random: () => 0,
      log: createSilentDecisionLog(),
      router: {
        run: (run) =>
          new Promise((resolve) =>
            runs.push({ ...run, end: (reply) => resolve(Result.ok(reply)) })
          ),
        readWaits: () => Promise.resolve({ onTime: 0, late: 0, growth: 0 }),
        release: (_pool, results) => void released.push(...results),
      },
      route: createTestRoute({ stages: STAGES }),
      head: createTestHead({ pieceCounts }),
      priority: 1,
      account: account === "" ? undefined : account,
      objectiveAt: 2_000,
      deadlineAt,
      durations: pieceCounts.map((count) => count === 0 ? 0 : 300),
      readLifetime: () => 4_000,
      readPlace: () => "there",
      place: "here",
      recordCrashes: (ends) => void reportedEnds.push(...ends),
      signal: new AbortController().signal,
    });
    return {
      runs,
      released,
      reportedEnds,
      stage,
      finish,
      outcome,
    };
  }

  // A peer rejects a message with a longer name, and the request would fail.
  it("passes the account, cut to the length that peers accept", async () => {
    const { runs } = create([1, 0, 0, 0], { account: "a".repeat(200) });
    const { runs: unnamed } = create([1, 0, 0, 0]);
    await settlePromises();
    expect(runs[0]?.account).to.equal("a".repeat(128));
    expect(unnamed[0]).to.not.have.property("account");
  });

  it("passes to each stage all results of its dependencies", async () => {
    const { stage, finish, outcome } = create([1, 2, 1, 2]);
    await settlePromises();
    expect(stage(1)?.pieces[0]?.source)
      .to.deep.equal({ kind: "key", key: "key-1" });
    expect(stage(2)).to.equal(undefined);
    await finish(1);
    expect(stage(2)?.pieces[0]?.source)
      .to.deep.equal({
        kind: "results",
        results: ["1.0", "1.1"],
        pools: ["p1"],
      });
    expect(stage(1)?.place).to.equal("here");
    expect(stage(2)?.place).to.equal("there");
    expect(stage(0)).to.equal(undefined);
    await finish(2);
    await finish(3);
    await finish(0);
    const results = await outcome;
    expect(results.isOk && results.value.inputs)
      .to.deep.equal(["0.0", "3.0", "3.1"]);
  });

  it("reports endpoints that terminated during its calls", async () => {
    const { reportedEnds, finish } = create([1, 0, 0, 0]);
    await settlePromises();
    const end = { endpointKey: "m1#1", sentAgo: 300, endedAgo: 20 };
    await finish(0, [end]);
    expect(reportedEnds).to.deep.equal([end]);
  });

  // Endpoints can store only a few results. Results stored until the end of the
  // request would block their pool, and all later requests would queue.
  it("releases results as soon as all dependent stages are complete", async () => {
    const { released, finish } = create([0, 2, 1, 1]);
    await settlePromises();
    await finish(1);
    expect(released).to.deep.equal([]);
    await finish(2);
    expect(released).to.deep.equal(["1.0", "1.1"]);
  });

  // If results of intermediate stages counted as moved, a piece whose result
  // has megabytes would wait for the place of an input of a few bytes. The next
  // stage runs in the place that stores them, so they do not move.
  it("counts a result as moved only if the engine fetches it", async () => {
    const { stage, finish } = create([1, 2, 1, 1]);
    await settlePromises();
    expect(stage(1)?.movedBytes).to.equal(0);
    await finish(1);
    expect(stage(2)?.movedBytes).to.equal(2);
    await finish(2);
    expect(stage(3)?.movedBytes).to.equal(1 + 1);
  });

  // While the next stage is queued, results can expire at their endpoint before
  // the request's deadline. A call with expired inputs is wasted.
  it("limits the queueing time of a stage to the lifetime of its inputs", async () => {
    const { stage, finish } = create([0, 1, 1, 1], { deadlineAt: 60_000 });
    await settlePromises();
    await finish(1);
    expect(stage(2)?.remaining).to.equal(4_000);
  });

  it("skips stages without pieces", async () => {
    const { runs, outcome } = create([0, 0, 0, 0]);
    const results = await outcome;
    expect(results.isOk && results.value.inputs).to.deep.equal([]);
    expect(runs).to.deep.equal([]);
  });

  it("releases all results after a failure, with the verdict not_run", async () => {
    const { released, finish, stage, outcome } = create([1, 1, 1, 1]);
    await settlePromises();
    await finish(1);
    await finish(2);
    await finish(0);
    stage(3)?.end({
      outcomes: [{ kind: "failed", reason: "late" }],
      waits,
      freedInputs: false,
    });
    const results = await outcome;
    expect(results.isErr && results.error.verdict).to.equal("not_run");
    expect(released).to.have.members(["0.0", "1.0", "2.0"]);
  });

  it("fails if the reply lacks the outcome of a piece", async () => {
    const { stage, outcome } = create([0, 2, 1, 1]);
    await settlePromises();
    stage(1)?.end({
      outcomes: [{ kind: "done", result: "1.0" }],
      waits,
      freedInputs: false,
    });
    expect((await outcome).isErr).to.equal(true);
  });

  // The dispatcher releases inputs as soon as they are fetched. A second
  // release would double the release calls to their endpoints.
  it("does not release inputs that the dispatcher has released", async () => {
    const { finish, released, stage } = create([0, 1, 1, 1], {
      freedInputs: true,
    });
    await settlePromises();
    for (const number of [1, 2, 3]) await finish(number);
    expect(stage(2)?.ownsInputs).to.equal(true);
    expect(released).to.deep.equal([]);
  });
});
