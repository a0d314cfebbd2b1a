/**
 * Admission: refuses at once what cannot be answered in time, before it costs
 * anything, and tells the caller when to come back.
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

/** What admission needs to know of the pool of one stage. */
export interface StageForecast {
  /** Expected time in the queue for this priority. */
  wait: Millis;
  /** Expected time of the stage itself at present. */
  service: Millis;
  /** Time of the stage itself without load. */
  unloaded: Millis;
}

/** A request that asks to be admitted. */
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
  /** Requests that one entry works on at once; the bound on its memory. */
  maxInProgress: number;
}

/** Decides about new requests at one entry. */
export interface Admission {
  readonly inProgress: number;
  /** Admits, or refuses with the verdict `not_run`. */
  admit(request: AdmissionRequest): Result<AdmittedRequest, Failure>;
}

/** A request that was admitted; must be ended once. */
export interface AdmittedRequest {
  end(how: AdmittedEnd): void;
}

interface LimitedClass {
  workClass: WorkClass;
  limit: ClassLimit;
}

/** Forecasts err; a request is refused only if it misses by this much. */
const FORECAST_SLACK = 1.1;
const MIN_RETRY_AFTER: Millis = 250;
const MAX_RETRY_AFTER: Millis = 30_000;

/** Creates the admission of one entry. */
export function createAdmission(
  { clock, random, maxInProgress }: AdmissionOptions,
): Admission {
  const classes = new Map<string, LimitedClass>();
  let inProgress = 0;

  function findLimit(workClass: WorkClass): ClassLimit {
    const known = classes.get(workClass.name);
    if (known !== undefined) {
      // Priorities change with the configuration, the limit lives on.
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
    const least = request.stages.reduce((sum, s) => sum + s.unloaded, 0);
    if (least > request.remaining) {
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
   * After a miss, the class of the lowest priority that has work here admits
   * less; the one that missed only when none below it can give way any further.
   */
  function giveWay(missed: number): void {
    const byPriority = [...classes.values()]
      .filter(({ workClass, limit }) =>
        workClass.priority >= missed &&
        (limit.inProgress > 0 || limit.value < 1)
      )
      .sort((a, b) => b.workClass.priority - a.workClass.priority);
    for (const { limit } of byPriority) if (limit.shrink()) return;
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
        if (how.kind === "missed") giveWay(priority);
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

  return {
    get inProgress() {
      return inProgress;
    },
    admit,
  };
}

/**
 * When to come back: the excess once more, spread over as long again, so that
 * callers refused together do not return together.
 */
export function spreadRetryAfter(
  excess: Millis,
  random: () => number,
): Millis {
  const base = Math.max(MIN_RETRY_AFTER, excess);
  return Math.min(MAX_RETRY_AFTER, Math.round(base * (1 + random())));
}
