/**
 * Plans when each stage of a request starts and how much time later stages
 * need.
 *
 * Endpoints store results until the request's engine has fetched them, and
 * their memory for results is scarce. A stage off the critical path therefore
 * starts as late as the critical path allows, and not with the request.
 * Otherwise the large results of a stage parallel to a chain of three would be
 * stored for the whole chain.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { RouteStage } from "./serving_config.ts";

/** The schedule of one stage in its request. */
export interface PlannedStage {
  /** Stages that must complete before this one starts. */
  dependencies: readonly number[];
  /** Time from the end of this stage to the end of the last one. */
  downstreamTime: Millis;
}

/**
 * Delay of a request that is accepted so that results are stored for less time.
 */
const MAX_ADDED_DELAY: Millis = 100;

/** Plans the stages of a request; `durations` are their expected times. */
export function planStages(
  stages: readonly RouteStage[],
  durations: readonly Millis[],
): PlannedStage[] {
  const numbers = stages.map((_, number) => number);
  const readDuration = (number: number) => durations[number] ?? 0;
  const downstream = new Map<number, Millis>();

  function computeDownstream(number: number): Millis {
    const known = downstream.get(number);
    if (known !== undefined) return known;
    const dependents = numbers.filter((user) =>
      user > number && stages[user]?.after.includes(number)
    );
    const times = dependents.map((user) =>
      readDuration(user) + computeDownstream(user)
    );
    const longest = Math.max(0, ...times);
    downstream.set(number, longest);
    return longest;
  }

  const total = Math.max(
    0,
    ...numbers.map((number) =>
      readDuration(number) + computeDownstream(number)
    ),
  );
  const readLatestEnd = (number: number) => total - computeDownstream(number);
  const readLatestStart = (number: number) =>
    readLatestEnd(number) - readDuration(number);

  return stages.map(({ after }, number) => {
    const earlier = numbers.filter((other) =>
      other !== number && readDuration(other) > 0 &&
      readLatestStart(other) < readLatestStart(number) &&
      readLatestEnd(other) <= readLatestStart(number) + MAX_ADDED_DELAY
    );
    const dependencies = [...new Set([...after, ...earlier])];
    return { dependencies, downstreamTime: computeDownstream(number) };
  });
}

/**
 * Computes the time from the start of a request to the end of its last stage.
 */
export function computeStageTime(
  stages: readonly RouteStage[],
  durations: readonly Millis[],
): Millis {
  const plan = planStages(stages, durations);
  const times = plan.map(({ downstreamTime }, number) =>
    (durations[number] ?? 0) + downstreamTime
  );
  return Math.max(0, ...times);
}
