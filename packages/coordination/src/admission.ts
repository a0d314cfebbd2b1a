/**
 * Admission control: refuses requests that cannot be answered in time before
 * they cost anything, and tells callers when to retry.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { AdmittedEnd, ClassLimit } from "./class_limit.ts";
import { createClassLimit } from "./class_limit.ts";
import type { Failure } from "./failure.ts";
import { createFailure } from "./failure.ts";
import type { WorkClass } from "./work_queue.ts";

/** What admission needs to know about the pool of one stage. */
export interface StageForecast {
  /** Expected queueing time at this priority. */
  wait: Millis;
  /** Expected service time of the stage under the present load. */
  service: Millis;
  /** Service time of the stage without load. */
  unloaded: Millis;
}

/** A request that asks for admission. */
export interface AdmissionRequest {
  workClass: WorkClass;
  /** Time left until its deadline. */
  remaining: Millis;
  /** Forecasts of its stages, in order. */
  stages: readonly StageForecast[];
}

/** Options of {@linkcode createAdmission}. */
export interface AdmissionOptions {
  clock: Clock;
  random: () => number;
  /** Maximum number of requests in progress at one entry; bounds its memory. */
  maxInProgress: number;
  /** Returns the lowest published priority, which has the largest number. */
  readLowestPriority: () => number;
}

/** Decides whether one entry admits new requests. */
export interface Admission {
  readonly inProgress: number;
  /**
   * The highest priority that missed a deadline here recently, or 0 if there is
   * none. It is propagated to other entries, because the work to be shed may be
   * at any of them.
   */
  readonly strainedPriority: number;
  /**
   * Sheds load from classes below a priority that misses deadlines at another
   * entry.
   */
  shedBelow(strainedPriority: number): void;
  /** Admits a request, or refuses it with the verdict `not_run`. */
  admit(request: AdmissionRequest): Result<AdmittedRequest, Failure>;
}

/** A request that was admitted; `end` must be called once. */
export interface AdmittedRequest {
  end(how: AdmittedEnd): void;
}

interface LimitedClass {
  workClass: WorkClass;
  limit: ClassLimit;
}

/**
 * Forecasts are inexact; a request is refused only if it is expected to exceed
 * its deadline by this factor.
 */
const FORECAST_SLACK = 1.1;
/** How long a missed deadline is reported to other entries. */
const MISS_REPORT_TTL: Millis = 2_000;
const MIN_RETRY_AFTER: Millis = 250;
const MAX_RETRY_AFTER: Millis = 30_000;

/** Creates the admission control of one entry. */
export function createAdmission(
  { clock, random, maxInProgress, readLowestPriority }: AdmissionOptions,
): Admission {
  const classes = new Map<string, LimitedClass>();
  /** When each priority last missed a deadline here. */
  const missedAt = new Map<number, Millis>();
  let inProgress = 0;

  function findLimit(workClass: WorkClass): ClassLimit {
    const known = classes.get(workClass.name);
    if (known !== undefined) {
      // The priority may change with the configuration; the limit is kept.
      known.workClass = workClass;
      return known.limit;
    }
    const limit = createClassLimit(clock);
    classes.set(workClass.name, { workClass, limit });
    return limit;
  }

  function admit(request: AdmissionRequest): Result<AdmittedRequest, Failure> {
    if (inProgress >= maxInProgress) {
      return Result.err(refuse("the entry is full", MIN_RETRY_AFTER));
    }
    const forecast = request.stages.reduce(
      (sum, { wait, service }) => sum + wait + service,
      0,
    );
    const unloadedTotal = request.stages.reduce(
      (sum, s) => sum + s.unloaded,
      0,
    );
    if (unloadedTotal > request.remaining) {
      return Result.err(createFailure("deadline_exceeded", {
        verdict: "not_run",
        message: "the deadline is shorter than the stages take without load",
      }));
    }
    if (forecast > request.remaining * FORECAST_SLACK) {
      const message = "the deadline cannot be met under the present load";
      return Result.err(refuse(message, forecast - request.remaining));
    }
    const limit = findLimit(request.workClass);
    if (!limit.hasRoom()) {
      const message = "the class has no more room under the present load";
      return Result.err(refuse(message, request.remaining / 2));
    }
    return Result.ok(begin(request.workClass, limit));
  }

  /**
   * Lowers the limit of the lowest priority class that has work here. The class
   * that missed its deadline is reduced itself only if it is the lowest
   * published one: the work that took its place may be at another entry.
   */
  function recordMiss(priority: number): void {
    missedAt.set(priority, clock.now());
    shedLowest(Math.min(priority + 1, readLowestPriority()));
  }

  /**
   * Lowers the limit of the lowest active class with the priority number
   * `highest` or above.
   */
  function shedLowest(highest: number): void {
    const lowestFirst = [...classes.values()]
      .filter(({ workClass, limit }) =>
        workClass.priority >= highest &&
        (limit.inProgress > 0 || limit.value < 1)
      )
      .sort((a, b) => b.workClass.priority - a.workClass.priority);
    for (const { limit } of lowestFirst) if (limit.shrink()) return;
  }

  function begin(
    { priority }: WorkClass,
    limit: ClassLimit,
  ): AdmittedRequest {
    let hasEnded = false;
    inProgress++;
    limit.begin();
    return {
      end(how) {
        if (hasEnded) return;
        hasEnded = true;
        inProgress--;
        limit.end(how);
        if (how.kind === "missed") recordMiss(priority);
      },
    };
  }

  function refuse(message: string, excess: Millis): Failure {
    return createFailure("overloaded", {
      verdict: "not_run",
      message,
      retryAfterMs: spreadRetryAfter(excess, random),
    });
  }

  function computeStrainedPriority(): number {
    const since = clock.now() - MISS_REPORT_TTL;
    const recent = [...missedAt].filter(([, at]) => at >= since)
      .map(([priority]) => priority);
    return recent.length === 0 ? 0 : Math.min(...recent);
  }

  return {
    get inProgress() {
      return inProgress;
    },
    get strainedPriority() {
      return computeStrainedPriority();
    },
    shedBelow(strainedPriority) {
      if (strainedPriority > 0) shedLowest(strainedPriority + 1);
    },
    admit,
  };
}

/**
 * Computes when to retry: after the excess time, plus jitter of up to the same
 * length, so that callers that were refused together do not return together.
 */
export function spreadRetryAfter(
  excess: Millis,
  random: () => number,
): Millis {
  const base = Math.max(MIN_RETRY_AFTER, excess);
  return Math.min(MAX_RETRY_AFTER, Math.round(base * (1 + random())));
}
