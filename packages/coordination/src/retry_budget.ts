/**
 * A budget that limits retries and hedges to a share of first attempts, so that
 * a stage that fails or slows down does not get more work because of it.
 *
 * @module
 */

/** A budget that first attempts fill and second attempts consume. */
export interface RetryBudget {
  readonly balance: number;
  /** Records a first attempt. */
  deposit(): void;
  /** Consumes one second attempt; returns false if none is left. */
  withdraw(): boolean;
}

/** Options of {@linkcode createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Second attempts allowed for each first attempt. */
  share: number;
  /** Maximum balance; also the initial one. */
  max: number;
  /** Returns this process's part of `max` if several processes share it. */
  readShare?: () => number;
  /** Observes whether second attempts were granted. */
  onWithdrawn?: (isGranted: boolean) => void;
}

/** Creates a full budget. */
export function createRetryBudget(
  { share, max, readShare = () => 1, onWithdrawn = () => {} }:
    RetryBudgetOptions,
): RetryBudget {
  let balance = max * readShare();
  return {
    get balance() {
      return balance;
    },
    deposit() {
      balance = Math.min(max * readShare(), balance + share);
    },
    withdraw() {
      const isGranted = balance >= 1;
      if (isGranted) balance -= 1;
      onWithdrawn(isGranted);
      return isGranted;
    },
  };
}
