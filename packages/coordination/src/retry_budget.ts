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
  /** Maximum balance, for all processes that share it together. */
  max: number;
  /** Returns this process's part of `max` if several processes share it. */
  readShare?: () => number;
  /**
   * Whether what a predecessor of this process has consumed no longer counts.
   * Until then nothing is saved up: each start of a process would add to it.
   */
  isSettled?: () => boolean;
  /** Returns a number from 0 up to 1; by default 0, which grants all. */
  random?: () => number;
  /** Observes whether second attempts were granted. */
  onWithdrawn?: (isGranted: boolean) => void;
}

/** Creates a budget. */
export function createRetryBudget(
  {
    share,
    max,
    readShare = () => 1,
    isSettled = () => true,
    random = () => 0,
    onWithdrawn = () => {},
  }: RetryBudgetOptions,
): RetryBudget {
  let balance = 0;
  let isFilled = false;

  function addSaved(): void {
    if (isFilled || !isSettled()) return;
    isFilled = true;
    balance = Math.max(balance, max * readShare());
  }

  /**
   * Where a process may save up less than one attempt, it saves up one and is
   * granted that part of its attempts.
   */
  function mayUseWhole(): boolean {
    const part = max * readShare();
    return part >= 1 || random() < part;
  }

  return {
    get balance() {
      addSaved();
      return balance;
    },
    deposit() {
      addSaved();
      balance = Math.min(Math.max(1, max * readShare()), balance + share);
    },
    withdraw() {
      addSaved();
      const hasOne = balance >= 1;
      if (hasOne) balance -= 1;
      const isGranted = hasOne && mayUseWhole();
      onWithdrawn(isGranted);
      return isGranted;
    },
  };
}
