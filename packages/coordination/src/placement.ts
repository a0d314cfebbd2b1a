/**
 * Decides which engine holds which models, from the demand of the classes.
 *
 * Loading weights is slow and the weight store is rate-limited, so a plan keeps
 * what engines hold already, and moves a model only when demand has changed by
 * enough for long enough.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A model that has to be held somewhere. */
export interface PlacedModel {
  name: string;
  version: string;
  adapters: string[];
  /** Engines that hold it even without demand. */
  minEngines: number;
}

/** What an engine holds, as it said itself. */
export interface EngineHolding {
  endpointKey: string;
  models: { name: string; version: string; adapters: string[] }[];
}

/** What an engine should hold. */
export interface EnginePlan {
  endpointKey: string;
  models: { name: string; version: string; adapters: string[] }[];
}

/** Work by model, in any unit, such as tokens asked for a second. */
export type ModelDemand = ReadonlyMap<string, number>;

/** Options of {@linkcode planPlacement}. */
export interface PlacementOptions {
  models: readonly PlacedModel[];
  engines: readonly EngineHolding[];
  demand: ModelDemand;
  /** Models that one engine can hold at a time. */
  modelsPerEngine: number;
}

/** Plans what each engine should hold; the same input gives the same plan. */
export function planPlacement(
  { models, engines, demand, modelsPerEngine }: PlacementOptions,
): EnginePlan[] {
  const sorted = [...engines].sort((a, b) =>
    a.endpointKey.localeCompare(b.endpointKey)
  );
  const wanted = countWanted(models, {
    engines: sorted.length,
    demand,
    modelsPerEngine,
  });
  const plans = new Map<string, PlacedModel[]>(
    sorted.map(({ endpointKey }) => [endpointKey, []]),
  );
  // Those that hold a model already come first: keeping it loads nothing.
  for (const model of models) {
    let left = wanted.get(model.name) ?? 0;
    for (const holding of listByFitness(sorted, { model, plans })) {
      if (left === 0) break;
      const plan = plans.get(holding.endpointKey);
      if (plan === undefined || plan.length >= modelsPerEngine) continue;
      plan.push(model);
      left--;
    }
  }
  return [...plans].map(([endpointKey, planned]) => ({
    endpointKey,
    models: planned.map(({ name, version, adapters }) => ({
      name,
      version,
      adapters,
    })),
  }));
}

/** How many engines each model gets: its least, then by demand. */
function countWanted(
  models: readonly PlacedModel[],
  { engines, demand, modelsPerEngine }: {
    engines: number;
    demand: ModelDemand;
    modelsPerEngine: number;
  },
): Map<string, number> {
  const wanted = new Map(
    models.map(({ name, minEngines }) => [name, Math.min(minEngines, engines)]),
  );
  let room = engines * modelsPerEngine -
    [...wanted.values()].reduce((sum, count) => sum + count, 0);
  while (room > 0) {
    const neediest = findNeediest(models, { wanted, engines, demand });
    if (neediest === undefined) break;
    wanted.set(neediest, (wanted.get(neediest) ?? 0) + 1);
    room--;
  }
  return wanted;
}

/** The model with the most demand for each engine that it has. */
function findNeediest(
  models: readonly PlacedModel[],
  { wanted, engines, demand }: {
    wanted: ReadonlyMap<string, number>;
    engines: number;
    demand: ModelDemand;
  },
): string | undefined {
  let neediest: string | undefined;
  let most = -1;
  for (const { name } of models) {
    const count = wanted.get(name) ?? 0;
    if (count >= engines) continue;
    const need = (demand.get(name) ?? 0) / Math.max(1, count);
    if (need <= most) continue;
    most = need;
    neediest = name;
  }
  return neediest;
}

function listByFitness(
  engines: readonly EngineHolding[],
  { model, plans }: {
    model: PlacedModel;
    plans: ReadonlyMap<string, PlacedModel[]>;
  },
): EngineHolding[] {
  const rank = ({ endpointKey, models }: EngineHolding) => {
    const isHeld = models.some(({ name }) => name === model.name);
    const planned = plans.get(endpointKey)?.length ?? 0;
    return (isHeld ? 0 : 1_000) + planned;
  };
  return [...engines].sort((a, b) => rank(a) - rank(b));
}

/** Whether two plans for an engine are the same. */
export function isSamePlan(
  a: readonly EnginePlan["models"][number][],
  b: readonly EnginePlan["models"][number][],
): boolean {
  const format = (models: readonly EnginePlan["models"][number][]) =>
    models.map(({ name, version, adapters }) =>
      `${name}@${version}+${[...adapters].sort().join(",")}`
    ).sort().join(" ");
  return format(a) === format(b);
}

/** Demand by model, smoothed so that a plan does not follow every burst. */
export interface DemandTracker {
  record(model: string, amount: number): void;
  /** Smoothed demand; changes only when it has moved by enough. */
  read(): ModelDemand;
}

const HALF_LIFE: Millis = 120_000;
/** Demand as read moves only when the shares have moved by this much. */
const MIN_SHARE_CHANGE = 0.15;

/** Creates a tracker without demand. */
export function createDemandTracker(clock: Clock): DemandTracker {
  const amounts = new Map<string, number>();
  let settled: ModelDemand = new Map();
  let decayedAt = clock.now();

  function refreshAmounts(): void {
    const now = clock.now();
    const factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE);
    decayedAt = now;
    for (const [model, amount] of amounts) amounts.set(model, amount * factor);
  }

  function record(model: string, amount: number): void {
    refreshAmounts();
    amounts.set(model, (amounts.get(model) ?? 0) + amount);
  }

  function read(): ModelDemand {
    refreshAmounts();
    if (hasMoved(amounts, settled)) settled = new Map(amounts);
    return settled;
  }

  return { record, read };
}

function hasMoved(now: ModelDemand, before: ModelDemand): boolean {
  const names = new Set([...now.keys(), ...before.keys()]);
  const nowTotal = sum(now);
  const beforeTotal = sum(before);
  if (nowTotal > 0 && beforeTotal === 0) return true;
  return [...names].some((name) => {
    const share = (now.get(name) ?? 0) / Math.max(nowTotal, Number.EPSILON);
    const old = (before.get(name) ?? 0) / Math.max(beforeTotal, Number.EPSILON);
    return Math.abs(share - old) > MIN_SHARE_CHANGE;
  });
}

function sum(demand: ModelDemand): number {
  return [...demand.values()].reduce((total, amount) => total + amount, 0);
}
