/**
 * One entry's view of a pool of endpoints: a queue, an adaptive concurrency
 * limit for each endpoint, and the choice of the endpoint.
 *
 * @module
 */
import type { CancelTimer, Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import type { Deadline } from "./deadline.ts";
import type { EndpointInfo, LoadReport } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import type { EndpointHealth } from "./endpoint_health.ts";
import { createEndpointHealth, ejectSlowest } from "./endpoint_health.ts";
import type { EventRate } from "./event_rate.ts";
import { createEventRate } from "./event_rate.ts";
import type { Failure } from "./failure.ts";
import { createFailure } from "./failure.ts";
import { createLatencyModel } from "./latency_model.ts";
import type { SendAllowance } from "./send_allowance.ts";
import type { ChooseEndpoint, EndpointView } from "./routing.ts";
import { estimateOtherInFlight } from "./routing.ts";
import type { WorkClass } from "./work_queue.ts";
import { createWorkQueue } from "./work_queue.ts";

/** The work of one stage of a request in a pool. */
export interface PoolWork {
  workClass: WorkClass;
  account: string;
  /** Input size, in the unit that predicts the pool's service time best. */
  size: number;
  deadline: Deadline;
  /** Minimum time of the stages after this one. */
  reservedTime: Millis;
  /** Returns the share of one service time that a cached prefix saves there. */
  affinity?: (endpoint: EndpointInfo) => number;
}

/** How an attempt at an endpoint ended. */
export type AttemptEnd =
  | "done"
  | "unreachable"
  | "failing"
  | "overloaded"
  /** Cancelled by this entry; says nothing about the endpoint. */
  | "abandoned"
  /** Cancelled by this entry because the endpoint was slower than expected. */
  | "too_slow";

/** A permit for one attempt at one endpoint. Must be released once. */
export interface Permit {
  readonly endpoint: EndpointInfo;
  /** Records the time until the answer, or the first part of a streamed one. */
  recordLatency(latency: Millis): void;
  /**
   * Ends the attempt; `pause` is the time for which the endpoint refuses work.
   */
  release(end: AttemptEnd, pause?: Millis): void;
}

/** The pool's policy; benchmarks pass in baselines for comparison. */
export interface PoolPolicy {
  choose: ChooseEndpoint;
  /** Whether work is queued here for a free slot, in order of priority. */
  hasLimits: boolean;
  /** Whether slow and dead endpoints are ejected. */
  hasEjection: boolean;
}

/** Options of {@linkcode createStagePool}. */
export interface StagePoolOptions {
  clock: Clock;
  policy: PoolPolicy;
  estimateAttainment: (className: string) => number;
  /** Called when an endpoint is ejected. */
  onEjected: (endpoint: EndpointInfo, cause: string) => void;
  /**
   * Limits what is sent to endpoints that ask for less; unlimited if omitted.
   */
  allowance?: Pick<
    SendAllowance,
    "maySend" | "recordSend" | "recordEnd" | "readShortestWait"
  >;
  /** Called when an endpoint refuses work for some time. */
  onPause?: (endpoint: EndpointInfo, pause: Millis) => void;
}

/** The state of a pool, for metrics. */
export interface PoolStatus {
  queued: number;
  inFlight: number;
  endpoints: EndpointStatus[];
}

/** The state of one endpoint, for metrics. */
export interface EndpointStatus {
  id: string;
  inFlight: number;
  limit: number;
  slowness: number;
  isEjected: boolean;
}

/** A pool of endpoints. */
export interface StagePool {
  /** Replaces the set of endpoints that accept new work. */
  refresh(endpoints: readonly EndpointInfo[]): void;
  recordReport(endpointKey: string, report: LoadReport): void;
  /** Waits for a slot; a failure always has the verdict `not_run`. */
  acquire(work: PoolWork): Promise<Result<Permit, Failure>>;
  /**
   * Takes a slot without waiting at an endpoint not in `excluded`, if one is
   * free.
   */
  tryAcquire(work: PoolWork, excluded: readonly EndpointInfo[]):
    | Permit
    | undefined;
  /** Estimates the queueing time of new work of a priority. */
  estimateWait(priority: number): Millis;
  /** Estimates the current duration of one attempt of a priority. */
  estimateService(size: number, priority: number): Millis;
  /** Estimates the duration of one attempt without queueing at the endpoint. */
  estimateUnloaded(size: number): Millis;
  /** Estimates the 95th percentile of the duration of one attempt. */
  estimateSlow(size: number): Millis;
  readStatus(): PoolStatus;
}

/** The state of one endpoint of the pool. */
interface Slot extends EndpointView {
  info: EndpointInfo;
  inFlight: number;
  report: LoadReport | undefined;
  inFlightAtReport: number;
  limit: ConcurrencyLimit;
  health: EndpointHealth;
  readonly slowdown: number;
}

interface Waiter extends PoolWork {
  settle(outcome: Result<Permit, Failure>): void;
}

interface LatencyRatio {
  value: number;
  at: Millis;
}

const INITIAL_LIMIT = 4;
const MAX_LIMIT = 64;
const MAX_QUEUED = 2_000;
const EJECTION_CHECK_INTERVAL: Millis = 200;
/** How often queued work retries while no endpoint can be used. */
const RECHECK_INTERVAL: Millis = 50;
/** Load reports older than this are ignored. */
const MAX_REPORT_AGE: Millis = 5_000;
/**
 * What the highest priority may queue at an endpoint, in multiples of its
 * slots.
 */
const MAX_QUEUED_FACTOR = 3;
/** The limit in the status is the one for the least important work. */
const LOWEST_PRIORITY = 100;
/** With less work waiting, the rate of grants is not significant. */
const MIN_WAITING = 3;
/** Grants a second assumed if none were seen recently. */
const MIN_GRANT_RATE = 0.2;
const RATIO_WEIGHT = 0.1;
const RATIO_DECAY_TIME: Millis = 3_000;
const DURATION_WEIGHT = 0.05;
const RETRY_AFTER_NO_ENDPOINT: Millis = 1_000;

/** Creates a pool without endpoints. */
export function createStagePool(
  { clock, policy, estimateAttainment, onEjected, allowance, onPause }:
    StagePoolOptions,
): StagePool {
  const slots = new Map<string, Slot>();
  const inProgress = new Map<string, number>();
  const latencies = createLatencyModel();
  /** Recent latency relative to the unloaded latency, by priority. */
  const ratios = new Map<number, LatencyRatio>();
  const queue = createWorkQueue<Waiter>({
    estimateAttainment,
    countInProgress: (account) => inProgress.get(account) ?? 0,
  });
  /** Slots granted a second, by priority. */
  const grants = new Map<number, EventRate>();
  let inFlight = 0;
  let meanDuration: Millis = 0;
  let lastEjectionCheck = clock.now();
  let stopRecheck: CancelTimer | undefined;

  function refresh(endpoints: readonly EndpointInfo[]): void {
    const keys = new Set<string>();
    for (const info of endpoints) {
      const key = formatEndpointKey(info);
      keys.add(key);
      const slot = slots.get(key);
      if (slot === undefined) slots.set(key, createSlot(info));
      else slot.info = info;
    }
    // Attempts in progress at a removed endpoint continue and keep its slot.
    for (const key of slots.keys()) if (!keys.has(key)) slots.delete(key);
    dispatch();
  }

  function createSlot(info: EndpointInfo): Slot {
    const health = createEndpointHealth(clock);
    return {
      info,
      inFlight: 0,
      report: undefined,
      inFlightAtReport: 0,
      limit: createConcurrencyLimit({
        clock,
        start: INITIAL_LIMIT,
        max: MAX_LIMIT,
      }),
      health,
      get slowdown() {
        return health.slowdown;
      },
    };
  }

  function listHealthy(): Slot[] {
    const all = [...slots.values()];
    if (!policy.hasEjection) return all;
    const healthy = all.filter(({ health }) => !health.isEjected());
    // If all are ejected, all are used: a connection refused by a dead endpoint
    // costs little, and the first success shows that it is back.
    return healthy.length > 0 ? healthy : all;
  }

  function findFree(
    { workClass }: PoolWork,
    excluded: readonly EndpointInfo[],
  ): Slot[] {
    return listHealthy().filter((slot) =>
      !excluded.includes(slot.info) &&
      (allowance?.maySend(slot.info) ?? true) &&
      (!policy.hasLimits ||
        slot.inFlight < readLimit(slot, workClass.priority))
    );
  }

  /**
   * The limit of an endpoint that reports its slots is its slots less the work
   * of other entries by its last report. Work of a higher priority may be
   * queued there beyond that, because such endpoints honour priorities: if it
   * waited here, it would be behind work of a lower priority that other entries
   * have there. For endpoints without reports the adaptive limit applies.
   */
  function readLimit(slot: Slot, priority: number): number {
    const { report } = slot;
    const now = clock.now();
    if (report === undefined || now - report.takenAt > MAX_REPORT_AGE) {
      return slot.limit.value;
    }
    const room = report.slots * (1 + MAX_QUEUED_FACTOR / priority ** 3) -
      estimateOtherInFlight(slot, now);
    return Math.max(1, Math.floor(room));
  }

  function choose(
    work: PoolWork,
    excluded: readonly EndpointInfo[],
  ): Slot | undefined {
    const free = findFree(work, excluded);
    const { affinity } = work;
    return policy.choose(free, affinity === undefined ? {} : { affinity });
  }

  function grant(slot: Slot, work: PoolWork): Permit {
    const startedAt = clock.now();
    let isReleased = false;
    recordGrant(work.workClass);
    slot.inFlight++;
    inFlight++;
    allowance?.recordSend(slot.info);
    inProgress.set(work.account, (inProgress.get(work.account) ?? 0) + 1);

    function recordLatency(latency: Millis): void {
      const ratio = latencies.record(work.size, latency);
      const { priority } = work.workClass;
      const known = ratios.get(priority)?.value ?? 1;
      const value = known + RATIO_WEIGHT * (ratio - known);
      ratios.set(priority, { value, at: clock.now() });
      slot.limit.record(ratio, slot.inFlight);
      slot.health.recordSuccess(ratio);
    }

    function release(end: AttemptEnd, pause?: Millis): void {
      if (isReleased) return;
      isReleased = true;
      if (pause !== undefined) onPause?.(slot.info, pause);
      slot.inFlight--;
      inFlight--;
      removeInProgress(work.account);
      allowance?.recordEnd(slot.info, end === "overloaded");
      const duration = clock.now() - startedAt;
      if (end === "done") recordDuration(duration);
      recordOutcome(slot, { end, size: work.size, duration });
      dispatch();
    }

    return { endpoint: slot.info, recordLatency, release };
  }

  function recordGrant({ priority }: WorkClass): void {
    const rate = grants.get(priority) ?? createEventRate(clock);
    grants.set(priority, rate);
    rate.record();
  }

  function recordDuration(duration: Millis): void {
    meanDuration = meanDuration === 0
      ? duration
      : meanDuration + DURATION_WEIGHT * (duration - meanDuration);
  }

  function removeInProgress(account: string): void {
    const count = (inProgress.get(account) ?? 1) - 1;
    if (count === 0) inProgress.delete(account);
    else inProgress.set(account, count);
  }

  function recordOutcome(
    slot: Slot,
    { end, size, duration }: {
      end: AttemptEnd;
      size: number;
      duration: Millis;
    },
  ): void {
    const wasEjected = slot.health.isEjected();
    if (end === "unreachable" || end === "failing") {
      slot.health.recordFailure(end);
    }
    if (end === "overloaded") slot.limit.recordOverload();
    if (end === "too_slow") {
      slot.limit.recordOverload();
      slot.health.recordSuccess(duration / latencies.estimateUnloaded(size));
    }
    if (!wasEjected && slot.health.isEjected()) {
      onEjected(slot.info, end);
    }
    checkSlowest();
  }

  function checkSlowest(): void {
    const now = clock.now();
    if (!policy.hasEjection) return;
    if (now - lastEjectionCheck < EJECTION_CHECK_INTERVAL) return;
    lastEjectionCheck = now;
    const all = [...slots.values()];
    const ejected = ejectSlowest(all.map(({ health }) => health));
    const slot = all.find(({ health }) => health === ejected);
    if (slot !== undefined) onEjected(slot.info, "slow");
  }

  function dispatch(): void {
    for (;;) {
      const waiter = queue.peek();
      if (waiter === undefined) return;
      const slot = choose(waiter, []);
      if (slot === undefined && slots.size > 0) return startRecheck();
      queue.remove(waiter);
      waiter.settle(
        slot === undefined
          ? Result.err(failNoEndpoint())
          : Result.ok(grant(slot, waiter)),
      );
    }
  }

  function startRecheck(): void {
    if (stopRecheck !== undefined) return;
    stopRecheck = clock.startTimer(RECHECK_INTERVAL, () => {
      stopRecheck = undefined;
      dispatch();
    });
  }

  function acquire(work: PoolWork): Promise<Result<Permit, Failure>> {
    if (slots.size === 0) return Promise.resolve(Result.err(failNoEndpoint()));
    // New work must not overtake queued work.
    const slot = queue.size === 0 ? choose(work, []) : undefined;
    if (slot !== undefined) {
      return Promise.resolve(Result.ok(grant(slot, work)));
    }
    const shortest = readShortestWait();
    if (shortest > computeMaxWait(work)) {
      return Promise.resolve(Result.err(failThrottled(shortest)));
    }
    if (queue.size >= MAX_QUEUED) {
      return Promise.resolve(Result.err(failOverloaded("the queue is full")));
    }
    return waitForSlot(work);
  }

  /** Returns the time until some endpoint accepts a call by its own report. */
  function readShortestWait(): Millis {
    const endpoints = [...slots.values()].map(({ info }) => info);
    return allowance?.readShortestWait(endpoints) ?? 0;
  }

  /** Returns how long work may wait and still meet its deadline. */
  function computeMaxWait({ deadline, reservedTime, size }: PoolWork): Millis {
    return deadline.remaining() - reservedTime -
      latencies.estimateUnloaded(size);
  }

  /** Names the wait of this entry; other entries may be able to call sooner. */
  function failThrottled(wait: Millis): Failure {
    return createFailure("overloaded", {
      verdict: "not_run",
      message: "no endpoint takes work",
      retryAfterMs: Number.isFinite(wait) ? wait : RETRY_AFTER_NO_ENDPOINT,
    });
  }

  function waitForSlot(work: PoolWork): Promise<Result<Permit, Failure>> {
    const { deadline } = work;
    return new Promise((resolve) => {
      const stopTimer = clock.startTimer(
        computeMaxWait(work),
        () => reject(failOverloaded("no endpoint came free in time")),
      );
      const onAbort = () => reject(failCancelled());
      const waiter: Waiter = {
        ...work,
        settle(outcome) {
          stopTimer();
          deadline.signal.removeEventListener("abort", onAbort);
          resolve(outcome);
        },
      };
      function reject(failure: Failure): void {
        queue.remove(waiter);
        waiter.settle(Result.err(failure));
      }
      deadline.signal.addEventListener("abort", onAbort, { once: true });
      queue.add(waiter);
      dispatch();
    });
  }

  function failOverloaded(message: string): Failure {
    return createFailure("overloaded", {
      verdict: "not_run",
      message,
      retryAfterMs: Math.max(RETRY_AFTER_NO_ENDPOINT, estimateWait(Infinity)),
    });
  }

  function tryAcquire(
    work: PoolWork,
    excluded: readonly EndpointInfo[],
  ): Permit | undefined {
    if (queue.size > 0) return undefined;
    const slot = choose(work, excluded);
    return slot && grant(slot, work);
  }

  /** Goes by priority, since some endpoints serve high priorities faster. */
  function estimateService(size: number, priority: number): Millis {
    const unloaded = latencies.estimateUnloaded(size);
    const known = ratios.get(priority);
    if (known === undefined) return unloaded;
    // Refused work yields no samples, so without decay a high estimate would
    // cause refusals for ever.
    const trust = Math.exp((known.at - clock.now()) / RATIO_DECAY_TIME);
    return unloaded * (1 + (known.value - 1) * trust);
  }

  /**
   * Free slots go to higher priorities first, so the estimate is based on the
   * recent grants of this priority and not on the total throughput.
   */
  function estimateWait(priority: number): Millis {
    if (queue.size === 0 || inFlight === 0) return 0;
    const byDuration = queue.countAhead(priority) * meanDuration / inFlight;
    const same = queue.countAtPriority(priority);
    if (same < MIN_WAITING) return byDuration;
    const rate = Math.max(MIN_GRANT_RATE, grants.get(priority)?.read() ?? 0);
    return Math.max(byDuration, 1_000 * same / rate);
  }

  function recordReport(endpointKey: string, report: LoadReport): void {
    const slot = slots.get(endpointKey);
    if (slot === undefined) return;
    slot.report = report;
    slot.inFlightAtReport = slot.inFlight;
  }

  function readStatus(): PoolStatus {
    const endpoints = [...slots.values()].map((slot) => ({
      id: slot.info.id,
      inFlight: slot.inFlight,
      limit: readLimit(slot, LOWEST_PRIORITY),
      slowness: slot.slowdown,
      isEjected: slot.health.isEjected(),
    }));
    return { queued: queue.size, inFlight, endpoints };
  }

  return {
    refresh,
    recordReport,
    acquire,
    tryAcquire,
    estimateWait,
    estimateService,
    estimateUnloaded: latencies.estimateUnloaded,
    estimateSlow: latencies.estimateSlow,
    readStatus,
  };
}

function failNoEndpoint(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "no endpoint of the pool takes new work",
    retryAfterMs: RETRY_AFTER_NO_ENDPOINT,
  });
}

function failCancelled(): Failure {
  return createFailure("cancelled", {
    verdict: "not_run",
    message: "the request was given up while it waited",
  });
}
