/**
 * Feeds the endpoints of one stage pool: gathers pieces of many requests, also
 * of other entries, into calls, and keeps count of the room at each endpoint.
 *
 * A piece may be made again, so a feeder needs no agreement: if two entries feed
 * a pool for a moment, calls are less full and nothing breaks.
 *
 * @module
 */
import type {
  BatchSpec,
  EndpointInfo,
  PieceBatcher,
  PieceWaits,
  RetryBudget,
  SendAllowance,
} from "@mangoreach/coordination";
import { createPieceBatcher, createPieceFlow } from "@mangoreach/coordination";
import type {
  EndpointEnd,
  PieceOrder,
  PieceOutcome,
  PieceRun,
  PieceRunReply,
} from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { NoteSignals } from "./endpoint_signals.ts";
import type {
  FailReason,
  FeederGroup,
  FeederPiece,
} from "./dispatched_piece.ts";
import {
  createFeederGroup,
  createFeederPiece,
  listGroups,
} from "./dispatched_piece.ts";
import { createInputRelease } from "./input_release.ts";
import type { CalledMaker } from "./stage_endpoint_calls.ts";
import { createMakerCalls } from "./stage_endpoint_calls.ts";
import { createMakerRoom } from "./result_storage.ts";
import type {
  StageEndpoints,
  StageReply,
  StageResult,
} from "./serving_handles.ts";
import type { DecisionLog } from "./decision_log.ts";

/** Options of {@linkcode createStageFeeder}. */
export interface StageFeederOptions {
  clock: Clock;
  log: DecisionLog;
  pool: string;
  stages: StageEndpoints;
  loads: EndpointLoads;
  /** Endpoints that take new work now. */
  listEndpoints: () => readonly EndpointInfo[];
  /** Told of an endpoint whose address has become another's. */
  markLeaving: (endpointKey: string) => void;
  /** Takes what an endpoint's answer says of the work that it takes. */
  noteSignals: NoteSignals;
  allowance: SendAllowance;
  /** All endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  readSpec: () => BatchSpec;
  endpointCheck: EndpointCheck;
  /** Pieces that are made a second time draw on it. */
  budget: RetryBudget;
  /** Frees results of another pool, at whoever feeds that. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
}

/** Feeds one pool. */
export interface StageFeeder {
  /** Runs the pieces of one stage of one request. */
  run(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  /** What a new piece of this priority would wait. */
  readWaits(priority: number): PieceWaits;
  /** Frees results that nobody needs any more. */
  release(results: readonly string[]): void;
  /** Looks again for calls to make, after endpoints have changed. */
  refresh(): void;
}

/** A piece that failed this often fails for good. */
const MAX_ATTEMPTS = 3;
/** A call is given up after this many times what it should take, and more. */
const CALL_TIMEOUT_FACTOR = 6;
const CALL_TIMEOUT_SLACK: Millis = 1_000;
/** How soon waiting pieces are looked at again when no endpoint was free. */
const RECHECK_INTERVAL: Millis = 50;

/** Creates the feeder of one pool. */
export function createStageFeeder(options: StageFeederOptions): StageFeeder {
  const { clock, log, pool, stages, loads, readSpec, budget } = options;
  const batcher: PieceBatcher<FeederPiece> = createPieceBatcher(readSpec);
  const flow = createPieceFlow(clock);
  const room = createMakerRoom();
  const inputs = createInputRelease({
    clock,
    releaseInputs: options.releaseInputs,
  });
  const makers = createMakerCalls({
    clock,
    loads,
    room,
    listEndpoints: options.listEndpoints,
    allowance: options.allowance,
  });
  let isRecheckDue = false;

  function run(request: PieceRun, signal: AbortSignal): Promise<PieceRunReply> {
    inputs.noteRun();
    const group = createFeederGroup(request);
    const outcomes = Promise.all(
      request.pieces.map((order) => addPiece({ request, order, group })),
    );
    if (request.onTime > readSpec().callTime) {
      flow.recordArrival(request.priority, group.pieces.length);
    }
    const cancel = () => {
      failGroup(group, "late");
      // Nobody will take the results that are there already.
      release(group.pieces.flatMap(({ result }) => result ?? []));
    };
    signal.addEventListener("abort", cancel, { once: true });
    if (signal.aborted) cancel();
    dispatch();
    return outcomes.then((list) => {
      signal.removeEventListener("abort", cancel);
      return {
        outcomes: list,
        waits: readWaits(request.priority),
        freedInputs: group.freedInputs,
        ...(group.ends.length > 0 ? { ends: listEnds(group) } : {}),
      };
    });
  }

  function listEnds({ ends }: FeederGroup): EndpointEnd[] {
    const now = clock.now();
    return ends.map(({ endpointKey, sentAt, endedAt }) => ({
      endpointKey,
      sentAgo: now - sentAt,
      endedAgo: now - endedAt,
    }));
  }

  function readWaits(priority: number): PieceWaits {
    const now = clock.now();
    return batcher.estimateWaits(priority, { now, forecast: readForecast() });
  }

  function readForecast() {
    return flow.forecast(readSpec(), makers.count());
  }

  function addPiece(
    { request, order, group }: {
      request: PieceRun;
      order: PieceOrder;
      group: FeederGroup;
    },
  ): Promise<PieceOutcome> {
    const now = clock.now();
    const { piece, outcome } = createFeederPiece(group, {
      request,
      order,
      now,
    });
    batcher.add(piece);
    budget.deposit();
    return outcome;
  }

  /**
   * A request needs all its pieces: what is not made yet is not made for
   * nothing, and whoever waits learns it now and not with the last of them.
   */
  function failGroup({ pieces }: FeederGroup, reason: FailReason): void {
    for (const piece of pieces) {
      if (piece.result !== undefined) continue;
      piece.isCancelled = true;
      batcher.remove(piece);
      piece.settle({ kind: "failed", reason });
    }
  }

  function dispatch(): void {
    const now = clock.now();
    room.dropLapsed(now);
    dropLate(now);
    for (;;) {
      const isStrained = flow.isStrained();
      const call = batcher.planCall(makers.list(), { now, isStrained });
      if (call === undefined) break;
      flow.recordCall(call.pieces.length);
      void runCall(call.endpoint, call.pieces);
    }
    const spec = readSpec();
    const usable = makers.list();
    flow.noteQueue({
      waiting: batcher.size,
      isBusy: usable.every(({ calls }) => calls >= spec.slots),
      spec,
      endpointCount: usable.length,
    });
    if (batcher.size > 0) startRecheck();
  }

  function dropLate(now: Millis): void {
    const hopeless = batcher.dropLate(now, readForecast());
    const groups = new Map(hopeless.map((piece) => [piece.group, piece]));
    for (const [group, { order, priority, dueAt }] of groups) {
      failGroup(group, "late");
      log.record("pieces_dropped", {
        request: order.requestId,
        pool,
        stage: order.stage,
        left: dueAt - now,
        waiting: batcher.size,
        ...readWaits(priority),
        reason: "they could not be done in time",
      });
    }
  }

  /** Endpoints come back and pieces grow late without any event here. */
  function startRecheck(): void {
    if (isRecheckDue) return;
    isRecheckDue = true;
    clock.startTimer(RECHECK_INTERVAL, () => {
      isRecheckDue = false;
      dispatch();
    });
  }

  async function runCall(
    maker: CalledMaker,
    pieces: readonly FeederPiece[],
  ): Promise<void> {
    const { info, key } = maker;
    const { callTime, pieceTime } = readSpec();
    const expected = callTime + pieces.length * pieceTime;
    const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
    const startedAt = clock.now();
    makers.begin(maker, expected);
    room.addTaken(key, bytes);
    for (const piece of pieces) {
      piece.attempts++;
      piece.group.lastCallAt = startedAt;
    }
    const stopRelease = inputs.startCall({
      startedAt,
      groups: listGroups(pieces),
      roomShare: room.readTaken(key) / readSpec().roomBytes,
    });
    const reply = await stages.run({
      endpoint: info,
      pieces: pieces.map(({ order, dueAt }) => ({
        ...order,
        remaining: dueAt - startedAt,
      })),
      timeout: CALL_TIMEOUT_FACTOR * expected + CALL_TIMEOUT_SLACK,
    });
    stopRelease();
    makers.end(maker);
    const took = clock.now() - startedAt;
    if (reply.isErr) {
      const isUnreachable = reply.error.sent === "no";
      loads.end(info, isUnreachable ? "unreachable" : "failing");
      room.addTaken(key, -bytes);
      // Repeated before this is known, all would share their next call again.
      if (reply.error.kind === "cut" && !isUnreachable) {
        await noteBroken(maker, { pieces, startedAt });
      }
      pieces.forEach((piece) => tryAgain(piece, info, "unavailable"));
    } else {
      const source = {
        way: "stage_call",
        to: info,
        sentAt: startedAt,
      } as const;
      options.noteSignals(source, reply.value);
      takeReply(maker, {
        pieces,
        reply: reply.value,
        ratio: took / expected,
      });
    }
    log.record("stage_call", {
      pool,
      endpoint: info.id,
      requests: pieces.map(({ order }) => order.requestId),
      pieces: pieces.length,
      place: info.place,
      roomTaken: room.readTaken(key),
      oldestResult: room.readOldest(key, clock.now()),
      waiting: batcher.size,
      took,
      expected,
      outcome: reply.isErr ? reply.error.message : reply.value.kind,
    });
    dispatch();
  }

  async function noteBroken(
    { info, key }: CalledMaker,
    { pieces, startedAt }: {
      pieces: readonly FeederPiece[];
      startedAt: Millis;
    },
  ): Promise<void> {
    const endedAt = clock.now();
    const condition = await options.endpointCheck.checkCondition(info);
    if (condition !== "ended") return;
    const end = { endpointKey: key, sentAt: startedAt, endedAt };
    listGroups(pieces).forEach(({ group }) => group.ends.push(end));
  }

  function takeReply(
    maker: CalledMaker,
    { pieces, reply, ratio }: {
      pieces: readonly FeederPiece[];
      reply: StageReply;
      ratio: number;
    },
  ): void {
    const { info, key } = maker;
    if (reply.kind === "results") {
      loads.end(info, "done");
      loads.recordRatio(info, ratio);
      // Sizes are approximate, so the last pieces of a call that fills its maker
      // find no room at times. Left alone for it, the maker would be idle for a
      // third of a call after each.
      const isAnyMade = reply.results.some(({ kind }) => kind === "done");
      if (!isAnyMade) makers.block(maker);
      pieces.forEach((piece, index) =>
        takeResult(maker, piece, reply.results[index])
      );
      return;
    }
    loads.end(info, reply.kind === "invalid" ? "failing" : "neutral");
    const refusal = reply.kind === "not_run" ? reply.reason : undefined;
    // Its removal may be read seconds later; until then each call would be lost.
    if (refusal === "other_instance") options.markLeaving(key);
    const isFull = refusal === "full";
    if (isFull) {
      inputs.noteOtherFeeder();
      makers.block(maker);
    }
    for (const piece of pieces) {
      room.addTaken(key, -piece.resultBytes);
      if (isFull) waitForRoom(piece);
      else tryAgain(piece, info, "unavailable");
    }
  }

  function takeResult(
    maker: CalledMaker,
    piece: FeederPiece,
    result: StageResult | undefined,
  ): void {
    const { info, key } = maker;
    if (result?.kind === "done") {
      const madeAt = clock.now();
      room.hold(result.result, {
        maker: key,
        bytes: piece.resultBytes,
        madeAt,
        lapsesAt: madeAt + readSpec().resultLifetime,
      });
      // Nobody waits for it any more, but it takes room at its maker.
      if (piece.isCancelled) return release([result.result]);
      piece.result = result.result;
      piece.settle(result);
      return;
    }
    room.addTaken(key, -piece.resultBytes);
    const reason = result?.reason ?? "error";
    if (reason === "input_gone") inputs.noteOtherFeeder();
    if (reason === "late" || reason === "input_gone") {
      failGroup(piece.group, reason);
    } else if (reason === "no_room") waitForRoom(piece);
    else tryAgain(piece, info, reason);
  }

  /**
   * Results of another feeder, or of an entry that died, take room that is not
   * counted here. Nothing ran, so the piece waits like any other, but only as many
   * as repeats are left: without that bound 12 fewer of 1,650 requests of a
   * played day were on time, and 61 more were late.
   */
  function waitForRoom(piece: FeederPiece): void {
    if (piece.isCancelled) return;
    if (budget.withdraw()) waitAgain(piece);
    else failGroup(piece.group, "no_room");
  }

  function tryAgain(
    piece: FeederPiece,
    { id }: EndpointInfo,
    reason: "error" | "unavailable",
  ): void {
    if (piece.isCancelled) return;
    piece.avoid.add(id);
    // With the others out of use, the endpoint that failed it is better than
    // none.
    const others = loads.listInUse(options.listEndpoints())
      .filter(({ info }) => !piece.avoid.has(info.id));
    if (others.length === 0) piece.avoid.clear();
    if (piece.attempts >= MAX_ATTEMPTS || !budget.withdraw()) {
      return failGroup(piece.group, reason);
    }
    waitAgain(piece);
  }

  /** It needs its inputs once more. */
  function waitAgain(piece: FeederPiece): void {
    piece.group.started--;
    batcher.add(piece);
  }

  function release(results: readonly string[]): void {
    const byMaker = new Map<string, string[]>();
    for (const result of results) {
      const maker = stages.readMaker(result);
      const list = byMaker.get(maker) ?? [];
      byMaker.set(maker, list);
      list.push(result);
    }
    for (const [address, list] of byMaker) {
      // A release is a request as well; without one, results lapse.
      const isHeldBack = options.listAt(address)
        .some(options.allowance.isHeldBack);
      if (isHeldBack) continue;
      list.forEach(room.drop);
      void releaseAt(address, list);
    }
    dispatch();
  }

  async function releaseAt(
    address: string,
    results: readonly string[],
  ): Promise<void> {
    const sentAt = clock.now();
    const answer = await stages.release(address, results);
    options.noteSignals({ way: "stage_release", to: address, sentAt }, answer);
  }

  return {
    run,
    readWaits,
    release,
    refresh: dispatch,
  };
}
