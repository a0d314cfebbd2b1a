/**
 * Plans which engine loads which models, from the demand for each model.
 *
 * Loading weights is slow and the weight store is rate-limited. A plan
 * therefore keeps models where they are loaded, and moves one only when the
 * demand has changed enough for long enough.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A model that has to be loaded on some engines. */
export interface PlacedModel {
  name: string;
  version: string;
  adapters: string[];
  /** Number of engines that load it even without demand. */
  minEngines: number;
}

/** The models that an engine has loaded, by its own report. */
export interface EngineInventory {
  endpointKey: string;
  models: { name: string; version: string; adapters: string[] }[];
}

/** The models that an engine should load. */
export interface EnginePlan {
  endpointKey: string;
  models: { name: string; version: string; adapters: string[] }[];
}

/** Demand by model, in any unit, such as requested tokens a second. */
export type ModelDemand = ReadonlyMap<string, number>;

/** Options of {@linkcode planPlacement}. */
export interface PlacementOptions {
  models: readonly PlacedModel[];
  engines: readonly EngineInventory[];
  demand: ModelDemand;
  /** Number of models that one engine can load at a time. */
  modelsPerEngine: number;
}

/** Plans the models of each engine; the same input gives the same plan. */
export function planPlacement(
  { models, engines, demand, modelsPerEngine }: PlacementOptions,
): EnginePlan[] {
  const sorted = [...engines].sort((a, b) =>
    a.endpointKey.localeCompare(b.endpointKey)
  );
  const engineCounts = computeEngineCounts(models, {
    engines: sorted.length,
    demand,
    modelsPerEngine,
  });
  const plans = new Map<string, PlacedModel[]>(
    sorted.map(({ endpointKey }) => [endpointKey, []]),
  );
  // Engines that have loaded the model come first: keeping it there loads
  // nothing.
  for (const model of models) {
    let left = engineCounts.get(model.name) ?? 0;
    for (const engine of rankEngines(sorted, { model, plans })) {
      if (left === 0) break;
      const plan = plans.get(engine.endpointKey);
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

/**
 * Returns the number of engines for each model: its minimum, then by demand.
 */
function computeEngineCounts(
  models: readonly PlacedModel[],
  { engines, demand, modelsPerEngine }: {
    engines: number;
    demand: ModelDemand;
    modelsPerEngine: number;
  },
): Map<string, number> {
  const engineCounts = new Map(
    models.map(({ name, minEngines }) => [name, Math.min(minEngines, engines)]),
  );
  let freeSlots = engines * modelsPerEngine -
    [...engineCounts.values()].reduce((sum, count) => sum + count, 0);
  while (freeSlots > 0) {
    const highest = findHighestDemand(models, {
      engineCounts,
      engines,
      demand,
    });
    if (highest === undefined) break;
    engineCounts.set(highest, (engineCounts.get(highest) ?? 0) + 1);
    freeSlots--;
  }
  return engineCounts;
}

/** Finds the model with the highest demand per assigned engine. */
function findHighestDemand(
  models: readonly PlacedModel[],
  { engineCounts, engines, demand }: {
    engineCounts: ReadonlyMap<string, number>;
    engines: number;
    demand: ModelDemand;
  },
): string | undefined {
  let highest: string | undefined;
  let most = -1;
  for (const { name } of models) {
    const count = engineCounts.get(name) ?? 0;
    if (count >= engines) continue;
    const need = (demand.get(name) ?? 0) / Math.max(1, count);
    if (need <= most) continue;
    most = need;
    highest = name;
  }
  return highest;
}

function rankEngines(
  engines: readonly EngineInventory[],
  { model, plans }: {
    model: PlacedModel;
    plans: ReadonlyMap<string, PlacedModel[]>;
  },
): EngineInventory[] {
  const rank = ({ endpointKey, models }: EngineInventory) => {
    const isLoaded = models.some(({ name }) => name === model.name);
    const planned = plans.get(endpointKey)?.length ?? 0;
    return (isLoaded ? 0 : 1_000) + planned;
  };
  return [...engines].sort((a, b) => rank(a) - rank(b));
}

/** Whether two lists contain the same models, versions and adapters. */
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

/** Smoothed demand by model, so that a plan does not follow every burst. */
export interface DemandTracker {
  record(model: string, amount: number): void;
  /** Returns the smoothed demand, which changes only by significant steps. */
  read(): ModelDemand;
}

const HALF_LIFE: Millis = 120_000;
/** The returned demand is updated when the share of a model differs by more. */
const MIN_SHARE_CHANGE = 0.15;

/** Creates a tracker without demand. */
export function createDemandTracker(clock: Clock): DemandTracker {
  const amounts = new Map<string, number>();
  let stable: ModelDemand = new Map();
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
    if (hasChanged(amounts, stable)) stable = new Map(amounts);
    return stable;
  }

  return { record, read };
}

function hasChanged(now: ModelDemand, before: ModelDemand): boolean {
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
