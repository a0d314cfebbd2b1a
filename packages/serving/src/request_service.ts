/**
 * The life of one request: admission, its stages, attempts at endpoints, and
 * the answer passed through.
 *
 * @module
 */
import type { Deadline, Failure, PoolSpec } from "@mangoreach/coordination";
import { createDeadline, createFailure } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { AttemptOutcome } from "./attempt_loop.ts";
import {
  chooseEndpoint,
  computeRetryAfter,
  readShortestWait,
  runAttempts,
  sumTokens,
} from "./attempt_loop.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import { admitRequest } from "./request_admission.ts";
import type { PassedRequest } from "./serving_handles.ts";
import type { ServingState } from "./serving_state.ts";
import { findHopeless } from "./stage_admission.ts";
import type { StageResults } from "./stage_graph.ts";
import { runStages } from "./stage_graph.ts";

/** A request with the way to its caller. */
export interface ServedRequest {
  request: PassedRequest;
  response: CallerResponse;
  /** When its head was read. */
  receivedAt: Millis;
}

/** What an engine needs at least after the stages, for a first event. */
const ENGINE_RESERVE: Millis = 150;
/** What a stage takes besides its calls: the way to its feeder and back. */
const STAGE_OVERHEAD: Millis = 40;

/** A queue that grew behind a request has emptied by then. */
const RETRY_AFTER_STAGE: Millis = 300;

/** Serves one request to its final answer. */
export async function serveRequest(
  state: ServingState,
  served: ServedRequest,
): Promise<void> {
  const { clock } = state;
  const { request, response, receivedAt } = served;
  const admitted = admitRequest(state, request.head);
  if (admitted.isErr) {
    response.refuse(admitted.error);
    return recordEnd(state, served, { failure: admitted.error });
  }
  const { route } = admitted.value;
  const elapsed = clock.now() - receivedAt;
  const deadline = createDeadline({
    clock,
    budget: Math.min(request.head.budget, route.timeout) - elapsed,
  });
  const onGone = () => deadline.cancel("caller_gone");
  response.gone.addEventListener("abort", onGone, { once: true });
  if (response.gone.aborted) onGone();
  const onShutdown = () => deadline.cancel("shutdown");
  state.shutdown.addEventListener("abort", onShutdown, { once: true });
  const outcome = await runAdmitted(state, served, {
    admitted: admitted.value,
    deadline,
  });
  deadline.release();
  state.shutdown.removeEventListener("abort", onShutdown);
  if (outcome.failure !== undefined && !response.isStarted) {
    response.refuse(outcome.failure);
  }
  recordEnd(state, served, { admitted: admitted.value, ...outcome });
}

interface AdmittedWork {
  admitted: AdmittedRoute;
  deadline: Deadline;
}

async function runAdmitted(
  state: ServingState,
  served: ServedRequest,
  { admitted, deadline }: AdmittedWork,
): Promise<AttemptOutcome> {
  const { request, response } = served;
  const { account } = admitted;
  const refusal = state.runWatch.findRefusal({ request, account });
  if (refusal !== undefined) return { failure: refusal, attempts: 0 };
  state.findBudget(admitted.pool).deposit();
  let results: StageResults | undefined;
  if (admitted.route.stages.length > 0) {
    const made = await runStagesFirst(state, served, { admitted, deadline });
    if (made.isErr) {
      return {
        failure: explainStageFailure(made.error, deadline),
        attempts: 0,
      };
    }
    results = made.value;
  }
  const outcome = await runAttempts(state, {
    request,
    response,
    admitted,
    deadline,
    results,
  });
  results?.release();
  return outcome;
}

/** Runs the stages near the engine that will probably serve the request. */
async function runStagesFirst(
  state: ServingState,
  { request, receivedAt }: ServedRequest,
  { admitted, deadline }: AdmittedWork,
): Promise<Result<StageResults, Failure>> {
  const { clock, log, router, random, callerElapsed, runWatch } = state;
  const { route, table, rank, account } = admitted;
  const size = sumTokens(request.head.promptParts);
  // What has just enough time left misses at the next small delay: in a burst
  // all would be served a little late. So the usual delay is reckoned with.
  const reserve = Math.max(
    ENGINE_RESERVE,
    state.findDelays(admitted.pool).estimateUsual(size),
  );
  const elapsed = callerElapsed.read(route.name, request.head.budget);
  const onTimeAt = receivedAt - elapsed + route.objective - reserve;
  const dueAt = deadline.at - ENGINE_RESERVE;
  const durations = route.stages.map(({ pool }, number) =>
    estimateStage(table.findPool(pool), request.head.pieceCounts[number] ?? 0)
  );
  // With nobody to run it, its stages would be made for nothing and its caller
  // would wait for a refusal.
  const stageTime = Math.max(0, ...durations);
  if (readShortestWait(state, admitted.pool) > stageTime) {
    return Result.err(createFailure("unavailable", {
      verdict: "not_run",
      message: "no endpoint takes work",
      retryAfterMs: computeRetryAfter(state, admitted.pool),
    }));
  }
  const place = chooseEndpoint(state, { request, admitted, avoid: [] })?.place;
  const hopeless = await findHopeless({
    stages: route.stages,
    durations,
    readWaits: (pool) => router.readWaits({ pool, priority: rank, place }),
    onTime: onTimeAt - clock.now(),
    remaining: dueAt - clock.now(),
    random,
  });
  if (hopeless !== undefined) return Result.err(hopeless);
  return runStages({
    clock,
    random,
    log,
    router,
    route,
    head: request.head,
    rank,
    onTimeAt,
    dueAt,
    durations,
    readLifetime: (pool) =>
      table.findPool(pool)?.batching?.resultLifetime ?? Infinity,
    readPlace: (result) => state.findPlace(state.readMaker(result)),
    place,
    noteEnds: (ends) => runWatch.noteStageEnds({ request, account }, ends),
    signal: deadline.signal,
  });
}

/** Fewest calls that the pieces fit in, one after the other. */
function estimateStage(pool: PoolSpec | undefined, pieces: number): Millis {
  if (pool?.batching === undefined || pieces === 0) return 0;
  const { callTime, pieceTime, maxPieces } = pool.batching;
  return STAGE_OVERHEAD + Math.ceil(pieces / maxPieces) * callTime +
    pieces * pieceTime;
}

/** A stage that failed for the deadline or the caller is told as that. */
function explainStageFailure(failure: Failure, deadline: Deadline): Failure {
  if (!deadline.hasPassed()) {
    return { retryAfterMs: RETRY_AFTER_STAGE, ...failure };
  }
  return createFailure("deadline_exceeded", {
    verdict: "not_run",
    message: "the stages were not done in time",
  });
}

function recordEnd(
  { clock, log, metrics, configAge, readTable, membership }: ServingState,
  { request, receivedAt, response }: ServedRequest,
  { admitted, failure, attempts, status, endpoint, end }:
    & Partial<AttemptOutcome>
    & { admitted?: AdmittedRoute },
): void {
  const took = clock.now() - receivedAt;
  const routeName = admitted?.route.name ?? "none";
  const kind = failure === undefined
    ? "request_answered"
    : failure.verdict === "not_run"
    ? "request_refused"
    : "request_failed";
  metrics.countRequest(routeName, kind);
  metrics.observeRequest(routeName, took / 1_000);
  log.record(kind, {
    request: request.head.id,
    route: routeName,
    pool: admitted?.pool,
    account: admitted?.account,
    priority: admitted?.priority,
    endpoint,
    attempts,
    status,
    end,
    took,
    budget: request.head.budget,
    configVersion: readTable()?.config.version,
    configAge: configAge.read(),
    peers: membership.list().length,
    reason: failure?.message,
    failure: failure?.kind,
    verdict: failure?.verdict,
    retryAfter: failure?.retryAfterMs,
    callerGone: response.gone.aborted || undefined,
  });
}
