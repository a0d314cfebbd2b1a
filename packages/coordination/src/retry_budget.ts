/**
 * A budget for retries and hedges as a share of fresh requests, so that a stage
 * that fails or slows down does not get more work because of it.
 *
 * @module
 */

/** A budget that fresh requests fill and second attempts use up. */
export interface RetryBudget {
  readonly balance: number;
  /** Notes a fresh request. */
  deposit(): void;
  /** Takes one second attempt; false when there is none left. */
  withdraw(): boolean;
}

/** Options of {@linkcode createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Second attempts allowed for each fresh request. */
  share: number;
  /** Most that can be saved up; also what an idle system starts with. */
  max: number;
  /** The part of `max` that is this process's own, where several share it. */
  readPart?: () => number;
}

/** Creates a full budget. */
export function createRetryBudget(
  { share, max, readPart = () => 1 }: RetryBudgetOptions,
): RetryBudget {
  let balance = max * readPart();
  return {
    get balance() {
      return balance;
    },
    deposit() {
      balance = Math.min(max * readPart(), balance + share);
    },
    withdraw() {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
