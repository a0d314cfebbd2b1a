/**
 * Keeps the engines of each pool in the state that demand asks for, under a
 * lease for the pool whose offset in the log is the fencing number of orders.
 *
 * What cannot be guaranteed: an engine that does not check fencing numbers
 * carries out an order of a holder that was paused past its lease. Such an order
 * is a whole desired state, so the new holder sees and corrects it in its next
 * round. docs/design/leases_and_fencing.md.
 *
 * @module
 */
import type {
  DemandTracker,
  EndpointDirectory,
  EndpointInfo,
  EngineHolding,
  HeldLease,
} from "@mangoreach/coordination";
import {
  formatEndpointKey,
  isSamePlan,
  planPlacement,
} from "@mangoreach/coordination";
import type { DesiredState, EngineOrderClient } from "@mangoreach/engines";
import type { ConfigDocument, PoolConfig } from "@mangoreach/operators";
import type { Millis } from "@mangoreach/shared";
import type { WeightStoreClient } from "@mangoreach/weight_store";
import type { EntryContext } from "./entry_context.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Options of {@linkcode runPlacementController}. */
export interface PlacementControllerOptions {
  leases: LeaseManager;
  orders: EngineOrderClient;
  weights: WeightStoreClient;
  directory: EndpointDirectory;
  demand: DemandTracker;
  readConfig: () => ConfigDocument | undefined;
}

interface PoolRound {
  pool: PoolConfig;
  config: ConfigDocument;
  lease: HeldLease;
}

/** Looks after its pools this often, as a share of a lease's duration. */
const ROUND_INTERVAL_SHARE = 0.25;

/** Keeps orders until the entry ends. */
export async function runPlacementController(
  context: EntryContext,
  options: PlacementControllerOptions,
): Promise<void> {
  const { clock, settings, random, signal, timeline } = context;
  const { leases, orders, weights, directory, demand } = options;
  const logger = context.logger.forPart("orders");
  /** When this entry may first order engines without fencing, by lease. */
  const mayOrderAt = new Map<number, Millis>();
  let weightStoreRetryAt: Millis = 0;

  async function runRound(round: PoolRound): Promise<void> {
    const { pool, config, lease } = round;
    if (!mayOrder(round)) return;
    const engines = directory.listUsable(pool.name);
    const inventories = await readInventories(engines);
    const plans = planPlacement({
      models: config.models,
      engines: inventories,
      demand: demand.read(),
      modelsPerEngine: pool.modelsPerEngine,
    });
    for (const inventory of inventories) {
      const plan = plans.find(({ endpointKey }) =>
        endpointKey === inventory.endpointKey
      );
      const endpoint = engines.find((engine) =>
        formatEndpointKey(engine) === inventory.endpointKey
      );
      if (plan === undefined || endpoint === undefined) continue;
      if (isSamePlan(plan.models, inventory.models)) continue;
      const desired: DesiredState = { models: plan.models, role: "both" };
      if (!await hasWeights(desired)) return;
      const isLeaseUsable = await sendOrder({ endpoint, desired, lease });
      if (!isLeaseUsable) return leases.drop(formatResource(pool));
    }
  }

  /**
   * Failure guarded against: the holder before was paused, its lease lapsed,
   * and it sends one more order when it wakes. It shows as an engine that flips
   * between two states. Waiting lets such a pause end first; engines that check
   * fencing numbers need no wait.
   */
  function mayOrder({ pool, lease }: PoolRound): boolean {
    if (pool.checksFencing) return true;
    const at = mayOrderAt.get(lease.fence);
    if (at !== undefined) return clock.now() >= at;
    mayOrderAt.clear();
    mayOrderAt.set(lease.fence, clock.now() + settings.timing.pausedHolderMs);
    return false;
  }

  async function readInventories(
    engines: readonly EndpointInfo[],
  ): Promise<EngineHolding[]> {
    const states = await Promise.all(engines.map(async (engine) => ({
      endpointKey: formatEndpointKey(engine),
      state: await orders.readState(engine),
    })));
    // An engine that does not answer is left alone until it does.
    return states.flatMap(({ endpointKey, state }) =>
      state.isOk ? [{ endpointKey, models: state.value.models }] : []
    );
  }

  /** Whether the weight store has what is wanted; waits out its rate limit. */
  async function hasWeights({ models }: DesiredState): Promise<boolean> {
    if (clock.now() < weightStoreRetryAt) return false;
    for (const { name } of models) {
      const found = await weights.find(name);
      if (found.isOk) continue;
      const wait = found.error.retryAfterMs ?? settings.timing.leaseMs;
      weightStoreRetryAt = clock.now() + wait * (1 + random());
      logger.warn("Orders wait for the weight store.", {
        reason: found.error.message,
      });
      return false;
    }
    return true;
  }

  /** Sends one order; false when the lease is of no use any more. */
  async function sendOrder(
    { endpoint, desired, lease }: {
      endpoint: EndpointInfo;
      desired: DesiredState;
      lease: HeldLease;
    },
  ): Promise<boolean> {
    // As late as possible: the process may have been paused until now.
    if (!lease.isValid()) return false;
    const { fence } = lease;
    timeline.record("order_sent", {
      endpoint: endpoint.id,
      detail: String(fence),
    });
    const sent = await orders.send({ endpoint, fence, desired });
    if (sent.isOk) {
      logger.info("Ordered.", { endpoint: endpoint.id, fence });
      return true;
    }
    timeline.record("order_refused", { endpoint: endpoint.id });
    logger.warn("An order was not taken.", { reason: sent.error.message });
    const isStale = sent.error.kind === "rejected" &&
      sent.error.verdict === "not_run";
    return !isStale;
  }

  while (!signal.aborted) {
    const pause = settings.timing.leaseMs * ROUND_INTERVAL_SHARE *
      (0.75 + random() / 2);
    await clock.sleep(pause, signal);
    const config = options.readConfig();
    if (signal.aborted || config === undefined) continue;
    for (const pool of config.pools) {
      if (pool.kind !== "engine") continue;
      const lease = await leases.keep(formatResource(pool));
      if (lease !== undefined) await runRound({ pool, config, lease });
    }
  }
}

function formatResource({ name }: PoolConfig): string {
  return `engines/${name}`;
}
