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
  BatchEndpoint,
  BatchSpec,
  EndpointInfo,
  PieceBatcher,
  PieceGroup,
  RetryBudget,
  WaitingPiece,
} from "@mangoreach/coordination";
import { createPieceBatcher } from "@mangoreach/coordination";
import type {
  PieceOrder,
  PieceOutcome,
  PieceRun,
  PieceRunReply,
} from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type {
  CalledPiece,
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
  readSpec: () => BatchSpec;
  /** Pieces that are made a second time draw on it. */
  budget: RetryBudget;
  /** Frees results of another pool, at whoever feeds that. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
}

/** Feeds one pool. */
export interface StageFeeder {
  /** Runs the pieces of one stage of one request. */
  run(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  /** Frees results that nobody needs any more. */
  release(results: readonly string[]): void;
  /** Looks again for calls to make, after endpoints have changed. */
  refresh(): void;
}

interface FeederGroup extends PieceGroup {
  /** All pieces of the group. */
  readonly total: number;
  /** When the last call with pieces of it began. */
  lastCallAt: Millis;
}

interface FeederPiece extends WaitingPiece {
  readonly group: FeederGroup;
  order: CalledPiece;
  avoid: Set<string>;
  attempts: number;
  isCancelled: boolean;
  /** Where its result lies once it is made. */
  result: string | undefined;
  settle(outcome: PieceOutcome): void;
}

interface HeldResult {
  endpointId: string;
  bytes: number;
  /** When its maker drops it if nobody frees it. */
  lapsesAt: Millis;
}

interface Feeding extends BatchEndpoint {
  calls: number;
  roomTaken: number;
  /** It said that it is full or has no room; until then it gets nothing. */
  blockedUntil: Millis;
}

/** A piece that failed this often fails for good. */
const MAX_ATTEMPTS = 3;
/** A call is given up after this many times what it should take, and more. */
const CALL_TIMEOUT_FACTOR = 6;
const CALL_TIMEOUT_SLACK: Millis = 1_000;
/** An endpoint that is full has room again after about half a call. */
const BLOCK_TIME: Millis = 150;
/**
 * An endpoint fetches the inputs of a call at once, in some ten milliseconds;
 * then their makers may drop them. Kept until the call's end they would hold
 * the room of the pool before for twice as long.
 */
const FETCH_TIME: Millis = 120;
/**
 * With two feeders for a moment, as after a restart, a call waits at its
 * endpoint before it fetches anything. So inputs are freed early only by who has
 * fed the pool for this long, and not for as long after inputs were gone.
 */
const SETTLE_TIME: Millis = 5_000;
/** How soon waiting pieces are looked at again when no endpoint was free. */
const RECHECK_INTERVAL: Millis = 50;

/** Creates the feeder of one pool. */
export function createStageFeeder(options: StageFeederOptions): StageFeeder {
  const { clock, log, pool, stages, loads, readSpec, budget } = options;
  const batcher: PieceBatcher<FeederPiece> = createPieceBatcher(readSpec);
  const feedings = new Map<string, Feeding>();
  /** Result to the endpoint and the size that was reserved for it. */
  const held = new Map<string, HeldResult>();
  let isRecheckDue = false;
  /** Since when pieces come here without a long pause. */
  let feedingSince = clock.now();
  let lastRunAt = -Infinity;
  let inputsGoneAt = -Infinity;

  function run(request: PieceRun, signal: AbortSignal): Promise<PieceRunReply> {
    const now = clock.now();
    if (now - lastRunAt > SETTLE_TIME) feedingSince = now;
    lastRunAt = now;
    const total = request.pieces.length;
    const group = { started: 0, total, lastCallAt: 0 };
    const pieces = request.pieces.map((order) =>
      createPiece({ request, order, group })
    );
    const outcomes = Promise.all(pieces.map(({ promise }) => promise));
    const cancel = () => {
      pieces.forEach(({ piece }) => cancelPiece(piece));
      // Nobody will take the results that are there already.
      release(pieces.flatMap(({ piece }) => piece.result ?? []));
    };
    signal.addEventListener("abort", cancel, { once: true });
    for (const { piece } of pieces) {
      batcher.add(piece);
      budget.deposit();
    }
    if (signal.aborted) cancel();
    dispatch();
    return outcomes.then((list) => {
      signal.removeEventListener("abort", cancel);
      const waits = batcher.estimateWaits(request.priority, {
        now: clock.now(),
        endpointCount: options.listEndpoints().length,
      });
      return { outcomes: list, waits };
    });
  }

  function createPiece(
    { request, order, group }: {
      request: PieceRun;
      order: PieceOrder;
      group: FeederGroup;
    },
  ) {
    let settle: (outcome: PieceOutcome) => void = () => {};
    const promise = new Promise<PieceOutcome>((resolve) => settle = resolve);
    const piece: FeederPiece = {
      priority: request.priority,
      group,
      onTimeAt: clock.now() + request.onTime,
      dueAt: clock.now() + request.remaining,
      place: request.place,
      resultBytes: request.resultBytes,
      movedBytes: request.movedBytes,
      avoid: new Set(),
      order: { ...order, requestId: request.requestId, remaining: 0 },
      attempts: 0,
      isCancelled: false,
      result: undefined,
      settle,
    };
    return { piece, promise };
  }

  function cancelPiece(piece: FeederPiece): void {
    piece.isCancelled = true;
    batcher.remove(piece);
    piece.settle({ kind: "failed", reason: "late" });
  }

  function listFeedings(): Feeding[] {
    const endpoints = options.listEndpoints();
    const inUse = loads.listInUse(endpoints);
    const ids = new Set(endpoints.map(({ id }) => id));
    for (const [id, { calls }] of feedings) {
      if (calls === 0 && !ids.has(id)) feedings.delete(id);
    }
    const now = clock.now();
    return inUse.map(({ info, slowness }) => {
      const known = feedings.get(info.id);
      const feeding: Feeding = known ??
        { info, calls: 0, roomTaken: 0, slowness, blockedUntil: 0 };
      feedings.set(info.id, feeding);
      return Object.assign(feeding, { info, slowness });
    }).filter(({ blockedUntil }) => blockedUntil <= now);
  }

  /** An entry that died frees nothing; its results lapse at their makers. */
  function dropLapsed(now: Millis): void {
    for (const [result, { lapsesAt }] of held) {
      if (lapsesAt <= now) dropHeld(result);
    }
  }

  function dispatch(): void {
    const now = clock.now();
    dropLapsed(now);
    for (const piece of batcher.dropLate(now, options.listEndpoints().length)) {
      log.record("piece_dropped", {
        request: piece.order.requestId,
        pool,
        waiting: batcher.size,
        reason: "it could not be done in time",
      });
      piece.settle({ kind: "failed", reason: "late" });
    }
    for (;;) {
      const call = batcher.planCall(listFeedings(), now);
      if (call === undefined) break;
      void runCall(call.endpoint, call.pieces);
    }
    if (batcher.size > 0) startRecheck();
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
    feeding: Feeding,
    pieces: readonly FeederPiece[],
  ): Promise<void> {
    const { info } = feeding;
    const { callTime, pieceTime } = readSpec();
    const expected = callTime + pieces.length * pieceTime;
    const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
    const startedAt = clock.now();
    feeding.calls++;
    feeding.roomTaken += bytes;
    loads.begin(info);
    for (const piece of pieces) {
      piece.attempts++;
      piece.group.lastCallAt = startedAt;
    }
    let isRunning = true;
    clock.startTimer(FETCH_TIME, () => {
      if (isRunning && isSettled()) releaseFetched(pieces, startedAt);
    });
    const reply = await stages.run({
      endpoint: info,
      pieces: pieces.map(({ order, dueAt }) => ({
        ...order,
        remaining: dueAt - startedAt,
      })),
      timeout: CALL_TIMEOUT_FACTOR * expected + CALL_TIMEOUT_SLACK,
    });
    isRunning = false;
    feeding.calls--;
    const took = clock.now() - startedAt;
    if (reply.isErr) {
      const isUnreachable = reply.error.sent === "no";
      loads.end(info, isUnreachable ? "unreachable" : "failing");
      feeding.roomTaken -= bytes;
      pieces.forEach((piece) => tryAgain(piece, info, "unavailable"));
    } else {
      takeReply(feeding, {
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
      roomTaken: feeding.roomTaken,
      oldestResult: readOldestResult(info, clock.now()),
      waiting: batcher.size,
      took,
      expected,
      outcome: reply.isErr ? reply.error.message : reply.value.kind,
    });
    dispatch();
  }

  function isSettled(): boolean {
    const now = clock.now();
    return now - feedingSince > SETTLE_TIME && now - inputsGoneAt > SETTLE_TIME;
  }

  /** Frees the inputs of groups that are in calls as a whole. */
  function releaseFetched(
    pieces: readonly FeederPiece[],
    calledAt: Millis,
  ): void {
    const groups = new Map(pieces.map((piece) => [piece.group, piece.order]));
    for (const [group, { source }] of groups) {
      const isLastCall = group.started >= group.total &&
        group.lastCallAt === calledAt;
      if (source.kind === "key" || !isLastCall) continue;
      for (const used of source.pools) {
        options.releaseInputs(used, source.results);
      }
    }
  }

  /** The age of the oldest result that is still held at an endpoint. */
  function readOldestResult({ id }: EndpointInfo, now: Millis): Millis {
    let oldest = now;
    for (const { endpointId, lapsesAt } of held.values()) {
      if (endpointId !== id) continue;
      oldest = Math.min(oldest, lapsesAt - readSpec().resultLifetime);
    }
    return now - oldest;
  }

  function takeReply(
    feeding: Feeding,
    { pieces, reply, ratio }: {
      pieces: readonly FeederPiece[];
      reply: StageReply;
      ratio: number;
    },
  ): void {
    const { info } = feeding;
    if (reply.kind === "results") {
      loads.end(info, "done");
      loads.recordRatio(info, ratio);
      pieces.forEach((piece, index) =>
        takeResult(feeding, piece, reply.results[index])
      );
      return;
    }
    loads.end(info, reply.kind === "invalid" ? "failing" : "neutral");
    const isFull = reply.kind === "not_run" && reply.reason === "full";
    for (const piece of pieces) {
      feeding.roomTaken -= piece.resultBytes;
      if (isFull) waitForRoom(feeding, piece);
      else tryAgain(piece, info, "unavailable");
    }
  }

  function takeResult(
    feeding: Feeding,
    piece: FeederPiece,
    result: StageResult | undefined,
  ): void {
    if (result?.kind === "done") {
      const { resultBytes } = piece;
      held.set(result.result, {
        endpointId: feeding.info.id,
        bytes: resultBytes,
        lapsesAt: clock.now() + readSpec().resultLifetime,
      });
      // Nobody waits for it any more, but it takes room at its maker.
      if (piece.isCancelled) return release([result.result]);
      piece.result = result.result;
      piece.settle(result);
      return;
    }
    feeding.roomTaken -= piece.resultBytes;
    const reason = result?.reason ?? "error";
    if (reason === "input_gone") inputsGoneAt = clock.now();
    if (reason === "late" || reason === "input_gone") {
      piece.settle({ kind: "failed", reason });
    } else if (reason === "no_room") waitForRoom(feeding, piece);
    else tryAgain(piece, feeding.info, reason);
  }

  /**
   * Results of another feeder, or of an entry that died, take room that is not
   * counted here. Nothing ran, so the piece waits like any other.
   */
  function waitForRoom(feeding: Feeding, piece: FeederPiece): void {
    feeding.blockedUntil = clock.now() + BLOCK_TIME;
    if (piece.isCancelled) return;
    if (budget.withdraw()) batcher.add(piece);
    else piece.settle({ kind: "failed", reason: "no_room" });
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
      return piece.settle({ kind: "failed", reason });
    }
    batcher.add(piece);
  }

  function release(results: readonly string[]): void {
    const byMaker = new Map<string, string[]>();
    for (const result of results) {
      const maker = stages.readMaker(result);
      const list = byMaker.get(maker) ?? [];
      byMaker.set(maker, list);
      list.push(result);
      dropHeld(result);
    }
    for (const [maker, list] of byMaker) void stages.release(maker, list);
    dispatch();
  }

  function dropHeld(result: string): void {
    const reserved = held.get(result);
    if (reserved === undefined) return;
    held.delete(result);
    const feeding = feedings.get(reserved.endpointId);
    if (feeding !== undefined) feeding.roomTaken -= reserved.bytes;
  }

  return {
    run,
    release,
    refresh: dispatch,
  };
}
