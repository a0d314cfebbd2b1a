/**
 * The share of a pool's calls that on-time pieces yield to late pieces of more
 * urgent classes.
 *
 * On-time pieces go first, since late ones gain little. But a class with a tight
 * objective is late at its last stages whenever calls are full, while a less
 * urgent one with ample time stays on time for as long as the pool is
 * overloaded: without a share, the more urgent class would not be served at
 * all.
 *
 * @module
 */
import type { RankedPiece } from "./piece_ranking.ts";
import type { PieceGroup, WaitingPiece } from "../piece_batcher.ts";

/**
 * Of the pieces in calls. More would make on-time pieces late for the sake of
 * those that are late anyway.
 */
export const YIELDED_SHARE = 0.1;

/** The yielded positions of one pool. */
export interface YieldedShare {
  /** Returns how many positions may be yielded now. */
  readAllowance(): number;
  /** Records a call of this many pieces, some in yielded positions. */
  recordCall(pieces: number, yielded: number): void;
}

/** Creates the share; `maxPieces` positions at most are saved up. */
export function createYieldedShare(
  readMaxPieces: () => number,
): YieldedShare {
  let saved = 0;
  return {
    readAllowance: () => saved,
    recordCall(pieces, yielded) {
      saved = Math.min(readMaxPieces(), saved + YIELDED_SHARE * pieces) -
        yielded;
    },
  };
}

/**
 * Marks late pieces that may go before on-time ones of less urgent classes, and
 * returns whether there are any. The pieces of a request are marked together,
 * because a part of them is of no use.
 */
export function markYieldedTo<P extends WaitingPiece>(
  ranked: readonly RankedPiece<P>[],
  allowance: number,
): boolean {
  // Late pieces come last.
  if (allowance <= 0 || ranked.at(-1)?.isLate !== true) return false;
  const leastUrgent = ranked.reduce(
    (most, { isLate, piece }) => isLate ? most : Math.max(most, piece.priority),
    -Infinity,
  );
  const groups = new Set<PieceGroup>();
  let left = allowance;
  for (const entry of ranked) {
    const { group, priority } = entry.piece;
    if (!entry.isLate || priority >= leastUrgent) continue;
    if (left <= 0 && !groups.has(group)) continue;
    groups.add(group);
    entry.isYieldedTo = true;
    left--;
  }
  return groups.size > 0;
}
