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

describe("piece router", () => {
  function create(mode: PeerMode, state: PeerState = "live") {
    const clock = createFakeClock(0);
    const membership = createMembership({
      clock,
      self: createTestPeer("self"),
      random: () => 0,
      suspectTimeout: 2_500,
      lostTimeout: 20_000,
    });
    membership.merge(
      ["a", "b", "c", "d"].map((name) => ({ ...createTestPeer(name), state })),
    );
    const contacted: string[] = [];
    const fail = (address: string) =>
      Result.err<never, ReturnType<typeof createFailure>>(
        createFailure("unavailable", {
          verdict: "may_have_run",
          message: address,
        }),
      );
    const runPieces: ServingPeerClient["runPieces"] = (address, _, signal) => {
      contacted.push(address);
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
          contacted.push(address);
          return Promise.resolve(
            mode === "good"
              ? Result.ok({ onTime: 0, late: 50, growth: 0 })
              : fail(address),
          );
        },
        releaseResults: () => Promise.resolve(Result.ok(null)),
      },
      findDispatcher: () => ({
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
    return { clock, run, contacted, router };
  }

  const readFirstOutcome = (reply: Result<PieceRunReply, unknown>) =>
    reply.isOk && reply.value.outcomes[0];

  it("uses one dispatcher for a pool", async () => {
    const { run, contacted } = create("good");
    for (let index = 0; index < 5; index++) await run();
    expect(new Set(contacted).size).to.be.at.most(1);
  });

  it("uses its own dispatcher when the others fail", async () => {
    const { run, contacted } = create("refuses");
    expect(readFirstOutcome(await run()))
      .to.deep.equal({ kind: "done", result: "self" });
    expect(new Set(contacted).size).to.equal(contacted.length);
    const before = contacted.length;
    await run();
    expect(contacted.slice(before)).not.to.include(contacted[0]);
  });

  // After all processes have stopped at once, or while the store is
  // unavailable, no entry is ready for callers. If unready entries were skipped
  // like leaving ones, every entry would dispatch for every pool itself, and
  // endpoints would get the calls of all.
  it("uses one dispatcher while no entry is ready", async () => {
    const live = create("good");
    const unready = create("good", "unready");
    await live.run();
    await unready.run();
    expect(unready.contacted).to.deep.equal(live.contacted);
    expect(unready.contacted.length).to.equal(1);
    const leaving = create("good", "leaving");
    await leaving.run();
    expect(leaving.contacted).to.deep.equal([]);
  });

  // Updates of the dispatcher reach one entry after three seconds and another
  // after one. If the first switched, two dispatchers would send to the same
  // endpoints.
  it("does not switch from a dispatcher that is only suspected", async () => {
    const { run, contacted, clock } = create("good");
    await run();
    await clock.advance(3_000);
    await run();
    expect(contacted.length).to.be.greaterThan(0);
    expect(contacted[1]).to.equal(contacted[0]);
  });

  it("caches the waits that a run reported, then queries them", async () => {
    const { run, router, clock, contacted } = create("good");
    const readLate = async (priority: number) =>
      (await router.readWaits({ pool: "pool", priority, place: "here" })).late;
    await run();
    expect(await readLate(1)).to.equal(900);
    expect(await readLate(2)).to.equal(50);
    await clock.advance(1_000);
    expect(await readLate(1)).to.equal(50);
    expect(new Set(contacted).size).to.equal(1);
  });

  describe("of a partitioned pool", () => {
    const PLACES = ["x", "y", "z"];

    /** Nine endpoints, six entries; `waits` by partition. */
    function createPartitioned(waits: Record<string, number>) {
      const clock = createFakeClock(0);
      const membership = createMembership({
        clock,
        self: { ...createTestPeer("self"), capacity: 0.1 },
        random: () => 0,
        suspectTimeout: 2_500,
        lostTimeout: 20_000,
      });
      membership.merge(PLACES.flatMap((place) => [
        { ...createTestPeer(`${place}-1`), place },
        { ...createTestPeer(`${place}-2`), place },
      ]));
      const dispatched: { address: string; partition: string }[] = [];
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
            dispatched.push({ address, partition });
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
        findDispatcher: () => {
          throw new Error("this entry dispatches nothing");
        },
      });
      const run = async (place: string) => {
        await router.run({ ...WORK, place }, new AbortController().signal);
        return dispatched.at(-1)!;
      };
      return { router, run, released };
    }

    // With one dispatcher for the whole pool, results would move between
    // places, and one entry would get the messages of all.
    it("dispatches the pieces of a place there", async () => {
      const { run } = createPartitioned({});
      for (const place of PLACES) {
        const { address, partition } = await run(place);
        expect(partition).to.equal(place);
        expect(address.startsWith(place)).to.equal(true);
      }
    });

    it("releases each result through the dispatcher of its partition", () => {
      const { router, released } = createPartitioned({});
      router.release("pool", ["x1", "y1", "x2"]);
      expect(released.length).to.equal(2);
      expect(released[0]).to.match(/^x-\d x1\+x2$/);
      expect(released[1]).to.match(/^y-\d y1$/);
    });

    // A place has lost two of its three endpoints. Without overflow its
    // requests would queue for seconds while endpoints in other places are
    // idle.
    it("sends pieces to another place that has much shorter waits", async () => {
      const { router, run } = createPartitioned({ x: 900, y: 50, z: 150 });
      const question = { pool: "pool", priority: 1, place: "x" };
      expect((await router.readWaits(question)).onTime).to.equal(50);
      expect((await run("x")).partition).to.equal("y");
      expect((await run("y")).partition).to.equal("y");
    });

    it("keeps pieces in their place if others have similar waits", async () => {
      const { router, run } = createPartitioned({ x: 300, y: 150, z: 200 });
      const question = { pool: "pool", priority: 1, place: "x" };
      expect((await router.readWaits(question)).onTime).to.equal(300);
      expect((await run("x")).partition).to.equal("x");
    });
  });

  // The dispatcher is short of CPU and replies a second late. If it were
  // skipped, its load would overload the next in order, and so on through all
  // entries.
  it("does not switch from a dispatcher that replies late", async () => {
    const { run, clock, contacted } = create("late");
    void run();
    await clock.advance(10_000);
    expect(contacted.length).to.equal(1);
  });

  // The dispatcher is frozen: its connections stay open without a reply.
  // Without the liveness probe, requests would wait for it until their
  // deadline.
  it("moves pieces from a dispatcher that has stopped replying", async () => {
    const { run, clock, contacted } = create("silent");
    const reply = run();
    await clock.advance(1_100);
    expect(contacted.length).to.equal(1);
    await clock.advance(500);
    expect(contacted.length).to.equal(2);
    await clock.advance(1_500);
    expect(readFirstOutcome(await reply))
      .to.deep.equal({ kind: "done", result: "self" });
  });
});
