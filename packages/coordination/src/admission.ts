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
  /** The lowest priority published, which has the largest number. */
  readLowestPriority: () => number;
}

/** Decides about new requests at one entry. */
export interface Admission {
  readonly inProgress: number;
  /**
   * The highest priority that missed a deadline here lately, 0 for none; told to
   * other entries, which may have the work that should give way.
   */
  readonly strainedPriority: number;
  /** Lets classes below a priority give way, which misses at another entry. */
  relieve(strainedPriority: number): void;
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
/** A miss is told to other entries for this long. */
const STRAIN_LIFETIME: Millis = 2_000;
const MIN_RETRY_AFTER: Millis = 250;
const MAX_RETRY_AFTER: Millis = 30_000;

/** Creates the admission of one entry. */
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
   * After a miss the class of the lowest priority that has work here admits
   * less. The class that missed gives way itself only when it is the lowest
   * published: the work that took its place may be at another entry.
   */
  function noteMiss(priority: number): void {
    missedAt.set(priority, clock.now());
    giveWay(Math.min(priority + 1, readLowestPriority()));
  }

  /** Shrinks the lowest class at work among those from `highest` down. */
  function giveWay(highest: number): void {
    const byPriority = [...classes.values()]
      .filter(({ workClass, limit }) =>
        workClass.priority >= highest &&
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
        if (how.kind === "missed") noteMiss(priority);
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

  function readStrained(): number {
    const since = clock.now() - STRAIN_LIFETIME;
    const recent = [...missedAt].filter(([, at]) => at >= since)
      .map(([priority]) => priority);
    return recent.length === 0 ? 0 : Math.min(...recent);
  }

  return {
    get inProgress() {
      return inProgress;
    },
    get strainedPriority() {
      return readStrained();
    },
    relieve(strainedPriority) {
      if (strainedPriority > 0) giveWay(strainedPriority + 1);
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
