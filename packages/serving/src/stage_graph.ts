/**
 * Runs the stages of one request as a graph: each starts as soon as the stages
 * it needs are done, and gets the results of all their pieces.
 *
 * @module
 */
import type { Failure, Route, RouteStage } from "@mangoreach/coordination";
import {
  createFailure,
  planStages,
  spreadRetryAfter,
} from "@mangoreach/coordination";
import type { EndpointEnd, PieceOutcome, PieceSource } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { RequestHead } from "./serving_handles.ts";

/** What the stages of a request need. */
export interface StageGraphOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  router: PieceRouter;
  route: Route;
  head: RequestHead;
  /** The order at stages, 0 first. */
  rank: number;
  /** When the results have to be there for the latency objective. */
  onTimeAt: Millis;
  /** When the results have to be there at all. */
  dueAt: Millis;
  /** Expected time of each stage without waiting; 0 for one without pieces. */
  durations: readonly Millis[];
  /** How long a pool's endpoints keep results. */
  readLifetime: (pool: string) => Millis;
  /** The place of the endpoint that holds a result, if it is known. */
  readPlace: (result: string) => string | undefined;
  /** Where the last results will be fetched to. */
  place: string | undefined;
  /** Told of endpoints that ended during calls with pieces of the request. */
  noteEnds: (ends: readonly EndpointEnd[]) => void;
  signal: AbortSignal;
}

/** The results of a request's stages. */
export interface StageResults {
  /** Results of the stages that no other stage needs, in order. */
  readonly inputs: readonly string[];
  /** Frees all results; harmless when called again. */
  release(): void;
}

/** Runs all stages; after a failure nothing is left at any maker. */
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
  const made = new Map<number, readonly string[]>();
  const finished = new Set<number>();
  /** When the results of a stage lapse at their makers. */
  const lapses = new Map<number, Millis>();
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
      return Result.err(failStage(number, "the route has no such stage"));
    }
    const waitsFor = plan[number]?.waitsFor ?? stage.after;
    const earlier = await Promise.all(waitsFor.map(startStage));
    const failed = earlier.find((result) => result.isErr);
    if (failed?.isErr) return Result.err(failed.error);
    const inputs = stage.after.flatMap((needed) => made.get(needed) ?? []);
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
    const timeBehind = plan[number]?.timeBehind ?? 0;
    const usableUntil = Math.min(
      options.dueAt - timeBehind,
      ...stage.after.map((needed) => lapses.get(needed) ?? Infinity),
    );
    const reply = await router.run({
      pool: stage.pool,
      requestId: head.id,
      priority: options.rank,
      onTime: options.onTimeAt - timeBehind - startedAt,
      remaining: usableUntil - startedAt,
      ...choosePlace(inputs),
      resultBytes: stage.resultBytes,
      movedBytes: sumMoved(number, stage),
      ownsInputs: stage.after.every((needed) => listUsers(needed).length === 1),
      pieces: Array.from({ length: count }, (_, piece) => ({
        stage: number,
        piece,
        source,
      })),
    }, controller.signal);
    if (reply.isErr) return Result.err(reply.error);
    const { outcomes, freedInputs, ends } = reply.value;
    if (ends !== undefined) options.noteEnds(ends);
    // Freed once more, they would cost a message and a call to each maker.
    if (freedInputs) stage.after.forEach((needed) => made.delete(needed));
    const results = outcomes.flatMap((outcome) =>
      outcome.kind === "done" ? [outcome.result] : []
    );
    made.set(number, results);
    lapses.set(number, clock.now() + options.readLifetime(stage.pool));
    finished.add(number);
    releaseUsed();
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
      ...failStage(number, failed),
      retryAfterMs: spreadRetryAfter(reply.value.waits.late, options.random),
    });
  }

  /**
   * What one piece fetches, and its result if that goes to the engine. A result
   * for another stage need not move: that stage follows it to its place.
   */
  function sumMoved(number: number, { after, resultBytes }: RouteStage) {
    const fetched = after.reduce(
      (sum, needed) =>
        sum + (made.get(needed)?.length ?? 0) *
          (stages[needed]?.resultBytes ?? 0),
      0,
    );
    const isLast = !stages.some(({ after: inputs }) => inputs.includes(number));
    return fetched + (isLast ? resultBytes : 0);
  }

  /** Every piece fetches all inputs, which is more than its own result. */
  function choosePlace(inputs: readonly string[]): { place?: string } {
    const places = inputs.map(options.readPlace);
    const most = places.reduce<string | undefined>(
      (best, place) =>
        countEqual(places, place) > countEqual(places, best) ? place : best,
      places[0],
    );
    const place = most ?? options.place;
    return place === undefined ? {} : { place };
  }

  /** The stages that need the results of one. */
  function listUsers(number: number): number[] {
    return stages.flatMap(({ after }, user) =>
      after.includes(number) ? [user] : []
    );
  }

  /**
   * Frees the results that every stage which needs them has used. The room at
   * makers is short: results kept until the request's end block their pool.
   */
  function releaseUsed(): void {
    for (const number of [...made.keys()]) {
      const users = listUsers(number);
      const isUsed = users.length > 0 &&
        users.every((user) => finished.has(user));
      if (isUsed) releaseStage(number);
    }
  }

  function releaseStage(number: number): void {
    const pool = stages[number]?.pool;
    if (pool !== undefined) router.release(pool, made.get(number) ?? []);
    made.delete(number);
  }

  function release(): void {
    [...made.keys()].forEach(releaseStage);
  }

  const outcomes = await Promise.all(
    stages.map(async (_, number) => {
      const outcome = await startStage(number);
      // The others cannot help any more; their pieces only cost.
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
  const last = listLastStages(stages);
  const inputs = last.flatMap((number) => made.get(number) ?? []);
  return Result.ok({ inputs, release });
}

/** The stages that no other stage needs. */
function listLastStages(stages: readonly RouteStage[]): number[] {
  const needed = new Set(stages.flatMap(({ after }) => after));
  return stages.map((_, number) => number)
    .filter((number) => !needed.has(number));
}

function countEqual<T>(list: readonly T[], value: T): number {
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

/** A stage alone is not the request: that has not run. */
function failStage(number: number, message: string): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: `stage ${number}: ${message}`,
  });
}
