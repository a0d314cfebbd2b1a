/**
 * The pools of an entry, one for each pool of the configuration.
 *
 * @module
 */
import type {
  AttainmentTracker,
  ChooseEndpoint,
  EndpointDirectory,
  PoolPolicy,
  StagePool,
} from "@mangoreach/coordination";
import {
  createExpectedTimeChoice,
  createLeastInFlightChoice,
  createRoundRobinChoice,
  createStagePool,
} from "@mangoreach/coordination";
import type { NamedPoolStatus } from "@mangoreach/operators";
import type { Millis } from "@mangoreach/shared";
import type { EntryContext } from "./entry_context.ts";

/** Time that endpoints spent on a stage, in seconds. */
interface PoolCost {
  useful: number;
  wasted: number;
}

/** The pools of an entry. */
export interface PoolSet {
  /** The pool of this name, created on first use. */
  find(name: string): StagePool;
  /** Hands the endpoints that take new work to all pools. */
  refresh(): void;
  /** Adds time that an endpoint spent, by whether it led to an answer in time. */
  addCost(pool: string, cost: { duration: Millis; isUseful: boolean }): void;
  readStatus(): NamedPoolStatus[];
}

/** Options of {@linkcode createPoolSet}. */
export interface PoolSetOptions {
  directory: EndpointDirectory;
  attainment: AttainmentTracker;
}

/** Creates an empty set. */
export function createPoolSet(
  context: EntryContext,
  { directory, attainment }: PoolSetOptions,
): PoolSet {
  const { clock, timeline } = context;
  const logger = context.logger.forPart("endpoints");
  const pools = new Map<string, StagePool>();
  const costs = new Map<string, PoolCost>();

  function find(name: string): StagePool {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const pool = createStagePool({
      clock,
      policy: createPolicy(context),
      estimateAttainment: attainment.estimate,
      onEjected: ({ id }, cause) => {
        timeline.record("endpoint_ejected", { endpoint: id, detail: cause });
        logger.warn("Endpoint taken out of use.", { endpoint: id, cause });
      },
    });
    pools.set(name, pool);
    pool.refresh(directory.listUsable(name));
    return pool;
  }

  function refresh(): void {
    for (const [name, pool] of pools) pool.refresh(directory.listUsable(name));
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
    addCost(pool, { duration, isUseful }) {
      findCost(pool)[isUseful ? "useful" : "wasted"] += duration / 1_000;
    },
    readStatus: () =>
      [...pools].map(([name, pool]) => ({
        pool: name,
        ...pool.readStatus(),
        usefulSeconds: findCost(name).useful,
        wastedSeconds: findCost(name).wasted,
      })),
  };
}

function createPolicy({ settings, random, clock }: EntryContext): PoolPolicy {
  const isOwn = settings.policy === "mangoreach";
  return {
    choose: createChoice({ settings, random, clock }),
    hasLimits: isOwn,
    hasEjection: isOwn,
  };
}

function createChoice(
  { settings, random, clock }: Pick<
    EntryContext,
    "settings" | "random" | "clock"
  >,
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
        now: clock.now,
      });
  }
}
