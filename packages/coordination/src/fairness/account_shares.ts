/**
 * Tracks how much endpoint time of a pool partition each client account has
 * used recently, and computes from it which accounts are above their max-min
 * fair share.
 *
 * Past use decays, so that an account is judged by the last seconds: a burst is
 * charged for some calls, not for the rest of the day. The number of accounts
 * is bounded; the least used is evicted first, so that the accounts that can be
 * above their share remain known.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Recent use of one client account. */
export interface AccountUse {
  /** Empty for pieces without an account. */
  readonly account: string;
  /** Endpoint time with exponential decay. */
  readonly use: Millis;
  /** Pieces dropped since the account is tracked. */
  readonly drops: number;
}

/** The use of one pool partition by client account. */
export interface AccountShares {
  /** Records endpoint time; all pieces without an account count as one. */
  record(account: string | undefined, time: Millis): void;
  recordDrop(account: string | undefined): void;
  /** Returns the recent endpoint time; 0 for an unknown account. */
  readUse(account: string | undefined): Millis;
  /** Returns the account's part of the recent endpoint time, in percent. */
  readPercent(account: string | undefined): number;
  /**
   * Computes the max-min share: the recent use above which an account has more
   * than its part while the given work of others waits. Infinite if none waits.
   */
  computeShare(waiting: ReadonlyMap<string | undefined, Millis>): Millis;
  /** Lists the accounts with the most use, at most `count`. */
  listMostUsed(count: number): AccountUse[];
}

/**
 * Full calls of the known stage pools take about 370 ms, so this is five to six
 * of them. With less, the order follows single calls; with more, an account
 * stays behind the others for seconds after the end of its burst.
 */
const HALF_LIFE: Millis = 2_000;
/** Maximum number of accounts tracked by name. */
export const MAX_TRACKED_ACCOUNTS = 256;

interface TrackedAccount {
  use: Millis;
  /** Time to which `use` has decayed. */
  at: Millis;
  drops: number;
}

/** Creates the record of a dispatcher that has sent no calls. */
export function createAccountShares(clock: Clock): AccountShares {
  const tracked = new Map<string, TrackedAccount>();

  function readDecayed({ use, at }: TrackedAccount): Millis {
    return use * 0.5 ** ((clock.now() - at) / HALF_LIFE);
  }

  function findTracked(account = ""): TrackedAccount {
    const known = tracked.get(account);
    if (known !== undefined) return known;
    if (tracked.size >= MAX_TRACKED_ACCOUNTS) evictLeastUsed();
    const created = { use: 0, at: clock.now(), drops: 0 };
    tracked.set(account, created);
    return created;
  }

  function evictLeastUsed(): void {
    let least = Infinity;
    let evicted: string | undefined;
    for (const [account, entry] of tracked) {
      const use = readDecayed(entry);
      if (use >= least) continue;
      least = use;
      evicted = account;
    }
    if (evicted !== undefined) tracked.delete(evicted);
  }

  function readUse(account = ""): Millis {
    const known = tracked.get(account);
    return known === undefined ? 0 : readDecayed(known);
  }

  function sumUse(): Millis {
    return [...tracked.values()]
      .reduce((sum, entry) => sum + readDecayed(entry), 0);
  }

  return {
    record(account, time) {
      const entry = findTracked(account);
      entry.use = readDecayed(entry) + time;
      entry.at = clock.now();
    },
    recordDrop: (account) => void findTracked(account).drops++,
    readUse,
    readPercent(account) {
      const total = sumUse();
      return total === 0 ? 0 : 100 * readUse(account) / total;
    },
    computeShare(waiting) {
      if (waiting.size === 0) return Infinity;
      const demands = new Map<string, Millis>();
      for (const [account, entry] of tracked) {
        demands.set(account, readDecayed(entry));
      }
      for (const [account = "", time] of waiting) {
        demands.set(account, (demands.get(account) ?? 0) + time);
      }
      return computeMaxMinShare([...demands.values()], sumUse());
    },
    listMostUsed: (count) =>
      [...tracked]
        .map(([account, entry]) => ({
          account,
          use: readDecayed(entry),
          drops: entry.drops,
        }))
        .sort((a, b) => b.use - a.use)
        .slice(0, count),
  };
}

/**
 * Computes the max-min share: the level at which the demands, each cut to the
 * level, add up to the capacity. Infinite if the demands do not exceed it.
 */
export function computeMaxMinShare(
  demands: readonly number[],
  capacity: number,
): number {
  const ascending = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (const [index, demand] of ascending.entries()) {
    const equal = left / (ascending.length - index);
    if (demand > equal) return equal;
    left -= demand;
  }
  return Infinity;
}
