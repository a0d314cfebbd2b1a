/**
 * Caches the queueing delays that dispatchers report, for admission control.
 *
 * Delays are also reported with each run of pieces, but only when it ends. At
 * the start of a burst that is a second too late, and an entry that refuses all
 * requests has no runs that would report the end of the burst. Values therefore
 * expire after a short time and are fetched again.
 *
 * A dispatcher with a queue reports different waits for each client account.
 * Those of an idle pool are short for all accounts, so that one reply serves
 * all of them.
 *
 * @module
 */
import type { PieceWaits } from "@mangoreach/coordination";
import type { WaitsQuery } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createPoolWaitCache}. */
export interface PoolWaitCacheOptions {
  clock: Clock;
  /** Queries the dispatcher; undefined if it does not reply. */
  fetchWaits: (query: WaitsQuery) => Promise<PieceWaits | undefined>;
}

/** Queueing delays by pool, partition, priority and client account. */
export interface PoolWaitCache {
  record(query: WaitsQuery, waits: PieceWaits): void;
  /** Returns fresh waits, from the cache or the dispatcher. */
  read(query: WaitsQuery): Promise<PieceWaits>;
  /** Returns cached waits that are not too stale, without a query. */
  peek(query: WaitsQuery): PieceWaits | undefined;
}

/** TTL for an idle pool; a queue of one second takes longer to build up. */
const IDLE_TTL: Millis = 400;
/**
 * TTL for a loaded pool; its queue changes with every call, in about 300 ms.
 */
const LOADED_TTL: Millis = 120;
/** Shorter waits are normal gaps between two calls. */
const MIN_LOADED_WAIT: Millis = 100;
/** Older waits of a dispatcher that does not reply are ignored. */
const MAX_STALE_AGE: Millis = 800;
/** Maximum number of cached waits; the oldest is removed first. */
const MAX_CACHED = 1_024;
const NO_WAITS: PieceWaits = { onTime: 0, late: 0, growth: 0 };

interface CachedWaits {
  waits: PieceWaits;
  at: Millis;
}

/** Creates an empty cache. */
export function createPoolWaitCache(
  { clock, fetchWaits }: PoolWaitCacheOptions,
): PoolWaitCache {
  const cache = new Map<string, CachedWaits>();
  const pending = new Map<string, Promise<PieceWaits>>();

  function record(query: WaitsQuery, waits: PieceWaits): void {
    store(formatKey(query), waits);
    // A dispatcher of an older build ignores the account.
    const general = { ...query, account: undefined };
    store(formatKey(general), waits.overall ?? waits);
  }

  function store(key: string, waits: PieceWaits): void {
    cache.delete(key);
    cache.set(key, { waits, at: clock.now() });
    if (cache.size <= MAX_CACHED) return;
    const [oldest] = cache.keys();
    if (oldest !== undefined) cache.delete(oldest);
  }

  /** Returns the waits of the account, or of all if those are short. */
  function findUsable(query: WaitsQuery): PieceWaits | undefined {
    const own = findFresh(formatKey(query));
    if (own !== undefined || query.account === undefined) return own;
    const general = findFresh(formatKey({ ...query, account: undefined }));
    if (general === undefined) return undefined;
    return isLoaded(general) ? undefined : general;
  }

  /** Returns waits that are not too stale; of all accounts if necessary. */
  function findStale(query: WaitsQuery): PieceWaits | undefined {
    return findFresh(formatKey(query), MAX_STALE_AGE) ??
      findFresh(formatKey({ ...query, account: undefined }), MAX_STALE_AGE);
  }

  function findFresh(key: string, ttl?: Millis): PieceWaits | undefined {
    const cached = cache.get(key);
    if (cached === undefined) return undefined;
    const { waits, at } = cached;
    const maxAge = ttl ?? (isLoaded(waits) ? LOADED_TTL : IDLE_TTL);
    return clock.now() - at <= maxAge ? waits : undefined;
  }

  async function refresh(query: WaitsQuery): Promise<PieceWaits> {
    const waits = await fetchWaits(query);
    const key = formatKey(query);
    pending.delete(key);
    if (waits === undefined) return findStale(query) ?? NO_WAITS;
    record(query, waits);
    return waits;
  }

  function read(query: WaitsQuery): Promise<PieceWaits> {
    const key = formatKey(query);
    const fresh = findUsable(query);
    if (fresh !== undefined) return Promise.resolve(fresh);
    const request = pending.get(key) ?? refresh(query);
    pending.set(key, request);
    return request;
  }

  return {
    record,
    read,
    peek: findStale,
  };
}

function isLoaded({ late, overall }: PieceWaits): boolean {
  return (overall?.late ?? late) >= MIN_LOADED_WAIT;
}

function formatKey(
  { pool, partition, priority, account }: WaitsQuery,
): string {
  const key = `${pool}/${partition}/${priority}`;
  return account === undefined ? key : `${key}/${account}`;
}
