import { createFailure, createMembership } from "@mangoreach/coordination";
import type {
  PieceRun,
  PieceRunReply,
  ServingPeerClient,
} from "@mangoreach/peers";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createPieceRouter } from "./piece_router.ts";
import { createTestPeer } from "./test_support.ts";

const RUN: PieceRun = {
  pool: "pool",
  requestId: "r",
  priority: 1,
  onTime: 2_000,
  remaining: 8_000,
  resultBytes: 1,
  movedBytes: 0,
  pieces: [{ stage: 0, piece: 0, source: { kind: "key", key: "k" } }],
};
const EMPTY = { heartbeats: [], introductions: [], leaving: [] };

type PeerMode = "good" | "refuses" | "silent";

describe("routing pieces to feeders", () => {
  function create(mode: PeerMode) {
    const clock = createFakeClock(0);
    const membership = createMembership({
      clock,
      self: createTestPeer("self"),
      random: () => 0,
      suspectAfter: 2_500,
      loseAfter: 20_000,
    });
    membership.merge(["a", "b", "c", "d"].map(createTestPeer));
    const asked: string[] = [];
    const fail = (address: string) =>
      Result.err<never, ReturnType<typeof createFailure>>(
        createFailure("unavailable", {
          verdict: "may_have_run",
          message: address,
        }),
      );
    const runPieces: ServingPeerClient["runPieces"] = (address, _, signal) => {
      asked.push(address);
      if (mode === "refuses") return Promise.resolve(fail(address));
      if (mode === "good") {
        const outcomes = [{ kind: "done" as const, result: address }];
        const waits = { onTime: 100, late: 900, growth: 0 };
        return Promise.resolve(Result.ok({ outcomes, waits }));
      }
      return new Promise((resolve) =>
        signal.addEventListener("abort", () => resolve(fail(address)))
      );
    };
    const router = createPieceRouter({
      clock,
      log: createSilentDecisionLog(),
      membership,
      peers: {
        runPieces,
        exchange: (address) =>
          Promise.resolve(mode === "silent" ? fail(address) : Result.ok(EMPTY)),
        readWaits: (address) => {
          asked.push(address);
          return Promise.resolve(
            mode === "good"
              ? Result.ok({ onTime: 0, late: 50, growth: 0 })
              : fail(address),
          );
        },
        readTopic: () => Promise.resolve(Result.ok({ kind: "unknown" })),
        releaseResults: () => Promise.resolve(Result.ok(null)),
        close: () => Promise.resolve(),
      },
      findFeeder: () => ({
        run: () => {
          const outcomes = [{ kind: "done" as const, result: "self" }];
          const waits = { onTime: 0, late: 0, growth: 0 };
          return Promise.resolve({ outcomes, waits });
        },
        readWaits: () => ({ onTime: 0, late: 0, growth: 0 }),
        release: () => {},
        refresh: () => {},
      }),
    });
    const run = () => router.run(RUN, new AbortController().signal);
    return { clock, run, asked, router };
  }

  const readMaker = (reply: Result<PieceRunReply, unknown>) =>
    reply.isOk && reply.value.outcomes[0];

  it("keeps to one feeder for a pool", async () => {
    const { run, asked } = create("good");
    for (let index = 0; index < 5; index++) await run();
    expect(new Set(asked).size).to.be.at.most(1);
  });

  it("feeds the pool itself when the feeders fail", async () => {
    const { run, asked } = create("refuses");
    expect(readMaker(await run()))
      .to.deep.equal({ kind: "done", result: "self" });
    expect(new Set(asked).size).to.equal(asked.length);
    const before = asked.length;
    await run();
    expect(asked.slice(before)).not.to.include(asked[0]);
  });

  // News of the feeder takes three seconds to one entry and one to another. If
  // the first left it, two feeders would send to the same endpoints.
  it("keeps to a feeder that is only suspected", async () => {
    const { run, asked, clock } = create("good");
    await run();
    await clock.advance(3_000);
    await run();
    expect(asked.length).to.be.greaterThan(0);
    expect(asked[1]).to.equal(asked[0]);
  });

  it("keeps what a run told of waits for a short time, then asks", async () => {
    const { run, router, clock, asked } = create("good");
    const readLate = async (priority: number) =>
      (await router.readWaits("pool", priority)).late;
    await run();
    expect(await readLate(1)).to.equal(900);
    expect(await readLate(2)).to.equal(50);
    await clock.advance(1_000);
    expect(await readLate(1)).to.equal(50);
    expect(new Set(asked).size).to.equal(1);
  });

  // The feeder is frozen: its connections stay open and nothing comes. Requests
  // would wait for their deadline; the watch sees two unanswered exchanges.
  it("takes pieces away from a feeder that has fallen silent", async () => {
    const { run, clock, asked } = create("silent");
    const reply = run();
    await clock.advance(600);
    expect(asked.length).to.equal(2);
    await clock.advance(600);
    expect(readMaker(await reply))
      .to.deep.equal({ kind: "done", result: "self" });
  });
});
