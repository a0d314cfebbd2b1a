/**
 * The components that an entry creates for each pool: its dispatchers, retry
 * budget, latency model and engine selection.
 *
 * @module
 */
import type {
  AccountShares,
  DelayModel,
  EndpointInfo,
  EngineSelector,
  RetryBudget,
  RouteTable,
  SendAllowance,
} from "@mangoreach/coordination";
import {
  createAccountShares,
  createDelayModel,
  createDiscoveryCheck,
  createEngineSelector,
  createRetryBudget,
  listPartitionEndpoints,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { SignalHandler } from "./endpoint_signals.ts";
import type { StageEndpoints } from "./platform_interfaces.ts";
import type { PartitionUse, ServingMetrics } from "./serving_metrics.ts";
import type { StageDispatcher } from "./stage_dispatcher.ts";
import { createStageDispatcher } from "./stage_dispatcher.ts";

/** Options of {@linkcode createPoolComponents}. */
export interface PoolComponentsOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "countRetry">;
  loads: EndpointLoads;
  endpointCheck: EndpointCheck;
  stages: StageEndpoints;
  listUsable: (pool: string) => readonly EndpointInfo[];
  /** Marks an endpoint whose address now belongs to another instance. */
  markLeaving: (endpointKey: string) => void;
  handleSignals: SignalHandler;
  allowance: SendAllowance;
  /** Lists all endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  readTable: () => RouteTable | undefined;
  /** Releases results of a pool through its dispatcher. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
  /** Counts the entries that share a pool's budget, including this one. */
  countEntries: () => number;
  /** Retries allowed per first attempt. */
  repeatShare: number;
  /** Retries allowed beyond the share, for all entries together. */
  repeatSlack: number;
}

/** Components of all pools, created on first use. */
export interface PoolComponents {
  /** Returns the dispatcher of one partition of a pool. */
  findDispatcher(pool: string, partition: string): StageDispatcher;
  /**
   * Returns the dispatcher that a peer names.
   *
   * @throws {Error} if it would be one too many.
   */
  findPeerDispatcher(pool: string, partition: string): StageDispatcher;
  findBudget(pool: string): RetryBudget;
  findDelays(pool: string): DelayModel;
  findEngineChoice(pool: string): EngineSelector;
  /** Lists the client accounts with the most use at each dispatcher here. */
  listAccountUse(): PartitionUse[];
  /** Makes all dispatchers dispatch again, after endpoints have changed. */
  refreshDispatchers(): void;
}

/** Minimum number of entries among which the slack of a budget is divided. */
const MIN_ENTRIES = 10;
/**
 * Minimum number of entries during discovery. An entry that has just started
 * knows few others: dividing the slack among those would multiply it in a large
 * fleet whose entries all restart.
 */
const DISCOVERY_ENTRIES = 100;
/** Retries of all entries together are bounded in any window of this length. */
const BUDGET_WINDOW: Millis = 10_000;
/** Pieces are retried by a dispatcher, which can be any entry. */
const PIECE_RETRY_SHARE = 0.1;
const PIECE_RETRY_SLACK = 10;

/** Spec of pools without a published one: one piece per call. */
const UNBATCHED_SPEC = {
  slots: 1,
  maxPieces: 1,
  callTime: 200,
  pieceTime: 20,
  storageBytes: Infinity,
  resultLifetime: 4_000,
};

/** A fleet has some hundred partitions; a faulty peer may name any number. */
const MAX_PEER_DISPATCHERS = 4_096;

/** Client accounts that the metrics report for each dispatcher. */
const REPORTED_ACCOUNTS = 10;

interface PartitionShares {
  pool: string;
  partition: string;
  shares: AccountShares;
}

function readBatchSpec(table: RouteTable | undefined, pool: string) {
  return table?.findPool(pool)?.batching ?? UNBATCHED_SPEC;
}

/** Returns a lookup that creates the component of each pool on first use. */
function createPerPool<T>(create: (pool: string) => T): (pool: string) => T {
  const components = new Map<string, T>();
  return (pool) => {
    const component = components.get(pool) ?? create(pool);
    components.set(pool, component);
    return component;
  };
}

/** Creates the lookups; components are created on first use. */
export function createPoolComponents(
  options: PoolComponentsOptions,
): PoolComponents {
  const { clock, log, loads } = options;
  const dispatchers = new Map<string, StageDispatcher>();
  const partitionShares: PartitionShares[] = [];
  const isDiscovering = createDiscoveryCheck(clock);
  const startedAt = clock.now();
  let maxEntries = MIN_ENTRIES;

  function observeRetries(pool: string): (isGranted: boolean) => void {
    return (isGranted) =>
      options.metrics.countRetry(pool, isGranted ? "granted" : "denied");
  }

  function findDispatcher(pool: string, partition: string): StageDispatcher {
    const key = `${pool}/${partition}`;
    const known = dispatchers.get(key);
    if (known !== undefined) return known;
    const shares = createAccountShares(clock);
    partitionShares.push({ pool, partition, shares });
    const dispatcher = createStageDispatcher({
      clock,
      log,
      pool,
      stages: options.stages,
      loads,
      listEndpoints: () =>
        listPartitionEndpoints(options.listUsable(pool), partition),
      markLeaving: options.markLeaving,
      handleSignals: options.handleSignals,
      allowance: options.allowance,
      listAt: options.listAt,
      endpointCheck: options.endpointCheck,
      readSpec: () => readBatchSpec(options.readTable(), pool),
      releaseInputs: options.releaseInputs,
      shares,
      budget: createRetryBudget({
        share: PIECE_RETRY_SHARE,
        max: PIECE_RETRY_SLACK,
        onWithdrawn: observeRetries(pool),
      }),
    });
    dispatchers.set(key, dispatcher);
    return dispatcher;
  }

  function findPeerDispatcher(
    pool: string,
    partition: string,
  ): StageDispatcher {
    const isKnown = dispatchers.has(`${pool}/${partition}`);
    if (isKnown || dispatchers.size < MAX_PEER_DISPATCHERS) {
      return findDispatcher(pool, partition);
    }
    throw new Error("too many partitions are in use");
  }

  /**
   * Returns the largest number of entries known at any time: entries that are
   * missing now may only be unreachable.
   */
  function countBudgetEntries(): number {
    maxEntries = Math.max(maxEntries, options.countEntries());
    return isDiscovering()
      ? Math.max(DISCOVERY_ENTRIES, maxEntries)
      : maxEntries;
  }

  /** What an entry uses during discovery, its own requests have earned. */
  function computeBudgetShare(): number {
    const share = 1 / countBudgetEntries();
    return isDiscovering() ? Math.max(1 / options.repeatSlack, share) : share;
  }

  const findBudget = createPerPool((pool) =>
    createRetryBudget({
      share: options.repeatShare,
      max: options.repeatSlack,
      readShare: computeBudgetShare,
      isSettled: () => clock.now() - startedAt >= BUDGET_WINDOW,
      random: options.random,
      onWithdrawn: observeRetries(pool),
    })
  );
  const findDelays = createPerPool(() => createDelayModel());
  const findEngineChoice = createPerPool(() => createEngineSelector(clock));

  function listAccountUse(): PartitionUse[] {
    return partitionShares.flatMap(({ pool, partition, shares }) =>
      shares.listMostUsed(REPORTED_ACCOUNTS)
        .map((use) => ({ ...use, pool, partition }))
    );
  }

  function refreshDispatchers(): void {
    for (const dispatcher of dispatchers.values()) dispatcher.refresh();
  }

  return {
    findDispatcher,
    findPeerDispatcher,
    findBudget,
    findDelays,
    findEngineChoice,
    listAccountUse,
    refreshDispatchers,
  };
}
