/**
 * Batches pieces of stage work into calls, and decides when and to which
 * endpoint each call is sent.
 *
 * A call has a fixed cost whatever its size, so under load calls must be full.
 * Pieces are never delayed to fill a batch while an endpoint is free: batches
 * form while all endpoints are busy.
 *
 * Pieces that can still meet their latency objective go first, then by
 * priority, then by the earliest objective: in a burst, first come first served
 * makes every request late. On-time pieces yield a part of the calls to late
 * ones of more urgent classes. If several client accounts have pieces here and not
 * all can meet their objectives, those with the least recent use go first
 * within a priority. An endpoint stores results until they are freed, so its
 * result storage limits throughput as often as time does. Requests with started
 * pieces go before others, and a request begins only at an endpoint with
 * storage for all its results: incomplete requests would fill the storage with
 * results that cannot be used yet.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import type { SpeedPlan } from "./endpoint_speed/speed_plan.ts";
import {
  computeFastestSpec,
  createSpeedPlan,
  isUneven,
} from "./endpoint_speed/speed_plan.ts";
import type { AccountShares } from "./fairness/account_shares.ts";
import type { PieceRanking } from "./fairness/piece_ranking.ts";
import {
  computeAccountQueue,
  computePieceCost,
  estimateUnknownWait,
  isLate,
  rankForAccount,
  rankPieces,
} from "./fairness/piece_ranking.ts";
import { createYieldedShare } from "./fairness/yielded_share.ts";
import { listLocalityWaiting } from "./locality_wait.ts";
import type { PieceWaits, WaitForecast } from "./piece_rates.ts";
import type { BatchSpec } from "./serving_config.ts";
import { computeFullCall } from "./serving_config.ts";

/** The pieces of one stage of one request. */
export interface PieceGroup {
  /** Pieces that are in a call or completed. */
  started: number;
}

/** A piece of work that waits for a call. */
export interface WaitingPiece {
  readonly group: PieceGroup;
  /** The client account; pieces without one count as one account. */
  readonly account?: string | undefined;
  /** 0 is the highest. */
  priority: number;
  /** After this time its request misses its latency objective. */
  objectiveAt: Millis;
  /** Deadline: after this time its result is of no use. */
  deadlineAt: Millis;
  /** The place of its inputs, or of the engine that will fetch its result. */
  place: string | undefined;
  resultBytes: number;
  /** Bytes transferred between places if it runs outside its own place. */
  movedBytes: number;
  /** Endpoints that already failed to run it. */
  excluded: ReadonlySet<string>;
  /**
   * Whether it may share a call only with pieces of its own request. Set after
   * endpoints crashed during calls with it: in a call of its own it either
   * completes or is shown to be the cause.
   */
  readonly isIsolated?: boolean;
}

/** The batcher's view of an endpoint. */
export interface BatchEndpoint {
  readonly info: EndpointInfo;
  /** Calls in progress there. */
  readonly calls: number;
  /** Bytes of results that it stores or will store after its current calls. */
  readonly roomTaken: number;
  /** Observed latency relative to the expected latency; 1 is normal. */
  readonly slowdown: number;
  /**
   * Estimated ratio of measured to expected time of its calls. If those of a
   * pool differ, calls are chosen by them instead of by `slowdown`.
   */
  readonly timeRatio?: number;
  /** Expected end of its calls in progress. */
  readonly freeAt: Millis;
}

/** One call to make. */
export interface PlannedCall<P, E> {
  endpoint: E;
  pieces: P[];
}

/** The pieces that wait at one dispatcher for the endpoints of one pool. */
export interface PieceBatcher<P extends WaitingPiece> {
  readonly size: number;
  add(piece: P): void;
  remove(piece: P): void;
  /**
   * Removes and returns the pieces that would miss their deadline behind those
   * ahead of them, so that their callers learn it now and not at the deadline.
   * Pieces of client accounts above their share are not counted as ahead of
   * those of accounts within their share, unless their priority is higher.
   */
  dropInfeasible(now: Millis, forecast: WaitForecast): P[];
  /** Removes and returns the pieces of the next call, if one can start now. */
  planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
    options: { now: Millis; isBacklogged: boolean },
  ): PlannedCall<P, E> | undefined;
  /**
   * Estimates the times until a new piece of this priority is in a call; of the
   * client account, if one is given.
   */
  estimateWaits(
    priority: number,
    options: {
      now: Millis;
      forecast: WaitForecast;
      account?: string | undefined;
    },
  ): PieceWaits;
}

/** An endpoint this many times slower than the fastest free one is not used. */
const MAX_SLOWDOWN_FACTOR = 2.5;

/**
 * Creates an empty batcher; reads the specification again for each call.
 * Without `shares`, client accounts are not distinguished.
 */
export function createPieceBatcher<P extends WaitingPiece>(
  readSpec: () => BatchSpec,
  shares?: AccountShares,
): PieceBatcher<P> {
  const yieldedShare = createYieldedShare(() => readSpec().maxPieces);
  let waiting: P[] = [];
  /** Late pieces to which less urgent ones yield, by the last ranking. */
  const yieldedTo = new Set<P>();
  /** The last forecast of the waits of on-time pieces. */
  let estimateWait = estimateUnknownWait;
  /**
   * The ranking for the last account that asked for its waits. A query asks for
   * several priorities at once, and each takes a sort of the queue.
   */
  let accountRanking:
    | { account: string; now: Millis; ranking: PieceRanking<P> }
    | undefined;

  function add(piece: P): void {
    waiting.push(piece);
    accountRanking = undefined;
  }

  /** Sorts again, because lateness and started groups change over time. */
  function sortWaiting(now: Millis, spec: BatchSpec): PieceRanking<P> {
    const ranking = rankPieces(waiting, {
      now,
      spec,
      shares,
      estimateWait,
      yielded: yieldedShare.readAllowance(),
    });
    waiting = ranking.ranked.map(({ piece }) => piece);
    yieldedTo.clear();
    for (const { piece, isYieldedTo } of ranking.ranked) {
      if (isYieldedTo) yieldedTo.add(piece);
    }
    accountRanking = undefined;
    return ranking;
  }

  function remove(piece: P): void {
    const index = waiting.indexOf(piece);
    if (index >= 0) waiting.splice(index, 1);
    accountRanking = undefined;
  }

  function dropInfeasible(now: Millis, forecast: WaitForecast): P[] {
    const spec = readSpec();
    const { callTime, pieceTime } = spec;
    estimateWait = forecast.estimateOnTime;
    const infeasible: P[] = [];
    const kept: P[] = [];
    /** Kept pieces of accounts above their share by priority. */
    const beyondShare = new Map<number, number>();
    /** Kept late pieces by priority. */
    const late = new Map<number, number>();
    for (const entry of sortWaiting(now, spec).ranked) {
      const { piece, isBeyondShare } = entry;
      const { priority } = piece;
      const ignored = isBeyondShare ? 0 : [...beyondShare].reduce(
        (sum, [other, count]) => other >= priority ? sum + count : sum,
        0,
      );
      const ahead = kept.length - ignored;
      const wait = entry.isLate
        ? estimateLate(priority, { ahead, late, forecast })
        : forecast.estimateOnTime(ahead, priority);
      const isInfeasible = now + wait + callTime + pieceTime > piece.deadlineAt;
      (isInfeasible ? infeasible : kept).push(piece);
      if (!isInfeasible && entry.isLate) addCount(late, priority);
      if (!isInfeasible && isBeyondShare) {
        addCount(beyondShare, priority);
      }
    }
    waiting = kept;
    return infeasible;
  }

  /** Estimates the wait of a late piece behind others, some of them late. */
  function estimateLate(
    priority: number,
    { ahead, late, forecast }: {
      ahead: number;
      /** By priority. */
      late: ReadonlyMap<number, number>;
      forecast: WaitForecast;
    },
  ): Millis {
    const asUrgent = [...late].reduce(
      (sum, [other, count]) => other <= priority ? sum + count : sum,
      0,
    );
    return Math.min(
      forecast.estimateLate(ahead),
      forecast.estimateYielded(asUrgent, priority),
    );
  }

  function planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
    { now, isBacklogged }: { now: Millis; isBacklogged: boolean },
  ): PlannedCall<P, E> | undefined {
    const spec = readSpec();
    const free = endpoints.filter(({ calls }) => calls < spec.slots);
    if (free.length === 0) return undefined;
    const isPoolUneven = isUneven(endpoints);
    sortWaiting(now, isPoolUneven ? computeFastestSpec(spec, endpoints) : spec);
    const localityWaiting = listLocalityWaiting(waiting, {
      endpoints,
      now,
      spec,
      isPoolUneven,
    });
    const speedPlan = isPoolUneven
      ? createSpeedPlan(waiting, { endpoints, now, spec, isBacklogged })
      : undefined;
    for (const first of waiting) {
      const isLocalFree = free.some(({ info }) => info.place === first.place);
      if (!isLocalFree && localityWaiting.has(first)) continue;
      const endpoint = chooseEndpoint(first, { free, spec, speedPlan });
      if (endpoint === undefined) continue;
      const mayWait = (piece: P) =>
        (piece.place !== endpoint.info.place && localityWaiting.has(piece)) ||
        speedPlan?.isWaiting(piece, endpoint) === true;
      const pieces = choosePieces(first, {
        endpoint,
        mayWait,
        now,
        isBacklogged,
        spec,
        speedPlan,
      });
      const chosen = new Set(pieces);
      waiting = waiting.filter((piece) => !chosen.has(piece));
      const isContended = waiting.length > 0;
      const yielded = pieces.filter((piece) => yieldedTo.has(piece)).length;
      yieldedShare.recordCall(pieces.length, isContended ? yielded : 0);
      const cost = computePieceCost(spec, pieces.length);
      for (const { group, account } of pieces) {
        group.started++;
        shares?.record(account, cost);
      }
      return { endpoint, pieces };
    }
    return undefined;
  }

  /**
   * Returns the storage that a piece needs: for its whole group if none has
   * started.
   */
  function computeNeededStorage(piece: P): number {
    const { group, resultBytes } = piece;
    if (group.started > 0) return resultBytes;
    return waiting.filter((other) => other.group === group)
      .reduce((sum, other) => sum + other.resultBytes, 0);
  }

  function hasStorage(
    piece: P,
    { roomTaken, storageLeft }: { roomTaken: number; storageLeft: number },
  ): boolean {
    // A group larger than the storage of an endpoint may start on an empty one.
    if (roomTaken === 0) return piece.resultBytes <= storageLeft;
    return computeNeededStorage(piece) <= storageLeft;
  }

  /**
   * Prefers the piece's own place, to which results go, then the most free
   * storage. Among endpoints that differ in speed, the piece's objective comes
   * first, and only large transfers keep it in its own place.
   */
  function chooseEndpoint<E extends BatchEndpoint>(
    piece: P,
    { free, spec, speedPlan }: {
      free: readonly E[];
      spec: BatchSpec;
      speedPlan: SpeedPlan<P, E> | undefined;
    },
  ): E | undefined {
    // The check of the storage sums up the queue, so it comes last.
    const fitting = free.filter((endpoint) =>
      !piece.excluded.has(endpoint.info.id) &&
      speedPlan?.isWaiting(piece, endpoint) !== true &&
      hasStorage(piece, {
        roomTaken: endpoint.roomTaken,
        storageLeft: spec.storageBytes - endpoint.roomTaken,
      })
    );
    const suitable = speedPlan?.listSuitable(piece, fitting) ??
      listFast(fitting);
    const local = suitable.filter(({ info }) => info.place === piece.place);
    return findMostFree(local.length > 0 ? local : suitable);
  }

  /**
   * Fills a call. Pieces that may wait for their own place are left out, and
   * those with ample time that would make the call too long for others; except
   * under a backlog, when an unused position in a call is lost capacity.
   */
  function choosePieces(
    first: P,
    { endpoint, mayWait, now, isBacklogged, spec, speedPlan }: {
      endpoint: BatchEndpoint;
      mayWait: (piece: P) => boolean;
      now: Millis;
      isBacklogged: boolean;
      spec: BatchSpec;
      speedPlan: Pick<SpeedPlan<P, BatchEndpoint>, "mayAdd"> | undefined;
    },
  ): P[] {
    const chosen = new Set([first]);
    const startedGroups = new Set([first.group]);
    let roomTaken = endpoint.roomTaken + first.resultBytes;
    const ratio = speedPlan === undefined ? 1 : endpoint.timeRatio ?? 1;
    /** The earliest objective that the call can meet. */
    let neededBy = Infinity;

    function computeEnd(pieces: number): Millis {
      return now + ratio * (spec.callTime + pieces * spec.pieceTime);
    }

    function addObjective({ objectiveAt }: P): void {
      if (objectiveAt >= computeEnd(chosen.size)) {
        neededBy = Math.min(neededBy, objectiveAt);
      }
    }

    /** Whether it makes the call too long for others and can wait for the next. */
    function isTooMuch({ objectiveAt }: P): boolean {
      const end = computeEnd(chosen.size + 1);
      return end > neededBy &&
        objectiveAt > end + ratio * computeFullCall(spec);
    }

    addObjective(first);

    function addFitting(pieces: readonly P[]): void {
      for (const piece of pieces) {
        if (chosen.size >= spec.maxPieces) return;
        if (!mayShareCall(first, piece)) continue;
        if (chosen.has(piece) || piece.excluded.has(endpoint.info.id)) continue;
        const storageLeft = spec.storageBytes - roomTaken;
        const fits = startedGroups.has(piece.group)
          ? piece.resultBytes <= storageLeft
          : hasStorage(piece, { roomTaken, storageLeft });
        if (!fits) continue;
        if (speedPlan?.mayAdd(piece, { endpoint, chosen }) === false) continue;
        if (!isBacklogged && isTooMuch(piece)) continue;
        startedGroups.add(piece.group);
        roomTaken += piece.resultBytes;
        chosen.add(piece);
        addObjective(piece);
      }
    }

    addFitting(waiting.filter((piece) => !mayWait(piece)));
    if (isBacklogged) addFitting(waiting);
    return [...chosen];
  }

  function estimateWaits(
    priority: number,
    { now, forecast, account }: {
      now: Millis;
      forecast: WaitForecast;
      account?: string | undefined;
    },
  ): PieceWaits {
    const spec = readSpec();
    const growth = forecast.estimateGrowth(priority);
    /** By priority. */
    const late = new Map<number, number>();
    let ahead = 0;
    for (const piece of waiting) {
      if (isLate(piece, { now, spec, expectedPieces: 1 })) {
        addCount(late, piece.priority);
      } else if (piece.priority <= priority) ahead++;
    }
    if (account !== undefined && shares !== undefined) {
      if (accountRanking?.account !== account || accountRanking.now !== now) {
        const ranking = rankForAccount(waiting, { now, spec, shares, account });
        accountRanking = { account, now, ranking };
      }
      const queue = computeAccountQueue(accountRanking.ranking, {
        spec,
        shares,
        account,
        priority,
      });
      return {
        onTime: forecast.estimateOnTime(queue.ahead, priority),
        late: estimateLate(priority, {
          ahead: queue.aheadLate,
          late,
          forecast,
        }),
        growth: growth > 0 ? growth * queue.growthShare : growth,
      };
    }
    return {
      onTime: forecast.estimateOnTime(ahead, priority),
      late: estimateLate(priority, { ahead: waiting.length, late, forecast }),
      growth,
    };
  }

  return {
    get size() {
      return waiting.length;
    },
    add,
    remove,
    dropInfeasible,
    planCall,
    estimateWaits,
  };
}

function addCount(counts: Map<number, number>, priority: number): void {
  counts.set(priority, (counts.get(priority) ?? 0) + 1);
}

function mayShareCall(first: WaitingPiece, other: WaitingPiece): boolean {
  const isAnyIsolated = first.isIsolated === true || other.isIsolated === true;
  return !isAnyIsolated || first.group === other.group;
}

/** Excludes endpoints far slower than the fastest; never excludes all. */
function listFast<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const fastest = Math.min(...endpoints.map(({ slowdown }) => slowdown));
  return endpoints.filter(({ slowdown }) =>
    slowdown <= MAX_SLOWDOWN_FACTOR * fastest
  );
}

function findMostFree<E extends BatchEndpoint>(
  endpoints: readonly E[],
): E | undefined {
  return endpoints.reduce<E | undefined>(
    (best, endpoint) =>
      best === undefined || endpoint.roomTaken < best.roomTaken
        ? endpoint
        : best,
    undefined,
  );
}
