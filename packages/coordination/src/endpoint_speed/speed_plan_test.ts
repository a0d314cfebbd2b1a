import { expect } from "chai";
import fc from "fast-check";
import type { BatchEndpoint } from "../piece_batcher.ts";
import { createPieceBatcher } from "../piece_batcher.ts";
import type { NamedPiece } from "../test_pieces.ts";
import { createEndpoint, createPiece, SPEC } from "../test_pieces.ts";

/** A full call takes 720 ms at a slow endpoint. */
const SLOW = 2.4;

/** Plans calls until none can start; returns the pieces at each endpoint. */
function planCalls(
  pieces: readonly NamedPiece[],
  endpoints: readonly BatchEndpoint[],
  isBacklogged = false,
): Record<string, string> {
  const batcher = createPieceBatcher<NamedPiece>(() => SPEC);
  pieces.forEach((piece) => batcher.add(piece));
  const planned: Record<string, string> = {};
  for (;;) {
    const usable = endpoints.map((endpoint) =>
      endpoint.info.id in planned ? { ...endpoint, calls: 1 } : endpoint
    );
    const call = batcher.planCall(usable, { now: 0, isBacklogged });
    if (call === undefined) return planned;
    planned[call.endpoint.info.id] = call.pieces.map(({ name }) => name)
      .join(" ");
  }
}

const SLOW_FREE = createEndpoint("slow", { timeRatio: SLOW });
const FAST_FREE = createEndpoint("fast", { timeRatio: 1 });
const FAST_BUSY = createEndpoint("fast", {
  timeRatio: 1,
  calls: 1,
  freeAt: 100,
});

describe("calls to endpoints of uneven speed", () => {
  // The slow endpoint has the most free storage, and is in the piece's place.
  it("sends a piece to the endpoint that meets its objective", () => {
    const piece = createPiece("a", { objectiveAt: 500, place: "slow" });
    const fast = { ...FAST_FREE, roomTaken: 500 };
    expect(planCalls([piece], [SLOW_FREE, fast])).to.deep.equal({ fast: "a" });
  });

  it("lets a piece wait for a faster endpoint that meets its objective", () => {
    const urgent = createPiece("urgent", { objectiveAt: 500, priority: 0 });
    const pieces = [urgent, createPiece("patient")];
    expect(planCalls(pieces, [SLOW_FREE, FAST_BUSY]))
      .to.deep.equal({ slow: "patient" });
  });

  // The fast endpoint answers nothing: its call is overdue. Pieces that waited
  // for it would miss their objective.
  it("does not wait for an endpoint whose call is overdue", () => {
    const piece = createPiece("a", { objectiveAt: 500 });
    const overdue = { ...FAST_BUSY, freeAt: -1_000 };
    expect(planCalls([piece], [SLOW_FREE, overdue]))
      .to.deep.equal({ slow: "a" });
  });

  // The next call of the fast endpoint holds four pieces; the others gain
  // nothing by waiting.
  it("lets no more pieces wait than the faster endpoint has positions", () => {
    const pieces = ["a", "b", "c", "d", "e", "f"].map((name) =>
      createPiece(name, { objectiveAt: 600 })
    );
    expect(planCalls(pieces, [SLOW_FREE, FAST_BUSY]))
      .to.deep.equal({ slow: "e f" });
  });

  // A waiting piece without a usable faster endpoint would miss its objective,
  // and the free endpoint would be idle.
  it("does not wait for an endpoint that failed the piece or is full", () => {
    const excluded = createPiece("a", {
      objectiveAt: 500,
      excluded: new Set(["fast"]),
    });
    expect(planCalls([excluded], [SLOW_FREE, FAST_BUSY]))
      .to.deep.equal({ slow: "a" });
    const full = { ...FAST_BUSY, roomTaken: 995 };
    expect(planCalls([createPiece("b", { objectiveAt: 500 })], [
      SLOW_FREE,
      full,
    ])).to.deep.equal({ slow: "b" });
  });

  it("leaves the fast endpoint to pieces with less time", () => {
    const pieces = [
      createPiece("patient", { priority: 0 }),
      createPiece("urgent", { objectiveAt: 400 }),
    ];
    expect(planCalls(pieces, [FAST_FREE, SLOW_FREE]))
      .to.deep.equal({ slow: "patient", fast: "urgent" });
  });

  it("uses the fastest endpoint if no piece needs it more", () => {
    const pieces = [createPiece("a"), createPiece("b", { objectiveAt: 4_000 })];
    expect(planCalls(pieces, [SLOW_FREE, FAST_FREE]))
      .to.deep.equal({ fast: "b a" });
  });

  it("keeps a large transfer in its place if that meets the objective", () => {
    const large = { place: "slow", movedBytes: 600_000 };
    expect(planCalls([createPiece("a", large)], [SLOW_FREE, FAST_FREE]))
      .to.deep.equal({ slow: "a" });
    const urgent = createPiece("b", { ...large, objectiveAt: 500 });
    expect(planCalls([urgent], [SLOW_FREE, FAST_FREE]))
      .to.deep.equal({ fast: "b" });
  });

  // By the specification, the next call of the endpoint in the piece's place
  // would meet the objective, but the endpoint is slow.
  it("does not wait for a slow endpoint in the piece's place", () => {
    const busy = { ...SLOW_FREE, calls: 1, freeAt: 100 };
    const piece = createPiece("a", {
      place: "slow",
      movedBytes: 600_000,
      objectiveAt: 600,
    });
    expect(planCalls([piece], [busy, FAST_FREE]))
      .to.deep.equal({ fast: "a" });
  });

  // A call of one piece at the slow endpoint meets the objective, a call of two
  // does not. The fast endpoint is too late for the first but not the second.
  it("cuts a call at a slow endpoint short, except under a backlog", () => {
    const pieces = [
      createPiece("a", { objectiveAt: 600 }),
      createPiece("b"),
    ];
    const busy = { ...FAST_BUSY, freeAt: 600 };
    expect(planCalls(pieces, [SLOW_FREE, busy])).to.deep.equal({ slow: "a" });
    expect(planCalls(pieces, [SLOW_FREE, busy], true))
      .to.deep.equal({ slow: "a b" });
  });

  // Late pieces come last, and otherwise nobody would use the slow endpoint.
  it("sends late pieces to a slow endpoint", () => {
    const pieces = [
      createPiece("late", { objectiveAt: 100 }),
      createPiece("urgent", { objectiveAt: 500 }),
    ];
    expect(planCalls(pieces, [SLOW_FREE, FAST_BUSY]))
      .to.deep.equal({ slow: "late" });
  });

  // Its result would be discarded, and other pieces would get the position.
  it("sends no piece to an endpoint where it misses its deadline", () => {
    const late = createPiece("late", { objectiveAt: 100, deadlineAt: 500 });
    expect(planCalls([late], [SLOW_FREE, FAST_BUSY])).to.deep.equal({});
    expect(planCalls([late], [SLOW_FREE, FAST_FREE]))
      .to.deep.equal({ fast: "late" });
  });

  // Under a backlog calls are filled with pieces that would wait otherwise. Those
  // that the slow endpoint finishes after their deadline were computed in vain.
  it("fills no call with pieces that miss their deadline there", () => {
    const pieces = [
      createPiece("late", { objectiveAt: 100, deadlineAt: 500 }),
      createPiece("patient", { objectiveAt: 110 }),
    ];
    expect(planCalls(pieces, [SLOW_FREE, FAST_BUSY], true))
      .to.deep.equal({ slow: "patient" });
  });

  it("decides as without speeds while ratios are within 10% of each other", () => {
    const piece = fc.record({
      priority: fc.nat(2),
      objectiveAt: fc.nat(2_000),
      resultBytes: fc.nat(300),
      place: fc.constantFrom("e0", "e1", "e2", undefined),
      movedBytes: fc.constantFrom(0, 600_000),
    });
    const endpoint = fc.record({
      calls: fc.nat(1),
      freeAt: fc.nat(1_000),
      roomTaken: fc.nat(900),
      slowdown: fc.double({ min: 0.5, max: 5, noNaN: true }),
      spread: fc.double({ min: 1, max: 1.1, noNaN: true }),
    });
    fc.assert(fc.property(
      fc.array(piece, { maxLength: 12 }),
      fc.array(endpoint, { minLength: 1, maxLength: 4 }),
      fc.double({ min: 0.4, max: 2.4, noNaN: true }),
      fc.boolean(),
      (changes, states, level, isBacklogged) => {
        const plan = (isMeasured: boolean) =>
          planCalls(
            changes.map((change, index) => createPiece(`p${index}`, change)),
            states.map(({ spread, ...state }, index) =>
              createEndpoint(`e${index}`, {
                ...state,
                ...(isMeasured ? { timeRatio: level * spread } : {}),
              })
            ),
            isBacklogged,
          );
        expect(plan(true)).to.deep.equal(plan(false));
      },
    ));
  });
});
