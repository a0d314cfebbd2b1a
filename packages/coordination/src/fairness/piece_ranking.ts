/**
 * Orders the pieces that wait at a dispatcher, so that the client accounts that
 * have used the endpoints least go first.
 *
 * The order shares capacity and never holds it back: whoever waits is served
 * while an endpoint is free. Each piece is ranked by the use of its account as
 * it will be after the account's pieces ahead of it; otherwise all work of one
 * account would go before all work of the next. A request ranks as a whole,
 * because a request in part is of no use.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { PieceGroup, WaitingPiece } from "../piece_batcher.ts";
import type { BatchSpec } from "../serving_config.ts";
import { computeFullCall } from "../serving_config.ts";
import type { AccountShares } from "./account_shares.ts";
import { markYieldedTo } from "./yielded_share.ts";

/** A waiting piece with its rank. */
export interface RankedPiece<P> {
  readonly piece: P;
  /** A call that starts now would miss its latency objective. */
  readonly isLate: boolean;
  /** Whether on-time pieces of less urgent classes go after it all the same. */
  isYieldedTo: boolean;
  /** Use of its account before its request, in full calls. */
  turn: number;
  /** Its account has its max-min share before its request. */
  isBeyondShare: boolean;
}

/** The waiting pieces in order. */
export interface PieceRanking<P> {
  readonly ranked: RankedPiece<P>[];
  /**
   * Max-min share of an account; infinite if one account is alone, or if all
   * pieces can meet their objectives.
   */
  readonly share: Millis;
}

/** The queue of a new piece of one client account. */
export interface AccountQueue {
  /** Pieces ahead of it if it can meet its objective. */
  ahead: number;
  /** Pieces ahead of it if it cannot. */
  aheadLate: number;
  /**
   * The part of the queue's growth that concerns the account: arrivals of
   * others delay it the less the further it is below its share.
   */
  growthShare: number;
}

/** Options of {@linkcode rankPieces} and {@linkcode computeAccountQueue}. */
export interface RankOptions {
  now: Millis;
  spec: BatchSpec;
  /** Left out if accounts are not distinguished. */
  shares: AccountShares | undefined;
}

/**
 * Estimates the wait of an on-time piece behind `ahead` others; the estimate is
 * proportional to `ahead`.
 */
type EstimateWait = (ahead: number, priority: number) => Millis;

/** Without a forecast, pieces are ordered by the use of their accounts. */
export const estimateUnknownWait: EstimateWait = () => Number.MAX_VALUE;

/**
 * Orders pieces; with a single client account by priority and objective, and so
 * with several while all on-time pieces can meet their objectives in that order.
 *
 * With several, a piece counts as late if it would miss its objective in the
 * next call that the queue can fill. By a call of one piece, an account above
 * its share would be sent pieces that are on time at the start of their call
 * and late at its end.
 */
export function rankPieces<P extends WaitingPiece>(
  waiting: readonly P[],
  { now, spec, shares, estimateWait, account, yielded = 0 }: RankOptions & {
    estimateWait: EstimateWait;
    /** How many positions may be yielded to late pieces. */
    yielded?: number;
    /** Another account that takes part although no piece of it may wait. */
    account?: string | undefined;
  },
): PieceRanking<P> {
  const first = account ?? waiting[0]?.account;
  const isAlone = shares === undefined ||
    waiting.every((piece) => piece.account === first);
  const expectedPieces = isAlone ? 1 : Math.min(waiting.length, spec.maxPieces);
  const ranked: RankedPiece<P>[] = waiting.map((piece) => ({
    piece,
    isLate: isLate(piece, { now, spec, expectedPieces }),
    isYieldedTo: false,
    turn: 0,
    isBeyondShare: false,
  }));
  ranked.sort(compareRanked);
  if (markYieldedTo(ranked, yielded)) ranked.sort(compareRanked);
  if (isAlone) return { ranked, share: Infinity };
  const callTime = spec.callTime + expectedPieces * spec.pieceTime;
  const isContended = checkContention(ranked, {
    endsAt: now + callTime,
    estimateWait,
  });
  // Nothing is dropped then, so no share is needed either.
  if (!isContended && !ranked.some(({ isLate }) => isLate)) {
    return { ranked, share: Infinity };
  }
  const cost = computePieceCost(spec, spec.maxPieces);
  const share = shares.computeShare(sumWaiting(waiting, cost));
  const used = new Map<string | undefined, Millis>();
  const starts = new Map<PieceGroup, Millis>();
  for (const entry of ranked) {
    const { group, account } = entry.piece;
    const before = used.get(account) ?? shares.readUse(account);
    const start = starts.get(group) ?? before;
    starts.set(group, start);
    used.set(account, before + cost);
    if (isContended || entry.isLate) entry.turn = computeTurn(start, spec);
    entry.isBeyondShare = start > share;
  }
  return { ranked: ranked.sort(compareRanked), share };
}

/**
 * Whether some on-time pieces would miss their objective, or their deadline, in
 * the order of objectives. While none does, that order serves all accounts; the
 * order by use would make pieces late that could be in time.
 */
function checkContention(
  ranked: readonly RankedPiece<WaitingPiece>[],
  { endsAt, estimateWait }: {
    endsAt: Millis;
    estimateWait: EstimateWait;
  },
): boolean {
  const waits = new Map<number, Millis>();
  return ranked.some(({ piece, isLate }, ahead) => {
    if (isLate) return false;
    const { priority, objectiveAt, deadlineAt } = piece;
    const perPiece = waits.get(priority) ?? estimateWait(1, priority);
    waits.set(priority, perPiece);
    return endsAt + ahead * perPiece > Math.min(objectiveAt, deadlineAt);
  });
}

/** Orders pieces for {@linkcode computeAccountQueue}. */
export function rankForAccount<P extends WaitingPiece>(
  waiting: readonly P[],
  options: RankOptions & { account: string },
): PieceRanking<P> {
  // The new piece may be the one that makes the queue contended.
  return rankPieces(waiting, {
    ...options,
    estimateWait: estimateUnknownWait,
  });
}

/** Computes the queue of a new piece of one account and priority. */
export function computeAccountQueue(
  { ranked, share }: PieceRanking<WaitingPiece>,
  { account, priority, shares, spec }: Omit<RankOptions, "now"> & {
    account: string;
    priority: number;
    shares: AccountShares;
  },
): AccountQueue {
  const own = ranked.filter(({ piece }) => piece.account === account);
  const ownAhead = own.filter(({ piece, isLate }) =>
    !isLate && piece.priority <= priority
  );
  const cost = computePieceCost(spec, spec.maxPieces);
  const use = shares.readUse(account);
  const start = use + ownAhead.length * cost;
  const turn = share === Infinity ? Infinity : computeTurn(start, spec);
  const isWithin = use + own.length * cost <= share;
  const ahead = ranked.filter((entry) =>
    !entry.isLate && (entry.piece.priority < priority ||
      entry.piece.priority === priority &&
        (entry.piece.group.started > 0 || entry.turn <= turn))
  );
  const aheadLate = ranked.filter(({ piece, isBeyondShare }) =>
    !isWithin || !isBeyondShare || piece.priority < priority
  );
  return {
    ahead: ahead.length,
    aheadLate: aheadLate.length,
    growthShare: start < share && share < Infinity ? start / share : 1,
  };
}

/**
 * Whether a call of this many pieces that starts now would miss the latency
 * objective.
 */
export function isLate(
  { objectiveAt }: WaitingPiece,
  { now, spec, expectedPieces }: {
    now: Millis;
    spec: BatchSpec;
    expectedPieces: number;
  },
): boolean {
  return now + spec.callTime + expectedPieces * spec.pieceTime > objectiveAt;
}

/** Computes the endpoint time of a piece in a call of a number of pieces. */
export function computePieceCost(
  { callTime, pieceTime }: BatchSpec,
  pieces: number,
): Millis {
  return pieceTime + callTime / pieces;
}

/**
 * Accounts whose use differs by less than a full call rank alike, and the
 * earliest objective decides between them.
 */
function computeTurn(use: Millis, spec: BatchSpec): number {
  return Math.floor(use / computeFullCall(spec));
}

function sumWaiting(
  waiting: readonly WaitingPiece[],
  cost: Millis,
): Map<string | undefined, Millis> {
  const sums = new Map<string | undefined, Millis>();
  for (const { account } of waiting) {
    sums.set(account, (sums.get(account) ?? 0) + cost);
  }
  return sums;
}

function isLast({ isLate, isYieldedTo }: RankedPiece<WaitingPiece>): boolean {
  return isLate && !isYieldedTo;
}

function compareRanked(
  a: RankedPiece<WaitingPiece>,
  b: RankedPiece<WaitingPiece>,
): number {
  const byStart = Number(b.piece.group.started > 0) -
    Number(a.piece.group.started > 0);
  return Number(isLast(a)) - Number(isLast(b)) ||
    a.piece.priority - b.piece.priority ||
    Number(a.isLate) - Number(b.isLate) || byStart || a.turn - b.turn ||
    a.piece.objectiveAt - b.piece.objectiveAt;
}
