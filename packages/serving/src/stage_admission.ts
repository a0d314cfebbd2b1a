/**
 * Decides, before any of its stages has cost anything, whether a request can
 * still be served.
 *
 * The load it answers: a burst of one kind fills the queue of a stage pool for
 * seconds. Who can meet the objective goes first and is always let in; who
 * cannot is let in only if what waits now leaves time before the deadline.
 * Without this a request would run its first stages, wait, and be refused when
 * its time was gone: the room and calls of its stages were wasted, and its
 * caller could not come back any more.
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

/** What is known of a request's stages and its time. */
export interface StageForecastOptions {
  stages: readonly RouteStage[];
  /** Expected time of each stage without waiting; 0 for one without pieces. */
  durations: readonly Millis[];
  /** What a new piece of the request would wait in a pool. */
  readWaits: (pool: string) => Promise<PieceWaits>;
  /** Time left to be on time, after what the engine needs. */
  onTime: Millis;
  /** Time left at all, after what the engine needs. */
  remaining: Millis;
  random: () => number;
}

/** The refusal of a request that cannot be served, or undefined. */
export async function findHopeless(
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
  const lateExcess = computeTime("late") - remaining;
  if (lateExcess <= 0) return undefined;
  return createFailure("overloaded", {
    verdict: "not_run",
    message: `its stages would take ${Math.round(excess)} ms too long`,
    retryAfterMs: spreadRetryAfter(Math.max(excess, lateExcess), random),
  });
}

/** The time of each stage with its wait when the request will be there. */
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
    const startsIn = Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0));
    const wait = waits[number] ?? NO_WAITS;
    const atStart = kind === "late"
      ? wait.late
      : Math.max(0, wait.onTime + startsIn * wait.growth);
    const time = (durations[number] ?? 0) + atStart;
    ends[number] = startsIn + time;
    return time;
  });
}
