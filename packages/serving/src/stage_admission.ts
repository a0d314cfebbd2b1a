/**
 * Admission control: decides, before any stage has run, whether a request can
 * complete before its deadline.
 *
 * A burst of one kind of request can fill the queue of a stage pool for several
 * seconds. Requests that can meet the latency objective have precedence and are
 * always admitted; others are admitted only if the current queue lets them
 * complete before the deadline. Without this check a request would run its
 * first stages, queue, and be refused at its deadline: that wastes calls and
 * result storage, and leaves the caller no time to retry.
 *
 * @module
 */
import type { Failure, PieceWaits, RouteStage } from "@mangoreach/coordination";
import {
  computeStageTime,
  createFailure,
  spreadRetryAfter,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";

const NO_WAITS: PieceWaits = { onTime: 0, late: 0, growth: 0 };

/** Options of {@linkcode findInfeasible}. */
export interface StageForecastOptions {
  stages: readonly RouteStage[];
  /** Expected time of each stage without queueing; 0 if it has no pieces. */
  durations: readonly Millis[];
  /** Returns the estimated queueing delay of a new piece in a pool. */
  readWaits: (pool: string) => Promise<PieceWaits>;
  /** Time for the stages to meet the latency objective, less engine time. */
  onTime: Millis;
  /** Time for the stages until the deadline, less engine time. */
  remaining: Millis;
  random: () => number;
}

/**
 * Returns the refusal of a request that cannot complete before its deadline, or
 * undefined if it is admitted.
 */
export async function findInfeasible(
  { stages, durations, readWaits, onTime, remaining, random }:
    StageForecastOptions,
): Promise<Failure | undefined> {
  const waits = await Promise.all(
    stages.map(({ pool }, number) =>
      durations[number] === 0 ? NO_WAITS : readWaits(pool)
    ),
  );
  const computeTime = (kind: "onTime" | "late") =>
    computeStageTime(
      stages,
      addWaits(stages, { durations, waits, kind }),
    );
  const excess = computeTime("onTime") - onTime;
  if (excess <= 0) return undefined;
  const deadlineExcess = computeTime("late") - remaining;
  if (deadlineExcess <= 0) return undefined;
  return createFailure("overloaded", {
    verdict: "not_run",
    message: `its stages would take ${Math.round(excess)} ms too long`,
    retryAfterMs: spreadRetryAfter(Math.max(excess, deadlineExcess), random),
  });
}

/** Adds to each stage its queueing delay at the time the request reaches it. */
function addWaits(
  stages: readonly RouteStage[],
  { durations, waits, kind }: {
    durations: readonly Millis[];
    waits: readonly PieceWaits[];
    kind: "onTime" | "late";
  },
): Millis[] {
  const ends: Millis[] = [];
  return stages.map(({ after }, number) => {
    const startDelay = Math.max(
      0,
      ...after.map((dependency) => ends[dependency] ?? 0),
    );
    const wait = waits[number] ?? NO_WAITS;
    const waitAtStart = kind === "late"
      ? wait.late
      : Math.max(0, wait.onTime + startDelay * wait.growth);
    const time = (durations[number] ?? 0) + waitAtStart;
    ends[number] = startDelay + time;
    return time;
  });
}
