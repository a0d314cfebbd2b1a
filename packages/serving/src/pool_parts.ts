/**
 * What an entry keeps for each pool: its dispatcher, its budget of repeats, and
 * the times that its endpoints take.
 *
 * @module
 */
import type {
  DelayModel,
  EndpointInfo,
  EngineChoice,
  RetryBudget,
  RouteTable,
  SendAllowance,
} from "@mangoreach/coordination";
import {
  createDelayModel,
  createEngineChoice,
  createLearningCheck,
  createRetryBudget,
  listPartitionEndpoints,
} from "@mangoreach/coordination";
import type { Clock } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { NoteSignals } from "./endpoint_signals.ts";
import type { StageEndpoints } from "./serving_handles.ts";
import type { StageDispatcher } from "./stage_dispatcher.ts";
import { createStageDispatcher } from "./stage_dispatcher.ts";

/** Options of {@linkcode createPoolParts}. */
export interface PoolPartsOptions {
  clock: Clock;
  log: DecisionLog;
  loads: EndpointLoads;
  endpointCheck: EndpointCheck;
  stages: StageEndpoints;
  listUsable: (pool: string) => readonly EndpointInfo[];
  /** Told of an endpoint whose address has become another's. */
  markLeaving: (endpointKey: string) => void;
  noteSignals: NoteSignals;
  allowance: SendAllowance;
  /** All endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  readTable: () => RouteTable | undefined;
  /** Frees results of a pool, at whoever feeds it. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
  /** Entries that share a pool's budget, with this one. */
  countEntries: () => number;
  /** Repeats for each first request. */
  repeatShare: number;
  /** Repeats beyond the share, over all entries. */
  repeatSlack: number;
}

/** The parts of all pools, made when they are first needed. */
export interface PoolParts {
  /** The dispatcher of one partition of a pool. */
  findFeeder(pool: string, partition: string): StageDispatcher;
  findBudget(pool: string): RetryBudget;
  findDelays(pool: string): DelayModel;
  findEngineChoice(pool: string): EngineChoice;
  /** Lets all dispatchers look again, after endpoints have changed. */
  refreshFeeders(): void;
}

/** The slack of a budget is shared out among so many entries at least. */
const LEAST_ENTRIES = 10;
/**
 * An entry that has just started knows few others: sharing the slack among
 * those would give a large fleet many times the slack after a restart of all.
 */
const UNKNOWN_ENTRIES = 100;
/** Pieces are repeated at a dispatcher, which may be any entry. */
const PIECE_REPEAT_SHARE = 0.1;
const PIECE_REPEAT_SLACK = 10;

/** A pool whose specification is not published takes one piece a call. */
const SINGLE_PIECES = {
  slots: 1,
  maxPieces: 1,
  callTime: 200,
  pieceTime: 20,
  roomBytes: Infinity,
  resultLifetime: 4_000,
};

function readBatchSpec(table: RouteTable | undefined, pool: string) {
  return table?.findPool(pool)?.batching ?? SINGLE_PIECES;
}

/** One part for each pool, made when it is first asked for. */
function createPerPool<T>(create: () => T): (pool: string) => T {
  const parts = new Map<string, T>();
  return (pool) => {
    const part = parts.get(pool) ?? create();
    parts.set(pool, part);
    return part;
  };
}

/** Creates the parts of no pool yet. */
export function createPoolParts(options: PoolPartsOptions): PoolParts {
  const { clock, log, loads } = options;
  const dispatchers = new Map<string, StageDispatcher>();
  const isLearning = createLearningCheck(clock);
  let mostEntries = LEAST_ENTRIES;

  function findFeeder(pool: string, partition: string): StageDispatcher {
    const key = `${pool}/${partition}`;
    const known = dispatchers.get(key);
    if (known !== undefined) return known;
    const dispatcher = createStageDispatcher({
      clock,
      log,
      pool,
      stages: options.stages,
      loads,
      listEndpoints: () =>
        listPartitionEndpoints(options.listUsable(pool), partition),
      markLeaving: options.markLeaving,
      handleSignals: options.noteSignals,
      allowance: options.allowance,
      listAt: options.listAt,
      endpointCheck: options.endpointCheck,
      readSpec: () => readBatchSpec(options.readTable(), pool),
      releaseInputs: options.releaseInputs,
      budget: createRetryBudget({
        share: PIECE_REPEAT_SHARE,
        max: PIECE_REPEAT_SLACK,
      }),
    });
    dispatchers.set(key, dispatcher);
    return dispatcher;
  }

  /** The most entries that were known at a time: some may only be silent. */
  function countSharers(): number {
    mostEntries = Math.max(mostEntries, options.countEntries());
    return isLearning() ? Math.max(UNKNOWN_ENTRIES, mostEntries) : mostEntries;
  }

  const findBudget = createPerPool(() =>
    createRetryBudget({
      share: options.repeatShare,
      max: options.repeatSlack,
      // One repeat is left to each: what is less than that is never saved up.
      readPart: () => Math.max(1 / options.repeatSlack, 1 / countSharers()),
    })
  );
  const findDelays = createPerPool(createDelayModel);
  const findEngineChoice = createPerPool(() => createEngineChoice(clock));

  function refreshFeeders(): void {
    for (const dispatcher of dispatchers.values()) dispatcher.refresh();
  }

  return {
    findFeeder,
    findBudget,
    findDelays,
    findEngineChoice,
    refreshFeeders,
  };
}
