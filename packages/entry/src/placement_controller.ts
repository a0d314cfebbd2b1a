/**
 * Places models on the engines of each pool according to demand. The entry holds
 * a lease for the pool, whose offset in the log is the fencing number of the
 * orders that it sends.
 *
 * An engine that does not check fencing numbers executes an order from a holder
 * that was paused past the end of its lease. Orders carry the complete desired
 * state, so the new holder detects and corrects this in its next round. See
 * docs/design/leases_and_fencing.md.
 *
 * @module
 */
import type {
  DemandTracker,
  EndpointDirectory,
  EndpointInfo,
  EngineInventory,
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

/** Time between reconciliation rounds, as a share of the lease duration. */
const ROUND_INTERVAL_SHARE = 0.25;

/** Reconciles the engines of all pools until the entry stops. */
export async function runPlacementController(
  context: EntryContext,
  options: PlacementControllerOptions,
): Promise<void> {
  const { clock, settings, random, signal, timeline } = context;
  const { leases, orders, weights, directory, demand } = options;
  const logger = context.logger.forPart("orders");
  /** When orders to engines without fencing may start, by fencing number. */
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
   * Delays the first orders to engines that do not check fencing numbers. A
   * previous holder that was paused until its lease expired may send one more
   * order when it resumes, and engines would then alternate between two states.
   * The delay lets such a pause end first.
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
  ): Promise<EngineInventory[]> {
    const states = await Promise.all(engines.map(async (engine) => ({
      endpointKey: formatEndpointKey(engine),
      state: await orders.readState(engine),
    })));
    // Engines that do not answer are skipped until they do.
    return states.flatMap(({ endpointKey, state }) =>
      state.isOk ? [{ endpointKey, models: state.value.models }] : []
    );
  }

  /**
   * Whether the weight store has all the models. After an error, returns false
   * without asking until the store's retry delay has passed.
   */
  async function hasWeights({ models }: DesiredState): Promise<boolean> {
    if (clock.now() < weightStoreRetryAt) return false;
    for (const { name } of models) {
      const found = await weights.find(name);
      if (found.isOk) continue;
      const wait = found.error.retryAfterMs ?? settings.timing.leaseMs;
      weightStoreRetryAt = clock.now() + wait * (1 + random());
      logger.warn(
        "Weight store did not confirm the model; orders are postponed.",
        {
          reason: found.error.message,
        },
      );
      return false;
    }
    return true;
  }

  /** Sends an order; false when the lease is no longer usable. */
  async function sendOrder(
    { endpoint, desired, lease }: {
      endpoint: EndpointInfo;
      desired: DesiredState;
      lease: HeldLease;
    },
  ): Promise<boolean> {
    // Checked right before sending, as the process may have been paused.
    if (!lease.isValid()) return false;
    const { fence } = lease;
    timeline.record("order_sent", {
      endpoint: endpoint.id,
      detail: String(fence),
    });
    const sent = await orders.send({ endpoint, fence, desired });
    if (sent.isOk) {
      logger.info("Order accepted by engine.", {
        endpoint: endpoint.id,
        fence,
      });
      return true;
    }
    timeline.record("order_refused", { endpoint: endpoint.id });
    logger.warn("Order not accepted by engine.", {
      reason: sent.error.message,
    });
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
