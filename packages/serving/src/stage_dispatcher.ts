/**
 * Dispatcher of one partition of a stage pool: the entry that batches and sends
 * all calls of the partition. It combines pieces of many requests, from all
 * entries, into calls, and tracks the result storage of each endpoint.
 *
 * Pieces are idempotent, so dispatchers are not elected by consensus: if two
 * entries dispatch for a partition for a short time, batches are smaller and
 * results stay correct.
 *
 * @module
 */
import type {
  AccountShares,
  BatchSpec,
  EndpointInfo,
  PieceBatcher,
  PieceWaits,
  RetryBudget,
  SendAllowance,
  WaitForecast,
} from "@mangoreach/coordination";
import {
  createAccountShares,
  createPieceBatcher,
  createPieceRates,
} from "@mangoreach/coordination";
import type {
  EndpointCrash,
  PieceOrder,
  PieceOutcome,
  PieceRun,
  PieceRunReply,
} from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { SignalHandler } from "./endpoint_signals.ts";
import type {
  DispatchedGroup,
  DispatchedPiece,
  FailureReason,
} from "./dispatched_piece.ts";
import {
  createDispatchedGroup,
  createDispatchedPiece,
  listGroups,
} from "./dispatched_piece.ts";
import { createInputReleaser } from "./input_release.ts";
import type { CallableEndpoint } from "./stage_endpoint_calls.ts";
import { createStageEndpointCalls } from "./stage_endpoint_calls.ts";
import { createResultStorage } from "./result_storage.ts";
import type {
  StageEndpoints,
  StageReply,
  StageResult,
} from "./platform_interfaces.ts";
import type { DecisionLog } from "./decision_log.ts";

/** Options of {@linkcode createStageDispatcher}. */
export interface StageDispatcherOptions {
  clock: Clock;
  log: DecisionLog;
  pool: string;
  stages: StageEndpoints;
  loads: EndpointLoads;
  /** Lists the endpoints that accept new work now. */
  listEndpoints: () => readonly EndpointInfo[];
  /** Marks an endpoint whose address now belongs to another instance. */
  markLeaving: (endpointKey: string) => void;
  /** Handles the back-pressure signals in an endpoint's reply. */
  handleSignals: SignalHandler;
  allowance: SendAllowance;
  /** Lists all endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  readSpec: () => BatchSpec;
  endpointCheck: EndpointCheck;
  /** Limits the retries of pieces. */
  budget: RetryBudget;
  /** Releases results of another pool through the dispatcher of that pool. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
  /** Use of the partition by client account; a new record if left out. */
  shares?: AccountShares;
}

/** Dispatches the pieces of one pool partition. */
export interface StageDispatcher {
  /** Runs the pieces of one stage of one request. */
  run(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  /**
   * Estimates the queueing delay of a new piece of this priority, and of the
   * client account if one is given.
   */
  readWaits(priority: number, account?: string): PieceWaits;
  /** Releases results that are no longer needed. */
  release(results: readonly string[]): void;
  /** Dispatches queued pieces again, after the endpoints have changed. */
  refresh(): void;
}

/** Calls in which a piece is tried before it fails. */
const MAX_ATTEMPTS = 3;
/**
 * Calls time out after this multiple of their expected time, plus the slack.
 */
const CALL_TIMEOUT_FACTOR = 6;
const CALL_TIMEOUT_SLACK: Millis = 1_000;
/** Interval at which queued pieces are dispatched again. */
const RECHECK_INTERVAL: Millis = 50;

/** Creates the dispatcher of one pool partition. */
export function createStageDispatcher(
  options: StageDispatcherOptions,
): StageDispatcher {
  const { clock, log, pool, stages, loads, readSpec, budget } = options;
  const shares = options.shares ?? createAccountShares(clock);
  const batcher: PieceBatcher<DispatchedPiece> = createPieceBatcher(
    readSpec,
    shares,
  );
  const rates = createPieceRates(clock);
  const storage = createResultStorage();
  const inputReleaser = createInputReleaser({
    clock,
    releaseInputs: options.releaseInputs,
  });
  const endpointCalls = createStageEndpointCalls({
    clock,
    loads,
    storage,
    listEndpoints: options.listEndpoints,
    allowance: options.allowance,
  });
  let isRecheckScheduled = false;

  function run(request: PieceRun, signal: AbortSignal): Promise<PieceRunReply> {
    inputReleaser.recordRun();
    const group = createDispatchedGroup(request);
    const outcomes = Promise.all(
      request.pieces.map((order) => addPiece({ request, order, group })),
    );
    if (request.onTime > readSpec().callTime) {
      rates.recordArrival(request.priority, group.pieces.length);
    }
    const cancel = () => {
      failGroup(group, "late");
      // The reply of a cancelled run is not read, so nobody else releases
      // these.
      release(group.pieces.flatMap(({ result }) => result ?? []));
    };
    signal.addEventListener("abort", cancel, { once: true });
    if (signal.aborted) cancel();
    dispatch();
    return outcomes.then((list) => {
      signal.removeEventListener("abort", cancel);
      return {
        outcomes: list,
        waits: readWaits(request.priority, request.account),
        freedInputs: group.freedInputs,
        ...(group.ends.length > 0 ? { ends: listCrashes(group) } : {}),
      };
    });
  }

  function listCrashes({ ends }: DispatchedGroup): EndpointCrash[] {
    const now = clock.now();
    return ends.map(({ endpointKey, sentAt, endedAt }) => ({
      endpointKey,
      sentAgo: now - sentAt,
      endedAgo: now - endedAt,
    }));
  }

  function readWaits(priority: number, account?: string): PieceWaits {
    const forecast = readForecast();
    const overall = estimateWaits(priority, { forecast });
    if (account === undefined) return overall;
    return { ...estimateWaits(priority, { forecast, account }), overall };
  }

  function estimateWaits(
    priority: number,
    { forecast, account }: { forecast: WaitForecast; account?: string },
  ) {
    const now = clock.now();
    return batcher.estimateWaits(priority, { now, forecast, account });
  }

  function readForecast() {
    return rates.forecast(readSpec(), endpointCalls.sumSpeeds());
  }

  function addPiece(
    { request, order, group }: {
      request: PieceRun;
      order: PieceOrder;
      group: DispatchedGroup;
    },
  ): Promise<PieceOutcome> {
    const now = clock.now();
    const { piece, outcome } = createDispatchedPiece(group, {
      request,
      order,
      now,
    });
    batcher.add(piece);
    budget.deposit();
    return outcome;
  }

  /**
   * Fails all incomplete pieces of a group. A request needs all its pieces, so
   * the others would be computed in vain, and the request fails immediately
   * rather than after its last piece.
   */
  function failGroup({ pieces }: DispatchedGroup, reason: FailureReason): void {
    for (const piece of pieces) {
      if (piece.result !== undefined) continue;
      piece.isCancelled = true;
      batcher.remove(piece);
      piece.resolve({ kind: "failed", reason });
    }
  }

  function dispatch(): void {
    const now = clock.now();
    storage.removeExpired(now);
    dropInfeasible(now);
    for (;;) {
      const isBacklogged = rates.isBacklogged();
      const call = batcher.planCall(endpointCalls.list(), {
        now,
        isBacklogged,
      });
      if (call === undefined) break;
      rates.recordCall(call.pieces.length);
      void runCall(call.endpoint, call.pieces);
    }
    const spec = readSpec();
    const usable = endpointCalls.list();
    rates.recordQueue({
      waiting: batcher.size,
      isBusy: usable.every(({ calls }) => calls >= spec.slots),
      spec,
      endpointCount: usable.length,
    });
    if (batcher.size > 0) scheduleRecheck();
  }

  function dropInfeasible(now: Millis): void {
    const infeasible = batcher.dropInfeasible(now, readForecast());
    const groups = new Map(infeasible.map((piece) => [piece.group, piece]));
    infeasible.forEach(({ account }) => shares.recordDrop(account));
    for (const [group, { order, priority, deadlineAt, account }] of groups) {
      failGroup(group, "late");
      const { onTime, late, growth } = readWaits(priority);
      log.record("pieces_dropped", {
        request: order.requestId,
        pool,
        stage: order.stage,
        left: deadlineAt - now,
        waiting: batcher.size,
        onTime,
        late,
        growth,
        account,
        ...(account === undefined
          ? {}
          : { share: shares.readPercent(account) }),
        reason: "cannot meet the deadline",
      });
    }
  }

  /**
   * Endpoints become available and pieces miss their deadlines without an event
   * that triggers a dispatch.
   */
  function scheduleRecheck(): void {
    if (isRecheckScheduled) return;
    isRecheckScheduled = true;
    clock.startTimer(RECHECK_INTERVAL, () => {
      isRecheckScheduled = false;
      dispatch();
    });
  }

  async function runCall(
    endpoint: CallableEndpoint,
    pieces: readonly DispatchedPiece[],
  ): Promise<void> {
    const { info, key, timeRatio } = endpoint;
    const { callTime, pieceTime } = readSpec();
    const expected = callTime + pieces.length * pieceTime;
    const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
    const startedAt = clock.now();
    endpointCalls.begin(endpoint, expected);
    storage.addUsed(key, bytes);
    for (const piece of pieces) {
      piece.attempts++;
      piece.group.lastCallAt = startedAt;
    }
    const cancelRelease = inputReleaser.scheduleRelease({
      startedAt,
      groups: listGroups(pieces),
      storageShare: storage.readUsed(key) / readSpec().storageBytes,
    });
    const reply = await stages.run({
      endpoint: info,
      pieces: pieces.map(({ order, deadlineAt }) => ({
        ...order,
        remaining: deadlineAt - startedAt,
      })),
      timeout: CALL_TIMEOUT_FACTOR * expected + CALL_TIMEOUT_SLACK,
      // Opening the connection may take a second, in which the endpoint may ask
      // for a pause.
      maySend: () => !options.allowance.isPaused(info),
    });
    cancelRelease();
    const isRejected = reply.isOk
      ? reply.value.kind === "not_run" && reply.value.reason === "full"
      : reply.error.kind === "cut";
    endpointCalls.end(endpoint, isRejected);
    const took = clock.now() - startedAt;
    if (reply.isErr) {
      const isUnsent = reply.error.sent === "no";
      const isWithheld = reply.error.kind === "withheld";
      loads.end(
        info,
        isWithheld ? "neutral" : isUnsent ? "unreachable" : "failing",
      );
      // A call is aborted only by its timeout, a multiple of its expected time.
      if (reply.error.kind === "aborted") {
        endpointCalls.recordTime(endpoint, took / expected);
      }
      storage.addUsed(key, -bytes);
      // The crash is recorded before the pieces are queued again: otherwise
      // they would share their next call with the piece that caused it.
      if (reply.error.kind === "cut" && !isUnsent) {
        await recordCrash(endpoint, { pieces, startedAt });
      }
      pieces.forEach((piece) =>
        retryPiece(piece, info, { reason: "unavailable", isUnsent })
      );
    } else {
      const source = {
        way: "stage_call",
        to: info,
        sentAt: startedAt,
      } as const;
      options.handleSignals(source, reply.value);
      handleReply(endpoint, {
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
      roomTaken: storage.readUsed(key),
      oldestResult: storage.readOldestAge(key, clock.now()),
      waiting: batcher.size,
      took,
      expected,
      ...(timeRatio === 1
        ? {}
        : { timeRatio: Math.round(timeRatio * 100) / 100 }),
      outcome: reply.isErr ? reply.error.message : reply.value.kind,
    });
    dispatch();
  }

  async function recordCrash(
    { info, key }: CallableEndpoint,
    { pieces, startedAt }: {
      pieces: readonly DispatchedPiece[];
      startedAt: Millis;
    },
  ): Promise<void> {
    const endedAt = clock.now();
    const condition = await options.endpointCheck.checkCondition(info);
    if (condition !== "ended") return;
    const end = { endpointKey: key, sentAt: startedAt, endedAt };
    listGroups(pieces).forEach(({ group }) => group.ends.push(end));
  }

  function handleReply(
    endpoint: CallableEndpoint,
    { pieces, reply, ratio }: {
      pieces: readonly DispatchedPiece[];
      reply: StageReply;
      ratio: number;
    },
  ): void {
    const { info, key } = endpoint;
    if (reply.kind === "results") {
      loads.end(info, "done");
      loads.recordRatio(info, ratio);
      // A call whose pieces fail can end early, which says nothing about speed.
      if (reply.results.every(({ kind }) => kind === "done")) {
        endpointCalls.recordTime(endpoint, ratio);
      }
      // Result sizes are approximate, so the last pieces of a call that fills
      // the endpoint's storage can fail. The endpoint is not blocked for that:
      // it would be idle for a third of a call after every such call.
      const isAnyComputed = reply.results.some(({ kind }) => kind === "done");
      if (!isAnyComputed) endpointCalls.block(endpoint);
      pieces.forEach((piece, index) =>
        handleResult(endpoint, piece, reply.results[index])
      );
      return;
    }
    loads.end(info, reply.kind === "invalid" ? "failing" : "neutral");
    const refusal = reply.kind === "not_run" ? reply.reason : undefined;
    // The removal of the endpoint can be read seconds later from the store;
    // until then every call to its address would fail.
    if (refusal === "other_instance") options.markLeaving(key);
    const isFull = refusal === "full";
    if (isFull) {
      inputReleaser.recordOtherDispatcher();
      endpointCalls.block(endpoint);
    }
    for (const piece of pieces) {
      storage.addUsed(key, -piece.resultBytes);
      if (isFull) enqueueForStorage(piece);
      else retryPiece(piece, info, { reason: "unavailable" });
    }
  }

  function handleResult(
    endpoint: CallableEndpoint,
    piece: DispatchedPiece,
    result: StageResult | undefined,
  ): void {
    const { info, key } = endpoint;
    if (result?.kind === "done") {
      const createdAt = clock.now();
      storage.add(result.result, {
        producer: key,
        bytes: piece.resultBytes,
        createdAt,
        expiresAt: createdAt + readSpec().resultLifetime,
      });
      // The piece was cancelled during the call, but its result uses storage.
      if (piece.isCancelled) return release([result.result]);
      piece.result = result.result;
      piece.resolve(result);
      return;
    }
    storage.addUsed(key, -piece.resultBytes);
    const reason = result?.reason ?? "error";
    if (reason === "input_gone") inputReleaser.recordOtherDispatcher();
    if (reason === "late" || reason === "input_gone") {
      failGroup(piece.group, reason);
    } else if (reason === "no_room") enqueueForStorage(piece);
    else retryPiece(piece, info, { reason });
  }

  /**
   * Queues a piece again that found no storage: results of another dispatcher,
   * or of an entry that crashed, use storage that is not counted here. The
   * piece has not run, but it is charged to the retry budget all the same.
   * Without this limit, in a simulated day of 1,650 requests, 12 fewer met
   * their objective and 61 more were late.
   */
  function enqueueForStorage(piece: DispatchedPiece): void {
    if (piece.isCancelled) return;
    if (budget.withdraw()) enqueueAgain(piece);
    else failGroup(piece.group, "no_room");
  }

  function retryPiece(
    piece: DispatchedPiece,
    { id }: EndpointInfo,
    { reason, isUnsent = false }: {
      reason: "error" | "unavailable";
      /** Whether the endpoint has received nothing of the call. */
      isUnsent?: boolean;
    },
  ): void {
    if (piece.isCancelled) return;
    piece.excluded.add(id);
    // If no other endpoint is healthy, those that failed the piece are used
    // again.
    const others = loads.listHealthy(options.listEndpoints())
      .filter(({ info }) => !piece.excluded.has(info.id));
    if (others.length === 0) piece.excluded.clear();
    // What never reached an endpoint is not repeated.
    const mayRetry = piece.attempts < MAX_ATTEMPTS &&
      (isUnsent || budget.withdraw());
    if (!mayRetry) return failGroup(piece.group, reason);
    enqueueAgain(piece);
  }

  /** Queues a piece again; it will need its inputs again. */
  function enqueueAgain(piece: DispatchedPiece): void {
    piece.group.started--;
    batcher.add(piece);
  }

  function release(results: readonly string[]): void {
    const byProducer = new Map<string, string[]>();
    for (const result of results) {
      const producer = stages.findProducer(result);
      const list = byProducer.get(producer) ?? [];
      byProducer.set(producer, list);
      list.push(result);
    }
    for (const [address, list] of byProducer) {
      // A release counts against the endpoint's limit like any other request.
      // Results that are not released expire.
      if (isThrottled(address)) continue;
      list.forEach(storage.remove);
      void releaseAt(address, list);
    }
    dispatch();
  }

  function isThrottled(address: string): boolean {
    return options.listAt(address).some(options.allowance.isThrottled);
  }

  async function releaseAt(
    address: string,
    results: readonly string[],
  ): Promise<void> {
    const sentAt = clock.now();
    const reply = await stages.release(address, results, {
      mayRepeat: () => !isThrottled(address),
    });
    options.handleSignals(
      { way: "stage_release", to: address, sentAt },
      reply,
    );
  }

  return {
    run,
    readWaits,
    release,
    refresh: dispatch,
  };
}
