/**
 * Runs the stages of one request as a dependency graph. Each stage starts as
 * soon as its dependencies are complete, and receives the results of all their
 * pieces.
 *
 * @module
 */
import type { Failure, Route, RouteStage } from "@mangoreach/coordination";
import {
  createFailure,
  planStages,
  spreadRetryAfter,
} from "@mangoreach/coordination";
import type {
  EndpointCrash,
  PieceOutcome,
  PieceSource,
} from "@mangoreach/peers";
import { MAX_ACCOUNT_LENGTH } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { RequestHead } from "./platform_interfaces.ts";

/** Options of {@linkcode runStages}. */
export interface StageGraphOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  router: PieceRouter;
  route: Route;
  head: RequestHead;
  /** Priority of the pieces; 0 is the highest. */
  priority: number;
  /** The client account, if the route has one. */
  account?: string | undefined;
  /** Time by which the results are needed to meet the latency objective. */
  objectiveAt: Millis;
  /** Deadline for the results. */
  deadlineAt: Millis;
  /** Expected time of each stage without queueing; 0 if it has no pieces. */
  durations: readonly Millis[];
  /** Returns how long the endpoints of a pool store results. */
  readLifetime: (pool: string) => Millis;
  /** Returns the place of the endpoint that stores a result, if it is known. */
  readPlace: (result: string) => string | undefined;
  /** Place from which the results of the last stages will be fetched. */
  place: string | undefined;
  /** Called with the endpoints that terminated during calls for the request. */
  recordCrashes: (ends: readonly EndpointCrash[]) => void;
  signal: AbortSignal;
}

/** Results of the stages of one request. */
export interface StageResults {
  /** Results of the stages that no other stage depends on, in stage order. */
  readonly inputs: readonly string[];
  /** Releases all results. Idempotent. */
  release(): void;
}

/** Runs all stages. Releases the results of all stages if one fails. */
export async function runStages(
  options: StageGraphOptions,
): Promise<Result<StageResults, Failure>> {
  const { clock, log, route, head, router } = options;
  const { stages } = route;
  const plan = planStages(stages, options.durations);
  const controller = new AbortController();
  const abort = () => controller.abort();
  options.signal.addEventListener("abort", abort, { once: true });
  if (options.signal.aborted) abort();
  /** Results of each stage that are not released yet. */
  const outputs = new Map<number, readonly string[]>();
  const completed = new Set<number>();
  /** Time at which the results of a stage expire at their endpoints. */
  const expiries = new Map<number, Millis>();
  const running = new Map<number, Promise<Result<string[], Failure>>>();

  function startStage(number: number): Promise<Result<string[], Failure>> {
    const known = running.get(number);
    if (known !== undefined) return known;
    const task = runStage(number);
    running.set(number, task);
    return task;
  }

  async function runStage(number: number): Promise<Result<string[], Failure>> {
    const stage = stages[number];
    if (stage === undefined) {
      return Result.err(
        createStageFailure(number, "the route has no such stage"),
      );
    }
    const dependencies = plan[number]?.dependencies ?? stage.after;
    const earlier = await Promise.all(dependencies.map(startStage));
    const failed = earlier.find((result) => result.isErr);
    if (failed?.isErr) return Result.err(failed.error);
    const inputs = stage.after.flatMap((needed) => outputs.get(needed) ?? []);
    return await runPieces(number, stage, inputs);
  }

  async function runPieces(
    number: number,
    stage: RouteStage,
    inputs: string[],
  ): Promise<Result<string[], Failure>> {
    const count = head.pieceCounts[number] ?? 0;
    if (count === 0) return Result.ok([]);
    const source: PieceSource = stage.after.length === 0
      ? { kind: "key", key: head.pieceKey ?? "" }
      : {
        kind: "results",
        results: inputs,
        pools: stage.after.flatMap((needed) => stages[needed]?.pool ?? []),
      };
    const startedAt = clock.now();
    const downstreamTime = plan[number]?.downstreamTime ?? 0;
    const deadline = Math.min(
      options.deadlineAt - downstreamTime,
      ...stage.after.map((needed) => expiries.get(needed) ?? Infinity),
    );
    const reply = await router.run({
      pool: stage.pool,
      requestId: head.id,
      priority: options.priority,
      ...(options.account === undefined
        ? {}
        : { account: options.account.slice(0, MAX_ACCOUNT_LENGTH) }),
      onTime: options.objectiveAt - downstreamTime - startedAt,
      remaining: deadline - startedAt,
      ...choosePlace(inputs),
      resultBytes: stage.resultBytes,
      movedBytes: computeMovedBytes(number, stage),
      ownsInputs: stage.after.every((needed) =>
        listConsumers(needed).length === 1
      ),
      pieces: Array.from({ length: count }, (_, piece) => ({
        stage: number,
        piece,
        source,
      })),
    }, controller.signal);
    if (reply.isErr) return Result.err(reply.error);
    const { outcomes, freedInputs, ends } = reply.value;
    if (ends !== undefined) options.recordCrashes(ends);
    // A second release would cost one message and one call per endpoint.
    if (freedInputs) stage.after.forEach((needed) => outputs.delete(needed));
    const results = outcomes.flatMap((outcome) =>
      outcome.kind === "done" ? [outcome.result] : []
    );
    outputs.set(number, results);
    expiries.set(number, clock.now() + options.readLifetime(stage.pool));
    completed.add(number);
    releaseConsumed();
    const failed = findFailure(outcomes, count);
    log.record("stage_ended", {
      request: head.id,
      stage: number,
      pool: stage.pool,
      pieces: count,
      took: clock.now() - startedAt,
      outcome: failed ?? "done",
    });
    if (failed === undefined) return Result.ok(results);
    return Result.err({
      ...createStageFailure(number, failed),
      retryAfterMs: spreadRetryAfter(reply.value.waits.late, options.random),
    });
  }

  /**
   * Returns the bytes that one piece moves between places: its inputs, and its
   * result if the engine fetches it. The result of an intermediate stage is not
   * counted, because the next stage runs in the place that stores it.
   */
  function computeMovedBytes(
    number: number,
    { after, resultBytes }: RouteStage,
  ) {
    const fetched = after.reduce(
      (sum, needed) =>
        sum + (outputs.get(needed)?.length ?? 0) *
          (stages[needed]?.resultBytes ?? 0),
      0,
    );
    const isLast = !stages.some(({ after: inputs }) => inputs.includes(number));
    return fetched + (isLast ? resultBytes : 0);
  }

  /**
   * Chooses the place that stores most of the inputs: every piece fetches all
   * of them, which is more data than its own result.
   */
  function choosePlace(inputs: readonly string[]): { place?: string } {
    const places = inputs.map(options.readPlace);
    const most = places.reduce<string | undefined>(
      (best, place) =>
        countOccurrences(places, place) > countOccurrences(places, best)
          ? place
          : best,
      places[0],
    );
    const place = most ?? options.place;
    return place === undefined ? {} : { place };
  }

  /** Lists the stages that depend on a stage. */
  function listConsumers(number: number): number[] {
    return stages.flatMap(({ after }, consumer) =>
      after.includes(number) ? [consumer] : []
    );
  }

  /**
   * Releases results that all dependent stages have consumed. Result storage at
   * the endpoints is small: results stored until the end of the request would
   * block their pool.
   */
  function releaseConsumed(): void {
    for (const number of [...outputs.keys()]) {
      const consumers = listConsumers(number);
      const isConsumed = consumers.length > 0 &&
        consumers.every((consumer) => completed.has(consumer));
      if (isConsumed) releaseStage(number);
    }
  }

  function releaseStage(number: number): void {
    const pool = stages[number]?.pool;
    if (pool !== undefined) router.release(pool, outputs.get(number) ?? []);
    outputs.delete(number);
  }

  function release(): void {
    [...outputs.keys()].forEach(releaseStage);
  }

  const outcomes = await Promise.all(
    stages.map(async (_, number) => {
      const outcome = await startStage(number);
      // The request has failed, so the pieces of the other stages are useless.
      if (outcome.isErr) controller.abort();
      return outcome;
    }),
  );
  options.signal.removeEventListener("abort", abort);
  const failed = outcomes.find((outcome) => outcome.isErr);
  if (failed?.isErr) {
    release();
    return Result.err(failed.error);
  }
  const last = listFinalStages(stages);
  const inputs = last.flatMap((number) => outputs.get(number) ?? []);
  return Result.ok({ inputs, release });
}

/** Lists the stages that no other stage depends on. */
function listFinalStages(stages: readonly RouteStage[]): number[] {
  const needed = new Set(stages.flatMap(({ after }) => after));
  return stages.map((_, number) => number)
    .filter((number) => !needed.has(number));
}

function countOccurrences<T>(list: readonly T[], value: T): number {
  return list.filter((other) => other === value).length;
}

function findFailure(
  outcomes: readonly PieceOutcome[],
  count: number,
): string | undefined {
  if (outcomes.length !== count) return "the feeder answered in part";
  const failed = outcomes.find((outcome) => outcome.kind === "failed");
  return failed?.kind === "failed" ? failed.reason : undefined;
}

/** The verdict is `not_run`: the request itself has not reached an engine. */
function createStageFailure(number: number, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: `stage ${number}: ${message}`,
  });
}
