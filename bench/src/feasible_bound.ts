/**
 * Computes an upper bound on the share of requests that any policy can serve with
 * the offered work and the capacity of the pools: each pool by itself serves at
 * most as many of the cheapest requests as fit into its slot-seconds.
 *
 * @module
 */
import type { ConfigDocument } from "@mangoreach/operators";
import {
  computeDigest,
  derivePrompt,
  deriveTokens,
} from "@mangoreach/standins";
import type { PlannedRequest } from "./caller_load.ts";
import type { Deployment, PoolPlan } from "./site_plan.ts";

/** Slot-seconds that a request needs, by pool. */
export type RequestCost = ReadonlyMap<string, number>;

/** Computes the slot-seconds that a request needs without any waste. */
export function computeCost(
  { work, text }: PlannedRequest,
  { plan, config }: Deployment,
): RequestCost {
  const cost = new Map<string, number>();
  const add = (pool: string, seconds: number) =>
    cost.set(pool, (cost.get(pool) ?? 0) + seconds);
  for (const { pool, maxTokens } of listStages(work, config)) {
    const planned = plan.pools.find((candidate) => candidate.pool === pool);
    if (planned !== undefined) {
      add(pool, computeStageSeconds(planned, { text, maxTokens }));
    }
  }
  return cost;
}

function listStages(work: PlannedRequest["work"], config: ConfigDocument) {
  const pipeline = config.pipelines.find(({ name }) => name === work.pipeline);
  if (pipeline !== undefined) return pipeline.stages;
  const service = config.services.find(({ name }) => name === work.service);
  return service === undefined
    ? []
    : [{ pool: service.pool, maxTokens: undefined }];
}

function computeStageSeconds(
  pool: PoolPlan,
  { text, maxTokens }: { text: string; maxTokens: number | undefined },
): number {
  const thousands = text.length / 1_000;
  if (pool.kind === "endpoint") {
    return (pool.times.baseMs + pool.times.perThousandMs * thousands) / 1_000;
  }
  const { slots, stepMs, perSequenceMs, tokensPerStep } = pool.times;
  // A full batch has the longest step, but the highest token throughput.
  const perStep = stepMs + perSequenceMs * slots;
  const prompt = derivePrompt(text, computeDigest(text));
  const tokens = deriveTokens(prompt, maxTokens ?? 0).length;
  return perStep * Math.ceil(tokens / tokensPerStep) / 1_000;
}

/** Computes the slot-seconds that each pool has in a period. */
export function computeCapacity(
  { plan }: Deployment,
  seconds: number,
): RequestCost {
  return new Map(
    plan.pools.map(({ pool, count, times }) =>
      [pool, count * times.slots * seconds] as const
    ),
  );
}

/** Computes the requests per second that the pools sustain for a mix of work. */
export function computeSustainableRate(
  costs: readonly RequestCost[],
  deployment: Deployment,
): number {
  const capacity = computeCapacity(deployment, 1);
  let lowest = Infinity;
  for (const [pool, perSecond] of capacity) {
    const mean = costs.reduce((sum, cost) => sum + (cost.get(pool) ?? 0), 0) /
      costs.length;
    if (mean > 0) lowest = Math.min(lowest, perSecond / mean);
  }
  return lowest;
}

/** Computes the largest share of these requests that could be served. */
export function computeFeasibleShare(
  costs: readonly RequestCost[],
  capacity: RequestCost,
): number {
  if (costs.length === 0) return 1;
  let maxServed = costs.length;
  for (const [pool, seconds] of capacity) {
    const needs = costs.map((cost) => cost.get(pool) ?? 0)
      .sort((a, b) => a - b);
    let remaining = seconds;
    let count = 0;
    for (const need of needs) {
      remaining -= need;
      if (remaining < 0) break;
      count++;
    }
    maxServed = Math.min(maxServed, count);
  }
  return maxServed / costs.length;
}
