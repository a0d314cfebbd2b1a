import type { PeerState } from "@mangoreach/coordination";
import { createFailure, createMembership } from "@mangoreach/coordination";
import type { PieceRunReply, ServingPeerClient } from "@mangoreach/peers";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { PieceWork } from "./piece_router.ts";
import { createPieceRouter } from "./piece_router.ts";
import { createTestEndpoint, createTestPeer } from "./test_support.ts";

const WORK: PieceWork = {
  pool: "pool",
  requestId: "r",
  priority: 1,
  onTime: 2_000,
  remaining: 8_000,
  resultBytes: 1,
  movedBytes: 0,
  ownsInputs: true,
  pieces: [{ stage: 0, piece: 0, source: { kind: "key", key: "k" } }],
};

type PeerMode = "good" | "refuses" | "silent" | "late";

describe("routing pieces to feeders", () => {
  function create(mode: PeerMode, state: PeerState = "live") {
    const clock = createFakeClock(0);
    const membership = createMembership({
      clock,
      self: createTestPeer("self"),
      random: () => 0,
      suspectAfter: 2_500,
      loseAfter: 20_000,
    });
    membership.merge(
      ["a", "b", "c", "d"].map((name) => ({ ...createTestPeer(name), state })),
    );
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
        const reply = { outcomes, waits, freedInputs: false };
        return Promise.resolve(Result.ok(reply));
      }
      return new Promise((resolve) =>
        signal.addEventListener("abort", () => resolve(fail(address)))
      );
    };
    const router = createPieceRouter({
      clock,
      random: () => 0.5,
      log: createSilentDecisionLog(),
      membership,
      listUsable: () => [],
      readPlace: () => undefined,
      peers: {
        runPieces,
        ping: async (address) => {
          if (mode === "late") await clock.sleep(900);
          return mode === "silent" ? fail(address) : Result.ok(null);
        },
        readWaits: (address) => {
          asked.push(address);
          return Promise.resolve(
            mode === "good"
              ? Result.ok({ onTime: 0, late: 50, growth: 0 })
              : fail(address),
          );
        },
        releaseResults: () => Promise.resolve(Result.ok(null)),
      },
      findFeeder: () => ({
        run: () => {
          const outcomes = [{ kind: "done" as const, result: "self" }];
          const waits = { onTime: 0, late: 0, growth: 0 };
          return Promise.resolve({ outcomes, waits, freedInputs: false });
        },
        readWaits: () => ({ onTime: 0, late: 0, growth: 0 }),
        release: () => {},
        refresh: () => {},
      }),
    });
    const run = () => router.run(WORK, new AbortController().signal);
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

  // All processes ended at once, or the store is away: nobody is ready for
  // callers. Taken for leaving, each entry would feed every pool itself, and the
  // endpoints would get the calls of all.
  it("keeps to one feeder while no entry is ready", async () => {
    const live = create("good");
    const unready = create("good", "unready");
    await live.run();
    await unready.run();
    expect(unready.asked).to.deep.equal(live.asked);
    expect(unready.asked.length).to.equal(1);
    const leaving = create("good", "leaving");
    await leaving.run();
    expect(leaving.asked).to.deep.equal([]);
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
      (await router.readWaits({ pool: "pool", priority, place: "here" })).late;
    await run();
    expect(await readLate(1)).to.equal(900);
    expect(await readLate(2)).to.equal(50);
    await clock.advance(1_000);
    expect(await readLate(1)).to.equal(50);
    expect(new Set(asked).size).to.equal(1);
  });

  describe("of a divided pool", () => {
    const PLACES = ["x", "y", "z"];

    /** Nine endpoints, six entries; `waits` by partition. */
    function createDivided(waits: Record<string, number>) {
      const clock = createFakeClock(0);
      const membership = createMembership({
        clock,
        self: { ...createTestPeer("self"), capacity: 0.1 },
        random: () => 0,
        suspectAfter: 2_500,
        loseAfter: 20_000,
      });
      membership.merge(PLACES.flatMap((place) => [
        { ...createTestPeer(`${place}-1`), place },
        { ...createTestPeer(`${place}-2`), place },
      ]));
      const fed: { address: string; partition: string }[] = [];
      const released: string[] = [];
      const router = createPieceRouter({
        clock,
        random: () => 0.5,
        log: createSilentDecisionLog(),
        membership,
        listUsable: () =>
          PLACES.flatMap((place) =>
            ["1", "2", "3"].map((number) =>
              createTestEndpoint(`${place}${number}`, { place })
            )
          ),
        readPlace: (result) => result.slice(0, 1),
        peers: {
          ping: () => Promise.resolve(Result.ok(null)),
          runPieces: (address, { partition }) => {
            fed.push({ address, partition });
            return Promise.resolve(Result.ok({
              outcomes: [{ kind: "done" as const, result: "r" }],
              waits: { onTime: waits[partition] ?? 0, late: 0, growth: 0 },
              freedInputs: false,
            }));
          },
          readWaits: (_address, { partition }) =>
            Promise.resolve(
              Result.ok({
                onTime: waits[partition] ?? 0,
                late: 0,
                growth: 0,
              }),
            ),
          releaseResults: (address, { results }) => {
            released.push(`${address} ${results.join("+")}`);
            return Promise.resolve(Result.ok(null));
          },
        },
        findFeeder: () => {
          throw new Error("this entry feeds nothing");
        },
      });
      const run = async (place: string) => {
        await router.run({ ...WORK, place }, new AbortController().signal);
        return fed.at(-1)!;
      };
      return { router, run, released };
    }

    // With one feeder for the whole pool, results cross between places and one
    // entry gets the messages of all.
    it("has the pieces of a place fed there", async () => {
      const { run } = createDivided({});
      for (const place of PLACES) {
        const { address, partition } = await run(place);
        expect(partition).to.equal(place);
        expect(address.startsWith(place)).to.equal(true);
      }
    });

    it("frees each result at who feeds its maker", () => {
      const { router, released } = createDivided({});
      router.release("pool", ["x1", "y1", "x2"]);
      expect(released.length).to.equal(2);
      expect(released[0]).to.match(/^x-\d x1\+x2$/);
      expect(released[1]).to.match(/^y-\d y1$/);
    });

    // A place has lost two of its three endpoints. Without the others its
    // requests would wait for seconds beside idle endpoints.
    it("sends pieces elsewhere while their place is far behind", async () => {
      const { router, run } = createDivided({ x: 900, y: 50, z: 150 });
      const question = { pool: "pool", priority: 1, place: "x" };
      expect((await router.readWaits(question)).onTime).to.equal(50);
      expect((await run("x")).partition).to.equal("y");
      expect((await run("y")).partition).to.equal("y");
    });

    it("keeps pieces in their place while others are not far better", async () => {
      const { router, run } = createDivided({ x: 300, y: 150, z: 200 });
      const question = { pool: "pool", priority: 1, place: "x" };
      expect((await router.readWaits(question)).onTime).to.equal(300);
      expect((await run("x")).partition).to.equal("x");
    });
  });

  // The feeder is short of processor and answers a second late. Left for that,
  // its load would make the next in order late, and so on through all.
  it("keeps to a feeder that answers late", async () => {
    const { run, clock, asked } = create("late");
    void run();
    await clock.advance(10_000);
    expect(asked.length).to.equal(1);
  });

  // The feeder is frozen: its connections stay open and nothing comes. Requests
  // would wait for their deadline; the watch hears nothing for over a second.
  it("takes pieces away from a feeder that has fallen silent", async () => {
    const { run, clock, asked } = create("silent");
    const reply = run();
    await clock.advance(1_100);
    expect(asked.length).to.equal(1);
    await clock.advance(500);
    expect(asked.length).to.equal(2);
    await clock.advance(1_500);
    expect(readMaker(await reply))
      .to.deep.equal({ kind: "done", result: "self" });
  });
});
