/**
 * Serves one request: admits it, runs the stages of its route, and forwards it
 * to an endpoint and the answer to the caller.
 *
 * @module
 */
import type { Deadline, Failure, PoolSpec } from "@mangoreach/coordination";
import {
  computeStageTime,
  createDeadline,
  createFailure,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { AttemptOutcome } from "./attempt_loop.ts";
import { formatResumed, runAttempts } from "./attempt_loop.ts";
import {
  chooseEndpoint,
  computeRetryAfter,
  readShortestWait,
} from "./endpoint_choice.ts";
import type { CallerResponse } from "./caller_response.ts";
import { sumTokens } from "./expected_answer.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import { admitRequest, admitResumed } from "./request_admission.ts";
import type { ForwardedRequest } from "./platform_interfaces.ts";
import type { ServingState } from "./serving_state.ts";
import { findInfeasible } from "./stage_admission.ts";
import type { StageResults } from "./stage_graph.ts";
import { runStages } from "./stage_graph.ts";
import { createStoppingFailure, findStopRefusal } from "./stop_admission.ts";
import type { StopOutcome } from "./stop_window.ts";

/** A request with the response to its caller. */
export interface RequestContext {
  request: ForwardedRequest;
  response: CallerResponse;
  /** When its head was read. */
  receivedAt: Millis;
}

/** Minimum time of an engine after the stages until its first event. */
const ENGINE_RESERVE: Millis = 150;
/**
 * Time of a stage besides calls with its own pieces: to its dispatcher and back,
 * until an endpoint is free, and for the pieces of others in its calls.
 */
const STAGE_OVERHEAD: Millis = 100;

/** Share of the recent requests whose stages took no longer than estimated. */
const USUAL_SHARE = 0.8;

/** A queue that grew while the request waited has emptied by then. */
const RETRY_AFTER_STAGE_FAILURE: Millis = 300;

/** Serves one request until its final answer. */
export async function serveRequest(
  state: ServingState,
  context: RequestContext,
): Promise<void> {
  const { clock } = state;
  const { request, response, receivedAt } = context;
  const admitted = admitRequest(state, request.head);
  if (admitted.isErr) {
    response.refuse(admitted.error);
    return recordOutcome(state, context, { failure: admitted.error });
  }
  const { route } = admitted.value;
  const admittedAt = clock.now();
  const elapsed = admittedAt - receivedAt;
  const deadline = createDeadline({
    clock,
    budget: Math.min(request.head.budget, route.timeout) - elapsed,
  });
  const waited = route.stages.length === 0
    ? undefined
    : state.callerElapsed.read(route.name, request.head.budget);
  const onDisconnected = () => deadline.cancel("caller_gone");
  response.disconnected.addEventListener("abort", onDisconnected, {
    once: true,
  });
  if (response.disconnected.aborted) onDisconnected();
  const onShutdown = () => deadline.cancel("shutdown");
  state.shutdown.addEventListener("abort", onShutdown, { once: true });
  const outcome = await runRequest(state, context, {
    admitted: admitted.value,
    admittedAt,
    waited,
    deadline,
  });
  deadline.release();
  state.shutdown.removeEventListener("abort", onShutdown);
  if (outcome.failure !== undefined && !response.isStarted) {
    response.refuse(outcome.failure);
  }
  recordOutcome(state, context, {
    admitted: admitted.value,
    waited,
    isCutOff: deadline.signal.reason === "shutdown",
    ...outcome,
  });
}

interface AdmittedRequest {
  admitted: AdmittedRoute;
  /** When the whole request had been read. */
  admittedAt: Millis;
  /** Estimated time since the caller's first attempt; undefined without stages. */
  waited: Millis | undefined;
  deadline: Deadline;
}

/** Finds out first where a resumed stream may go on. */
async function runRequest(
  state: ServingState,
  context: RequestContext,
  { admitted, ...rest }: AdmittedRequest,
): Promise<AttemptOutcome> {
  const { head } = context.request;
  const { route, account } = admitted;
  if (head.resumed === undefined || route.kind !== "stream") {
    return runAdmittedRequest(state, context, { admitted, ...rest });
  }
  const target = await state.resumption.findTarget({ head, route, account });
  if (target.isErr) return { failure: target.error, attempts: 0 };
  return runAdmittedRequest(state, context, {
    admitted: admitResumed(admitted, target.value),
    ...rest,
  });
}

async function runAdmittedRequest(
  state: ServingState,
  context: RequestContext,
  admittedRequest: AdmittedRequest,
): Promise<AttemptOutcome> {
  const { admitted, admittedAt, deadline } = admittedRequest;
  const { request, response } = context;
  const { account } = admitted;
  const refusal = state.crashDetector.findRefusal({ request, account });
  if (refusal !== undefined) return { failure: refusal, attempts: 0 };
  state.findBudget(admitted.pool).deposit();
  let results: StageResults | undefined;
  if (admitted.route.stages.length > 0) {
    const stopWatching = watchStop(state, context, admittedRequest);
    const stageResults = await runRouteStages(state, context, admittedRequest);
    stopWatching();
    if (stageResults.isErr) {
      const failure = deadline.signal.reason === "stopping"
        ? createStoppingFailure(state)
        : explainStageFailure(stageResults.error, deadline);
      return { failure, attempts: 0 };
    }
    results = stageResults.value;
  }
  const outcome = await runAttempts(state, {
    request,
    response,
    admittedAt,
    admitted,
    deadline,
    results,
  });
  results?.release();
  return outcome;
}

/**
 * Abandons a request before it is sent if this entry is told to stop and could
 * not finish its answer; returns a function that ends the watch.
 */
function watchStop(
  state: ServingState,
  { request }: RequestContext,
  { admitted, admittedAt, deadline }: AdmittedRequest,
): () => void {
  const { begun } = state.stopWindow;
  const { head } = request;
  const onBegun = () => {
    const refusal = findStopRefusal(state, {
      head,
      admittedAt,
      admitted,
      deadline,
    });
    if (refusal !== undefined) deadline.cancel("stopping");
  };
  begun.addEventListener("abort", onBegun, { once: true });
  return () => begun.removeEventListener("abort", onBegun);
}

/** Runs the stages, if possible in the same place as the likely engine. */
async function runRouteStages(
  state: ServingState,
  { request, receivedAt }: RequestContext,
  { admitted, admittedAt, waited = 0, deadline }: AdmittedRequest,
): Promise<Result<StageResults, Failure>> {
  const { clock, log, router, random, crashDetector } = state;
  const { route, table, rank, account } = admitted;
  const sharedAccount = state.accountShares ? account : undefined;
  const promptTokens = sumTokens(request.head.promptParts);
  // With just enough time left, a request misses its objective at the smallest
  // delay, and in a burst all would be slightly late. So the reserve includes
  // the usual delay of the pool.
  const reserve = Math.max(
    ENGINE_RESERVE,
    state.findDelays(admitted.pool).estimateUsual(promptTokens),
  );
  const objectiveAt = receivedAt - waited + route.objective - reserve;
  const deadlineAt = deadline.at - ENGINE_RESERVE;
  const durations = route.stages.map(({ pool }, number) =>
    estimateStageTime(
      table.findPool(pool),
      request.head.pieceCounts[number] ?? 0,
    )
  );
  const expected = {
    firstAfter: computeStageTime(route.stages, durations),
    tokens: 0,
  };
  const stageModel = state.findStageCompletion(route.name);
  const stopping = findStopRefusal(state, {
    head: request.head,
    admittedAt,
    admitted,
    deadline,
    estimateDelay: () =>
      stageModel.estimate(expected, { share: USUAL_SHARE }) ??
        expected.firstAfter,
  });
  if (stopping !== undefined) return Result.err(stopping);
  // If no endpoint accepts the request by the time its stages end, running them
  // would be wasted, and the caller would wait just to be refused.
  const stageTime = Math.max(0, ...durations);
  if (readShortestWait(state, admitted) > stageTime) {
    return Result.err(createFailure("unavailable", {
      verdict: "not_run",
      message: "no endpoint takes work",
      retryAfterMs: computeRetryAfter(state, admitted),
    }));
  }
  const place = chooseEndpoint(state, { request, admitted, avoid: [] })?.place;
  const infeasible = await findInfeasible({
    stages: route.stages,
    durations,
    readWaits: (pool) =>
      router.readWaits({ pool, priority: rank, place, account: sharedAccount }),
    onTime: objectiveAt - clock.now(),
    remaining: deadlineAt - clock.now(),
    random,
  });
  if (infeasible !== undefined) return Result.err(infeasible);
  const startedAt = clock.now();
  const results = await runStages({
    clock,
    random,
    log,
    router,
    route,
    head: request.head,
    priority: rank,
    account: sharedAccount,
    objectiveAt,
    deadlineAt,
    durations,
    readLifetime: (pool) =>
      table.findPool(pool)?.batching?.resultLifetime ?? Infinity,
    readPlace: (result) => state.findPlace(state.findProducer(result)),
    place,
    recordCrashes: (ends) =>
      crashDetector.recordStageCrashes({ request, account }, ends),
    signal: deadline.signal,
  });
  const took = clock.now() - startedAt;
  stageModel.record({ ...expected, first: took, took, isWhole: results.isOk });
  return results;
}

/** Estimates a stage's time with as few calls as possible, run in sequence. */
function estimateStageTime(pool: PoolSpec | undefined, pieces: number): Millis {
  if (pool?.batching === undefined || pieces === 0) return 0;
  const { callTime, pieceTime, maxPieces } = pool.batching;
  return STAGE_OVERHEAD + Math.ceil(pieces / maxPieces) * callTime +
    pieces * pieceTime;
}

/** Reports a stage failure after the deadline as `deadline_exceeded`. */
function explainStageFailure(failure: Failure, deadline: Deadline): Failure {
  if (!deadline.hasPassed()) {
    return { retryAfterMs: RETRY_AFTER_STAGE_FAILURE, ...failure };
  }
  return createFailure("deadline_exceeded", {
    verdict: "not_run",
    message: "the stages were not done in time",
  });
}

/** How a request ended, as it is recorded. */
interface RecordedOutcome extends Partial<AttemptOutcome> {
  admitted?: AdmittedRoute;
  /** See {@linkcode AdmittedRequest}. */
  waited?: Millis | undefined;
  /** Whether it was ended because the process exits. */
  isCutOff?: boolean;
}

function classifyStopOutcome(
  { failure, end, isCutOff = false }: RecordedOutcome,
): StopOutcome {
  if (failure?.verdict === "not_run") return "refused";
  if (failure === undefined && end === "complete") return "finished";
  return isCutOff ? "cut" : "failed";
}

function recordOutcome(
  state: ServingState,
  { request, receivedAt, response }: RequestContext,
  outcome: RecordedOutcome,
): void {
  const { clock, log, metrics, configAge, readTable, membership } = state;
  const { admitted, waited, failure, attempts, status, endpoint, end } =
    outcome;
  const routeName = admitted?.route.name ?? "none";
  state.stopWindow.recordEnd(classifyStopOutcome(outcome));
  const mayRetry = failure !== undefined && !response.disconnected.aborted;
  if (mayRetry && waited === 0) state.callerElapsed.recordFailed(routeName);
  const took = clock.now() - receivedAt;
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
    resumes: formatResumed(request.head),
    attempts,
    status,
    end,
    took,
    budget: request.head.budget,
    ...(waited === undefined || waited === 0 ? {} : { waited }),
    configVersion: readTable()?.config.version,
    configAge: configAge.read(),
    peers: membership.list().length,
    reason: failure?.message,
    failure: failure?.kind,
    verdict: failure?.verdict,
    retryAfter: failure?.retryAfterMs,
    callerGone: response.disconnected.aborted || undefined,
  });
}
