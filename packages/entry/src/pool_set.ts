/**
 * The pools of an entry, one for each pool of the configuration.
 *
 * @module
 */
import type {
  AttainmentTracker,
  ChooseEndpoint,
  EndpointDirectory,
  EndpointInfo,
  LoadReport,
  PoolPolicy,
  SendAllowance,
  StagePool,
} from "@mangoreach/coordination";
import {
  createExpectedTimeChoice,
  createLeastInFlightChoice,
  createRoundRobinChoice,
  createStagePool,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { NamedPoolStatus } from "@mangoreach/operators";
import type { Millis } from "@mangoreach/shared";
import type { EntryContext } from "./entry_context.ts";

/** Time that the endpoints of a pool spent on requests, in seconds. */
interface PoolCost {
  useful: number;
  wasted: number;
}

/** The pools of an entry. */
export interface PoolSet {
  /**
   * Returns the pool of this name and creates it on first use. With a model, the
   * pool has only the engines that have it loaded, and a separate queue.
   */
  find(name: string, model?: string): StagePool;
  /** Updates all pools with the endpoints that accept new work. */
  refresh(): void;
  /** Passes a load report to the pools that an engine belongs to. */
  recordReport(endpoint: EndpointInfo, report: LoadReport): void;
  /** Adds endpoint time, as useful if it led to an answer in time. */
  addCost(pool: string, cost: { duration: Millis; isUseful: boolean }): void;
  readStatus(): NamedPoolStatus[];
}

/** Options of {@linkcode createPoolSet}. */
export interface PoolSetOptions {
  directory: EndpointDirectory;
  attainment: AttainmentTracker;
  /** Whether an engine has a model loaded; true if its models are unknown. */
  hasModel: (endpoint: EndpointInfo, model: string) => boolean;
  allowance: SendAllowance;
  /** Called when an endpoint asks for a pause. */
  onPause: (endpoint: EndpointInfo, pause: Millis) => void;
}

interface NamedPool {
  name: string;
  model: string | undefined;
  pool: StagePool;
}

/** Creates the pools of one entry, initially none. */
export function createPoolSet(
  context: EntryContext,
  { directory, attainment, hasModel, allowance, onPause }: PoolSetOptions,
): PoolSet {
  const { clock, timeline } = context;
  const logger = context.logger.forPart("endpoints");
  const pools = new Map<string, NamedPool>();
  /** The last report of each listed engine. */
  const reports = new Map<string, LoadReport>();
  const costs = new Map<string, PoolCost>();

  function find(name: string, model?: string): StagePool {
    const key = model === undefined ? name : `${name}:${model}`;
    const known = pools.get(key);
    if (known !== undefined) return known.pool;
    const pool = createStagePool({
      clock,
      policy: createPolicy(context),
      estimateAttainment: attainment.estimate,
      allowance,
      onPause,
      onEjected: ({ id }, cause) => {
        timeline.record("endpoint_ejected", { endpoint: id, detail: cause });
        logger.warn("Endpoint ejected.", { endpoint: id, cause });
      },
    });
    const named = { name, model, pool };
    pools.set(key, named);
    refreshPool(named);
    // Without its engines' last reports, a new pool would start with the learnt
    // limit and refuse work that idle engines could accept.
    for (const [key, report] of reports) pool.recordReport(key, report);
    return pool;
  }

  function refreshPool({ name, model, pool }: NamedPool): void {
    const usable = directory.listUsable(name);
    pool.refresh(
      model === undefined
        ? usable
        : usable.filter((endpoint) => hasModel(endpoint, model)),
    );
  }

  function refresh(): void {
    const listed = new Set(directory.listAll().map(formatEndpointKey));
    for (const key of reports.keys()) {
      if (!listed.has(key)) reports.delete(key);
    }
    for (const named of pools.values()) refreshPool(named);
  }

  function recordReport(
    { pool: name, ...endpoint }: EndpointInfo,
    report: LoadReport,
  ): void {
    const key = formatEndpointKey(endpoint);
    reports.set(key, report);
    for (const named of pools.values()) {
      if (named.name === name) named.pool.recordReport(key, report);
    }
  }

  function findCost(pool: string): PoolCost {
    const known = costs.get(pool);
    if (known !== undefined) return known;
    const created = { useful: 0, wasted: 0 };
    costs.set(pool, created);
    return created;
  }

  return {
    find,
    refresh,
    recordReport,
    addCost(pool, { duration, isUseful }) {
      findCost(pool)[isUseful ? "useful" : "wasted"] += duration / 1_000;
    },
    readStatus: () =>
      [...pools].map(([key, { name, pool }]) => ({
        pool: key,
        ...pool.readStatus(),
        usefulSeconds: findCost(name).useful,
        wastedSeconds: findCost(name).wasted,
      })),
  };
}

function createPolicy({ settings, random }: EntryContext): PoolPolicy {
  const isMangoreachPolicy = settings.policy === "mangoreach";
  return {
    choose: createChoice({ settings, random }),
    hasLimits: isMangoreachPolicy,
    hasEjection: isMangoreachPolicy,
  };
}

function createChoice(
  { settings, random }: Pick<EntryContext, "settings" | "random">,
): ChooseEndpoint {
  switch (settings.policy) {
    case "round_robin":
      return createRoundRobinChoice();
    case "least_in_flight":
      return createLeastInFlightChoice(random);
    case "mangoreach":
      return createExpectedTimeChoice({
        ownPlace: settings.place,
        random,
      });
  }
}
