import { expect } from "chai";
import fc from "fast-check";
import { createFakeClock } from "@mangoreach/shared";
import type { BatchEndpoint } from "./piece_batcher.ts";
import { createPieceBatcher } from "./piece_batcher.ts";
import { createPieceRates } from "./piece_rates.ts";
import { createAccountShares } from "./fairness/account_shares.ts";
import type { NamedPiece } from "./test_pieces.ts";
import { createEndpoint, createPiece, SPEC } from "./test_pieces.ts";

const AT_START = { now: 0, isBacklogged: false };

describe("piece batcher", () => {
  /** One endpoint without new arrivals: a call of four pieces takes 300 ms. */
  const forecast = createPieceRates(createFakeClock(0)).forecast(SPEC, 1);

  function create(pieces: NamedPiece[]) {
    const batcher = createPieceBatcher<NamedPiece>(() => SPEC);
    pieces.forEach((piece) => batcher.add(piece));
    const plan = (...endpoints: BatchEndpoint[]) => {
      const call = batcher.planCall(endpoints, AT_START);
      return call && {
        endpoint: call.endpoint.info.id,
        pieces: call.pieces.map(({ name }) => name).join(" "),
      };
    };
    return { batcher, plan };
  }

  it("sends a single piece at once while an endpoint is free", () => {
    const { plan } = create([createPiece("a")]);
    expect(plan(createEndpoint("e1")))
      .to.deep.equal({ endpoint: "e1", pieces: "a" });
  });

  it("queues while all endpoints are busy, then fills the call", () => {
    const { plan, batcher } = create(
      ["a", "b", "c", "d", "e"].map((name) => createPiece(name)),
    );
    expect(plan(createEndpoint("e1", { calls: 1 }))).to.equal(undefined);
    expect(plan(createEndpoint("e1"))?.pieces).to.equal("a b c d");
    expect(batcher.size).to.equal(1);
  });

  it("orders by priority, then by the earliest objective", () => {
    const { plan } = create([
      createPiece("late", { objectiveAt: 4_000 }),
      createPiece("low", { priority: 2, objectiveAt: 1_000 }),
      createPiece("soon", { objectiveAt: 2_000 }),
      createPiece("high", { priority: 0 }),
    ]);
    expect(plan(createEndpoint("e1"))?.pieces)
      .to.equal("high soon late low");
  });

  // In a burst, the pieces that waited longest have missed their objective
  // already. Served first, they would make all pieces behind them late as well.
  it("orders pieces that missed their objective last", () => {
    const { plan } = create([
      createPiece("missed", { objectiveAt: 100 }),
      createPiece("low", { priority: 2 }),
      createPiece("high"),
    ]);
    expect(plan(createEndpoint("e1"))?.pieces).to.equal("high low missed");
  });

  // There is storage for four results, and three are stored. A request of two
  // pieces that began here would occupy storage while its second piece waits.
  it("begins a request only where there is storage for all its results", () => {
    const group = { started: 0 };
    const half = ["a1", "a2"].map((name) =>
      createPiece(name, { group, resultBytes: 250 })
    );
    const { plan } = create([...half, createPiece("b", { resultBytes: 250 })]);
    const full = createEndpoint("e1", { roomTaken: 750 });
    expect(plan(full)?.pieces).to.equal("b");
    expect(plan(full)).to.equal(undefined);
    expect(plan(createEndpoint("e1", { roomTaken: 500 }))?.pieces)
      .to.equal("a1 a2");
  });

  it("finishes requests that have begun before it begins others", () => {
    const { plan } = create([
      createPiece("new", { objectiveAt: 1_000 }),
      createPiece("begun", {
        group: { started: 2 },
        objectiveAt: 2_000,
      }),
    ]);
    expect(plan(createEndpoint("e1"))?.pieces).to.equal("begun new");
  });

  // Large results fill the storage of every endpoint. Small results still fit
  // and must not wait behind the large ones.
  it("lets small results overtake large ones that do not fit", () => {
    const { plan } = create([
      createPiece("large", { priority: 0, resultBytes: 600 }),
      createPiece("small"),
    ]);
    expect(plan(createEndpoint("e1", { roomTaken: 500 }))?.pieces)
      .to.equal("small");
  });

  it("prefers the place where the result will be used", () => {
    const { plan } = create([createPiece("a", { place: "e2" })]);
    expect(plan(createEndpoint("e1"), createEndpoint("e2"))?.endpoint)
      .to.equal("e2");
  });

  // One endpoint has become slow. Pieces sent there miss their objective
  // although the others have capacity.
  it("skips an endpoint that is far slower than another free one", () => {
    const { plan } = create([createPiece("a", { place: "e1" })]);
    const slow = createEndpoint("e1", { slowdown: 4 });
    expect(plan(slow, createEndpoint("e2"))?.endpoint).to.equal("e2");
    expect(create([createPiece("a")]).plan(slow)?.endpoint).to.equal("e1");
  });

  it("drops pieces that no call could complete in time", () => {
    const { batcher } = create([
      createPiece("infeasible", { deadlineAt: 1_200 }),
      createPiece("feasible", { deadlineAt: 1_225 }),
    ]);
    expect(batcher.dropInfeasible(1_000, forecast).map(({ name }) => name))
      .to.deep.equal(["infeasible"]);
    expect(batcher.size).to.equal(1);
  });

  // The queue is longer than its last pieces can wait. Dropped at once, their
  // requests can still be served elsewhere or later; at the deadline they
  // cannot.
  it("drops pieces at once that are too far back in the queue", () => {
    const names = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    const { batcher } = create(
      names.map((name) => createPiece(name, { deadlineAt: 700 })),
    );
    expect(batcher.dropInfeasible(0, forecast).map(({ name }) => name))
      .to.deep.equal(["h", "i"]);
    expect(batcher.dropInfeasible(0, forecast)).to.deep.equal([]);
  });

  // Results of megabytes would be transferred between places although the next
  // call of an endpoint in the same place starts in a quarter of a second.
  it("waits for an endpoint in the same place with large results, if there is time", () => {
    const large = { place: "e1", resultBytes: 600_000, movedBytes: 600_000 };
    const spec = { ...SPEC, storageBytes: 10_000_000 };
    const endpoints = [
      createEndpoint("e1", { calls: 1, freeAt: 250 }),
      createEndpoint("e2"),
    ];
    const plan = (objectiveAt: number) => {
      const batcher = createPieceBatcher<NamedPiece>(() => spec);
      batcher.add(createPiece("a", { ...large, objectiveAt }));
      return batcher.planCall(endpoints, AT_START)?.endpoint.info.id;
    };
    expect(plan(600)).to.equal(undefined);
    expect(plan(500)).to.equal("e2");
  });

  // A call in one place was filled up with pieces whose inputs are in another,
  // although the endpoint there becomes free in time. Megabytes of results were
  // transferred between places for no gain.
  it("fills a call with pieces of its place, and others that cannot wait", () => {
    const moved = { movedBytes: 600_000 };
    const { plan } = create([
      createPiece("near", { ...moved, place: "e1" }),
      createPiece("far", { ...moved, place: "e2" }),
      createPiece("far urgent", { ...moved, place: "e2", objectiveAt: 500 }),
      createPiece("far small", { place: "e2" }),
    ]);
    const busy = createEndpoint("e2", { calls: 1, freeAt: 250 });
    expect(plan(createEndpoint("e1"), busy)?.pieces)
      .to.equal("far urgent near far small");
    expect(plan(createEndpoint("e1"), busy)).to.equal(undefined);
  });

  // A burst comes from one place: its endpoint has a queue of several calls
  // while the others are idle, and pieces that wait for it are late.
  it("uses endpoints of other places when the queue of a place is long", () => {
    const pieces = Array.from(
      { length: 12 },
      (_, index) =>
        createPiece(`p${index}`, {
          place: "e1",
          movedBytes: 600_000,
          objectiveAt: 1_000,
        }),
    );
    const { plan } = create(pieces);
    const near = createEndpoint("e1", { calls: 1, freeAt: 250 });
    expect(plan(near, createEndpoint("e2"))?.pieces).to.equal("p8 p9 p10 p11");
    expect(plan(near, createEndpoint("e2"))).to.equal(undefined);
  });

  // All endpoints are busy for seconds and a third of each call stays empty,
  // since the waiting pieces belong to other places: requests are late.
  it("fills calls with pieces of all places under a backlog", () => {
    const batcher = createPieceBatcher<NamedPiece>(() => SPEC);
    const moved = { movedBytes: 600_000 };
    batcher.add(
      createPiece("far", { ...moved, place: "e2", objectiveAt: 2_000 }),
    );
    batcher.add(createPiece("near", { ...moved, place: "e1" }));
    const endpoints = [
      createEndpoint("e1"),
      createEndpoint("e2", { calls: 1 }),
    ];
    const call = batcher.planCall(endpoints, { now: 0, isBacklogged: true });
    expect(call?.pieces.map(({ name }) => name))
      .to.deep.equal(["near", "far"]);
  });

  function createShared(pieces: readonly NamedPiece[]) {
    const shares = createAccountShares(createFakeClock(0));
    const batcher = createPieceBatcher<NamedPiece>(() => SPEC, shares);
    pieces.forEach((piece) => batcher.add(piece));
    const plan = () =>
      batcher.planCall([createEndpoint("e1")], AT_START)?.pieces
        .map(({ name }) => name).join(" ");
    return { shares, batcher, plan };
  }

  // One account fills the queue; another sends a request a moment later, whose
  // objective is later than all of the queue. It missed it for the burst.
  it("serves the account with the least recent use first", () => {
    const pieces = ["a1", "a2", "a3", "a4", "b"].map((name, index) =>
      createPiece(name, { account: name[0], objectiveAt: 2_000 + index })
    );
    const { shares, plan } = createShared(pieces);
    shares.record("a", 1_000);
    shares.record("b", 400);
    expect(plan()).to.equal("b a1 a2 a3");
    expect(shares.readUse("a")).to.equal(1_000 + 3 * 75);
    expect(plan()).to.equal("a4");
  });

  // Equal accounts that were served one after the other would be late in turn.
  it("alternates call by call between accounts with equal use", () => {
    const names = ["a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3"];
    const { plan } = createShared(names.map((name, index) =>
      createPiece(name, {
        account: name[0],
        objectiveAt: 2_000 + index,
      })
    ));
    expect(plan()).to.equal("a1 a2 a3 a4");
    expect(plan()).to.equal("b1 b2 b3 a5");
  });

  // With little use of the pool, the order by use would let the one with more
  // use miss an objective that the order by objectives meets.
  it("orders by objective while all accounts can meet theirs", () => {
    const pieces = [
      createPiece("a", { account: "a", objectiveAt: 500 }),
      ...["b1", "b2", "b3", "b4"].map((name) =>
        createPiece(name, { account: "b" })
      ),
    ];
    const { shares, batcher, plan } = createShared(pieces);
    shares.record("a", 9_000);
    batcher.dropInfeasible(0, forecast);
    expect(plan()).to.equal("a b1 b2 b3");
  });

  it("ranks objective, priority and started requests before accounts", () => {
    const { shares, plan } = createShared([
      createPiece("late b", { account: "b", objectiveAt: 100 }),
      createPiece("low b", { account: "b", priority: 2 }),
      createPiece("begun a", { account: "a", group: { started: 1 } }),
      createPiece("new b", { account: "b" }),
    ]);
    shares.record("a", 9_000);
    expect(plan()).to.equal("begun a new b low b late b");
  });

  // Deployments without accounts, and pools with the work of one, are served as
  // before: same calls, drops and waits.
  it("decides the same without accounts and with a single one", () => {
    const piece = fc.record({
      priority: fc.nat(2),
      objectiveAt: fc.nat(2_000),
      deadlineAt: fc.nat(3_000),
      resultBytes: fc.nat(400),
    });
    const account = fc.constantFrom(undefined, "a");
    const lists = fc.array(piece, { maxLength: 30 });
    fc.assert(fc.property(lists, account, fc.nat(5_000), (list, name, use) => {
      const readDecisions = (isShared: boolean) => {
        const shares = createAccountShares(createFakeClock(0));
        shares.record("a", use);
        shares.record("b", 1_000);
        const batcher = createPieceBatcher<NamedPiece>(
          () => SPEC,
          isShared ? shares : undefined,
        );
        list.forEach((change, index) =>
          batcher.add(createPiece(String(index), { ...change, account: name }))
        );
        const waits = [0, 1, 2].map((priority) =>
          batcher.estimateWaits(priority, { now: 0, forecast, account: name })
        );
        const sent: string[] = [];
        const dropped = batcher.dropInfeasible(0, forecast);
        while (batcher.size > 0) {
          const call = batcher.planCall([createEndpoint("e1")], AT_START);
          call?.pieces.forEach((each) => sent.push(each.name));
          sent.push("|");
        }
        return { waits, sent, dropped: dropped.map((each) => each.name) };
      };
      expect(readDecisions(true)).to.deep.equal(readDecisions(false));
    }));
  });

  // The queue of one account is longer than all can wait. The requests of the
  // other, which came last, were dropped because of it.
  it("drops work of accounts above their share first", () => {
    const names = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "b1"];
    const { shares, batcher } = createShared(
      names.map((name) =>
        createPiece(name, { account: name[0], deadlineAt: 700 })
      ),
    );
    shares.record("a", 2_000);
    shares.record("b", 100);
    expect(batcher.dropInfeasible(0, forecast).map(({ name }) => name))
      .to.deep.equal(["a7", "a8"]);
  });

  // Late work of a small account waits behind all work that is in time. It was
  // dropped because of the queue of a large one.
  it("keeps late work of an account within its share", () => {
    const large = ["a1", "a2", "a3", "a4", "a5", "a6", "a7"].map((name) =>
      createPiece(name, { account: "a" })
    );
    const { shares, batcher } = createShared([
      ...large,
      createPiece("b", { account: "b", objectiveAt: 100, deadlineAt: 500 }),
    ]);
    shares.record("b", 4_000);
    expect(batcher.dropInfeasible(0, forecast).map(({ name }) => name))
      .to.deep.equal(["b"]);
    batcher.add(
      createPiece("b", { account: "b", objectiveAt: 100, deadlineAt: 500 }),
    );
    shares.record("a", 9_000);
    expect(batcher.dropInfeasible(0, forecast)).to.deep.equal([]);
  });

  // An entry refused requests of all accounts for the queue of one of them.
  it("estimates waits for the account that asks", () => {
    const { shares, batcher } = createShared(
      Array.from(
        { length: 12 },
        (_, index) => createPiece(`a${index}`, { account: "a" }),
      ),
    );
    shares.record("a", 2_000);
    shares.record("b", 300);
    const read = (account?: string) =>
      batcher.estimateWaits(1, { now: 0, forecast, account });
    expect(read().onTime).to.equal(900);
    expect(read("a")).to.deep.equal(read());
    // One piece of the other account is within its share.
    expect(read("b")).to.include({ onTime: 0, late: 250 });
    expect(read("unknown")).to.include({ onTime: 0, late: 250 });
  });

  it("never exceeds the storage of an endpoint, and sends each piece once", () => {
    const pieces = fc.array(
      fc.record({
        priority: fc.nat(2),
        deadlineAt: fc.nat(5_000),
        resultBytes: fc.nat(700),
        account: fc.constantFrom(undefined, "a", "b"),
      }),
      { maxLength: 30 },
    );
    fc.assert(fc.property(pieces, (list) => {
      const { batcher } = createShared(
        list.map((change, index) => createPiece(String(index), change)),
      );
      const sent: string[] = [];
      for (;;) {
        const call = batcher.planCall([createEndpoint("e1")], AT_START);
        if (call === undefined) break;
        const bytes = call.pieces
          .reduce((sum, { resultBytes }) => sum + resultBytes, 0);
        expect(bytes).to.be.at.most(SPEC.storageBytes);
        expect(call.pieces.length).to.be.within(1, SPEC.maxPieces);
        sent.push(...call.pieces.map(({ name }) => name));
      }
      expect(new Set(sent).size).to.equal(sent.length);
      expect(sent.length).to.equal(list.length);
    }));
  });
});
