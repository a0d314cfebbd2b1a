import { expect } from "chai";
import { createFakeClock } from "@mangoreach/shared";
import { MersenneTwister19937, Random } from "random-js";
import type { BatchEndpoint, WaitingPiece } from "../piece_batcher.ts";
import { createPieceBatcher } from "../piece_batcher.ts";
import { createPieceRates } from "../piece_rates.ts";
import type { BatchSpec } from "../serving_config.ts";
import { createAccountShares } from "./account_shares.ts";

type Policy = "fair_shares" | "first_come";
type Piece = WaitingPiece & { readonly client: number };

/** The first stage pool of the deployment with competing accounts. */
const SPEC: BatchSpec = {
  slots: 1,
  maxPieces: 22,
  callTime: 200,
  pieceTime: 7.8,
  storageBytes: 56_000_000,
  resultLifetime: 4_000,
};
const ENDPOINTS = 12;
const PIECES = 6;
const OBJECTIVE = 900;
const DEADLINE = 4_400;
/** Interval at which a dispatcher checks its queue without an event. */
const RECHECK_INTERVAL = 50;
const LENGTH = 13_500;
const BURST = { client: 6, from: 4_000, until: 9_000, factor: 5 };
/** Requests of each client account relative to the others; a few are large. */
const WEIGHTS = [6, 4, 3, 2, 2, 2, 2, 2, 2, 2, 1, 1, 1, 1, 1, 0.5];
/** Pieces a second of all endpoints with full calls. */
const CAPACITY = ENDPOINTS * 22 / (200 + 22 * 7.8) * 1_000;

/**
 * Replays 16 client accounts at one pool; in a burst, one of them sends five
 * times as much, and the pool gets `load` times its capacity. Returns the share of pieces within their objective during the burst
 * and the 3 s after it, by account and in total.
 */
function replay(
  policy: Policy,
  { load, seed, restartAt }: {
    load: number;
    seed: number;
    /** When another dispatcher, without a record, takes over the queue. */
    restartAt?: number;
  },
) {
  const random = new Random(MersenneTwister19937.seed(seed));
  let now = 0;
  const clock = { ...createFakeClock(0), now: () => now };
  const shares = createAccountShares(clock);
  const batcher = createPieceBatcher<Piece>(
    () => SPEC,
    policy === "fair_shares" ? shares : undefined,
  );
  const rates = createPieceRates(clock);
  const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => ({
    info: {
      id: `e${index}`,
      incarnation: "1",
      pool: "p",
      place: "here",
      address: `e${index}`,
      state: "live",
    } as const,
    calls: 0,
    roomTaken: 0,
    slowdown: 1,
    freeAt: 0,
  }));
  const ends = new Map<number, (() => void)[]>();
  const sent = WEIGHTS.map(() => 0);
  const inTime = WEIGHTS.map(() => 0);
  const isCounted = (time: number) =>
    time >= BURST.from && time < BURST.until + 3_000;
  const weight = WEIGHTS.reduce((sum, each) => sum + each, 0) +
    (BURST.factor - 1) * WEIGHTS[BURST.client]!;

  function sendRequest(client: number): void {
    const group = { started: 0 };
    rates.recordArrival(1, PIECES);
    if (isCounted(now)) sent[client]! += PIECES;
    for (let piece = 0; piece < PIECES; piece++) {
      batcher.add({
        client,
        account: `account-${client}`,
        group,
        priority: 1,
        objectiveAt: now + OBJECTIVE,
        deadlineAt: now + DEADLINE,
        place: "here",
        resultBytes: 1_000,
        movedBytes: 0,
        excluded: new Set(),
      });
    }
  }

  function finishCall(
    endpoint: BatchEndpoint & { calls: number },
    pieces: Piece[],
  ): void {
    endpoint.calls--;
    for (const { client, objectiveAt } of pieces) {
      if (!isCounted(objectiveAt - OBJECTIVE)) continue;
      if (now <= objectiveAt) inTime[client]!++;
    }
  }

  for (now = 0; now < LENGTH; now++) {
    let isChanged = ends.has(now) || now % RECHECK_INTERVAL === 0;
    ends.get(now)?.forEach((end) => end());
    if (now === restartAt) Object.assign(shares, createAccountShares(clock));
    for (const [client, size] of WEIGHTS.entries()) {
      const isBurst = client === BURST.client && now >= BURST.from &&
        now < BURST.until;
      const rate = load * CAPACITY / PIECES * size / weight *
        (isBurst ? BURST.factor : 1);
      if (random.realZeroToOneExclusive() >= rate / 1_000) continue;
      sendRequest(client);
      isChanged = true;
    }
    if (!isChanged) continue;
    batcher.dropInfeasible(now, rates.forecast(SPEC, ENDPOINTS));
    for (;;) {
      const isBacklogged = rates.isBacklogged();
      const call = batcher.planCall(endpoints, { now, isBacklogged });
      if (call === undefined) break;
      const { endpoint, pieces } = call;
      rates.recordCall(pieces.length);
      endpoint.calls++;
      const end = now + Math.round(200 + pieces.length * 7.8);
      ends.set(end, [
        ...ends.get(end) ?? [],
        () => finishCall(endpoint, pieces),
      ]);
    }
    rates.recordQueue({
      waiting: batcher.size,
      isBusy: endpoints.every(({ calls }) => calls > 0),
      spec: SPEC,
      endpointCount: ENDPOINTS,
    });
  }
  const sum = (list: number[]) => list.reduce((a, b) => a + b, 0);
  return {
    total: sum(inTime) / sum(sent),
    byAccount: inTime.map((count, client) => count / sent[client]!),
  };
}

describe("replay of client accounts at a stage pool", () => {
  // At its capacity, a pool can serve nearly all pieces in time; in the order of
  // use alone, those of the account in its burst would be late for nothing.
  for (const seed of [1, 2, 3]) {
    it(`does not cost the whole at the capacity of a pool, seed ${seed}`, () => {
      const firstCome = replay("first_come", { load: 1, seed });
      const fair = replay("fair_shares", { load: 1, seed });
      expect(fair.total).to.be.greaterThan(firstCome.total - 0.01);
    });
  }

  // First come, first served, the burst of one account makes all others late
  // until the queue is empty.
  for (const seed of [1, 2, 3]) {
    it(`keeps small accounts in time in a burst of another, seed ${seed}`, () => {
      const firstCome = replay("first_come", { load: 1.3, seed });
      const fair = replay("fair_shares", { load: 1.3, seed });
      const smallest = WEIGHTS.length - 1;
      expect(firstCome.byAccount[smallest]).to.be.lessThan(0.5);
      expect(Math.min(...fair.byAccount.slice(7))).to.be.greaterThan(0.9);
      expect(Math.min(...fair.byAccount.slice(10))).to.be.greaterThan(0.99);
      expect(fair.total).to.be.greaterThan(firstCome.total + 0.3);
      for (const [client, share] of fair.byAccount.entries()) {
        expect(share).to.be.greaterThan(firstCome.byAccount[client]!);
      }
    });
  }

  // The dispatcher is killed in the middle of the burst, and its record is
  // lost: for its successor all accounts are alike at first.
  it("keeps small accounts in time after a restart of the dispatcher", () => {
    const load = { load: 1.3, seed: 1, restartAt: BURST.from + 2_000 };
    const fair = replay("fair_shares", load);
    expect(Math.min(...fair.byAccount.slice(10))).to.be.greaterThan(0.95);
  });
});
