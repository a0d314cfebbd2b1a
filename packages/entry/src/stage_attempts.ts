/**
 * Runs one stage of a request: a first attempt and, within the retry budget, a
 * hedge if it is slow or a retry if it fails.
 *
 * A call that is not idempotent is retried only if the response to the first
 * attempt proves that it did not run.
 *
 * @module
 */
import type {
  AttemptEnd,
  EndpointInfo,
  Failure,
  Permit,
  PoolWork,
  RetryBudget,
  StagePool,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { RequestRun } from "./request_run.ts";

/** Decides when second attempts are made. */
export interface SecondAttemptPolicy {
  budget: RetryBudget;
  /** Delay after which a hedge starts; undefined for no hedging. */
  computeHedgeDelay(pool: StagePool, size: number): Millis | undefined;
  /** Time-out of one attempt; undefined to wait until the deadline. */
  attemptTimeout: Millis | undefined;
}

/** One attempt at one endpoint. */
export interface StageAttempt {
  endpoint: EndpointInfo;
  /** Counts from 1. */
  number: number;
  signal: AbortSignal;
}

/** Options of {@linkcode runAttempts}. */
export interface StageAttemptsOptions<T> {
  clock: Clock;
  metrics: EntryMetrics;
  run: RequestRun;
  poolName: string;
  pool: StagePool;
  work: PoolWork;
  policy: SecondAttemptPolicy;
  /** The number of the first attempt. */
  firstNumber?: number;
  /**
   * Whether the permit is returned with the result instead of being released,
   * because the work continues at the endpoint.
   */
  retainsPermit: boolean;
  send(attempt: StageAttempt): Promise<Result<T, Failure>>;
  onWasted(duration: Millis): void;
}

/** The result of the successful attempt. */
export interface StageSuccess<T> {
  value: T;
  permit: Permit;
  /** Number of the attempt. */
  number: number;
  startedAt: Millis;
}

interface RunningAttempt<T> {
  number: number;
  permit: Permit;
  startedAt: Millis;
  controller: AbortController;
  isHedged: boolean;
  ended: Promise<EndedAttempt<T>>;
}

interface EndedAttempt<T> {
  kind: "ended";
  attempt: RunningAttempt<T>;
  result: Result<T, Failure>;
}

interface HedgeDue {
  kind: "hedge_due";
}

const MAX_ATTEMPTS = 4;
const HEDGE_DUE: HedgeDue = { kind: "hedge_due" };

/** Runs a stage until an attempt succeeds or no further attempt is allowed. */
export async function runAttempts<T>(
  options: StageAttemptsOptions<T>,
): Promise<Result<StageSuccess<T>, Failure>> {
  const { pool, work, run, policy, metrics } = options;
  const running = new Set<RunningAttempt<T>>();
  const excluded: EndpointInfo[] = [];
  const firstNumber = options.firstNumber ?? 1;
  let number = firstNumber;
  policy.budget.deposit();

  function launch(permit: Permit): void {
    excluded.push(permit.endpoint);
    running.add(startAttempt(options, { permit, number: number++ }));
  }

  const first = await pool.acquire(work);
  if (first.isErr) return Result.err(first.error);
  launch(first.value);

  for (;;) {
    const event = await waitForEvent(options, running, number - firstNumber);
    if (event.kind === "hedge_due") {
      const permit = run.isIdempotent && policy.budget.balance >= 1
        ? pool.tryAcquire(work, excluded)
        : undefined;
      markHedged(running);
      if (permit === undefined || !policy.budget.withdraw()) {
        permit?.release("abandoned");
        continue;
      }
      metrics.countSecondAttempt("hedge");
      launch(permit);
      continue;
    }
    const { attempt, result } = event;
    running.delete(attempt);
    if (result.isOk) {
      for (const other of running) abandonAttempt(other, options);
      return Result.ok(
        acceptAttempt(attempt, { options, value: result.value }),
      );
    }
    rejectAttempt(attempt, { options, failure: result.error });
    if (running.size > 0) continue;
    const next = await acquireRetry(result.error, {
      options,
      excluded,
      attemptCount: number - firstNumber,
    });
    if (next === undefined) return Result.err(result.error);
    metrics.countSecondAttempt("retry");
    launch(next);
  }
}

function startAttempt<T>(
  { clock, run, send, policy }: StageAttemptsOptions<T>,
  { permit, number }: { permit: Permit; number: number },
): RunningAttempt<T> {
  const controller = new AbortController();
  const { signal } = run.deadline;
  const onAbort = () => controller.abort();
  if (signal.aborted) onAbort();
  else signal.addEventListener("abort", onAbort, { once: true });
  const stopTimer = policy.attemptTimeout === undefined
    ? undefined
    : clock.startTimer(policy.attemptTimeout, onAbort);
  const attempt: RunningAttempt<T> = {
    number,
    permit,
    startedAt: clock.now(),
    controller,
    isHedged: false,
    ended: send({
      endpoint: permit.endpoint,
      number,
      signal: controller.signal,
    }).then((result) => {
      stopTimer?.();
      signal.removeEventListener("abort", onAbort);
      return { kind: "ended", attempt, result };
    }),
  };
  return attempt;
}

async function waitForEvent<T>(
  { clock, pool, work, policy }: StageAttemptsOptions<T>,
  running: ReadonlySet<RunningAttempt<T>>,
  attemptCount: number,
): Promise<EndedAttempt<T> | HedgeDue> {
  const [newest] = [...running].slice(-1);
  const ended = [...running].map((attempt) => attempt.ended);
  const delay =
    newest === undefined || newest.isHedged || attemptCount >= MAX_ATTEMPTS
      ? undefined
      : policy.computeHedgeDelay(pool, work.size);
  if (delay === undefined) return await Promise.race(ended);
  let stopTimer = () => {};
  const hedge = new Promise<HedgeDue>((resolve) => {
    stopTimer = clock.startTimer(delay, () => resolve(HEDGE_DUE));
  });
  const event = await Promise.race([...ended, hedge]);
  stopTimer();
  return event;
}

function markHedged<T>(running: ReadonlySet<RunningAttempt<T>>): void {
  for (const attempt of running) attempt.isHedged = true;
}

function acceptAttempt<T>(
  { permit, number, startedAt }: RunningAttempt<T>,
  { options, value }: { options: StageAttemptsOptions<T>; value: T },
): StageSuccess<T> {
  const { clock, run, poolName, retainsPermit } = options;
  const duration = clock.now() - startedAt;
  run.recordVerdict("may_have_run");
  permit.recordLatency(duration);
  if (!retainsPermit) {
    run.costs.push({ pool: poolName, duration });
    permit.release("done");
  }
  return { value, permit, number, startedAt };
}

function abandonAttempt<T>(
  attempt: RunningAttempt<T>,
  { run, clock, onWasted }: StageAttemptsOptions<T>,
): void {
  // The call may still complete, but its result is no longer needed.
  run.recordVerdict("may_have_run");
  attempt.controller.abort();
  onWasted(clock.now() - attempt.startedAt);
  attempt.permit.release(attempt.isHedged ? "too_slow" : "abandoned");
}

function rejectAttempt<T>(
  { permit, startedAt }: RunningAttempt<T>,
  { options, failure }: { options: StageAttemptsOptions<T>; failure: Failure },
): void {
  const { run, clock, onWasted } = options;
  run.recordVerdict(failure.verdict);
  if (failure.verdict !== "not_run") onWasted(clock.now() - startedAt);
  // An attempt that was aborted because the request ended says nothing about its
  // endpoint. Counting it would eject every endpoint as slow under overload.
  const isRequestAborted = run.deadline.signal.aborted;
  permit.release(
    isRequestAborted ? "abandoned" : classifyAttempt(failure),
    failure.retryAfterMs,
  );
}

function classifyAttempt({ kind, verdict }: Failure): AttemptEnd {
  switch (kind) {
    case "unavailable":
      return verdict === "not_run" ? "unreachable" : "failing";
    case "overloaded":
      return "overloaded";
    case "stopping":
      return "abandoned";
    case "cancelled":
      return "too_slow";
    default:
      return "failing";
  }
}

async function acquireRetry<T>(
  failure: Failure,
  { options, excluded, attemptCount }: {
    options: StageAttemptsOptions<T>;
    excluded: readonly EndpointInfo[];
    attemptCount: number;
  },
): Promise<Permit | undefined> {
  const { run, pool, work, policy } = options;
  const mayRepeat = run.isIdempotent || failure.verdict === "not_run";
  if (!mayRepeat || attemptCount >= MAX_ATTEMPTS) return undefined;
  if (run.deadline.signal.aborted) return undefined;
  // A call that never ran put no load on the endpoints and needs no budget.
  const isBudgetExempt = failure.verdict === "not_run" &&
    failure.kind !== "overloaded";
  if (!isBudgetExempt && !policy.budget.withdraw()) return undefined;
  const other = pool.tryAcquire(work, excluded);
  if (other !== undefined) return other;
  const any = await pool.acquire(work);
  return any.isOk ? any.value : undefined;
}

/**
 * Creates the failure of a request whose deadline passed or whose caller
 * disconnected.
 */
export function createAbortedFailure(run: RequestRun): Failure {
  const isCallerGone = run.deadline.signal.reason === "caller_gone";
  return createFailure(isCallerGone ? "cancelled" : "deadline_exceeded", {
    verdict: run.verdict,
    message: isCallerGone ? "the caller went away" : "the deadline passed",
  });
}
