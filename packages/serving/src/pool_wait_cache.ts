/**
 * Caches the queueing delays that dispatchers report, for admission control.
 *
 * Delays are also reported with each run of pieces, but only when it ends. At
 * the start of a burst that is a second too late, and an entry that refuses all
 * requests has no runs that would report the end of the burst. Values therefore
 * expire after a short time and are fetched again.
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

/** Queueing delays by pool, partition and priority. */
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
    cache.set(formatKey(query), { waits, at: clock.now() });
  }

  function findFresh(key: string, ttl?: Millis): PieceWaits | undefined {
    const cached = cache.get(key);
    if (cached === undefined) return undefined;
    const { waits, at } = cached;
    const isLoaded = waits.late >= MIN_LOADED_WAIT;
    const maxAge = ttl ?? (isLoaded ? LOADED_TTL : IDLE_TTL);
    return clock.now() - at <= maxAge ? waits : undefined;
  }

  async function refresh(query: WaitsQuery): Promise<PieceWaits> {
    const waits = await fetchWaits(query);
    const key = formatKey(query);
    pending.delete(key);
    if (waits === undefined) {
      return findFresh(key, MAX_STALE_AGE) ?? NO_WAITS;
    }
    record(query, waits);
    return waits;
  }

  function read(query: WaitsQuery): Promise<PieceWaits> {
    const key = formatKey(query);
    const fresh = findFresh(key);
    if (fresh !== undefined) return Promise.resolve(fresh);
    const request = pending.get(key) ?? refresh(query);
    pending.set(key, request);
    return request;
  }

  return {
    record,
    read,
    peek: (query) => findFresh(formatKey(query), MAX_STALE_AGE),
  };
}

function formatKey({ pool, partition, priority }: WaitsQuery): string {
  return `${pool}/${partition}/${priority}`;
}
