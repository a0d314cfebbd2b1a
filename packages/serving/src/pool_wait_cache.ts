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
import type { WaitsQuery, WaitsReply } from "@mangoreach/peers";
import { MAX_OTHER_PRIORITIES } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** Options of {@linkcode createPoolWaitCache}. */
export interface PoolWaitCacheOptions {
  clock: Clock;
  /** Queries the dispatcher; undefined if it does not reply. */
  fetchWaits: (query: WaitsQuery) => Promise<WaitsReply | undefined>;
}

/**
 * Queueing delays by pool, partition and priority. Queries that differ in any
 * further field share nothing, as an answer may depend on it.
 */
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
/**
 * Maximum number of pools and partitions, those of a large site several times.
 */
const MAX_SCOPES = 1_024;
const NO_WAITS: PieceWaits = { onTime: 0, late: 0, growth: 0 };

/** The waits of one priority. */
interface CachedWaits {
  /** Undefined until the first reply. */
  waits: PieceWaits | undefined;
  at: Millis;
  /** When they were last read for a request. */
  readAt: Millis;
  /** The query in progress. */
  pending: Promise<PieceWaits> | undefined;
}

/** The waits of all priorities of one partition. */
type Scope = Map<number, CachedWaits>;

/** Creates an empty cache. */
export function createPoolWaitCache(
  { clock, fetchWaits }: PoolWaitCacheOptions,
): PoolWaitCache {
  const scopes = new Map<string, Scope>();

  function findScope(query: WaitsQuery): Scope {
    const key = formatScope(query);
    const scope: Scope = scopes.get(key) ?? new Map();
    // The one that was used last is evicted last.
    scopes.delete(key);
    putBounded(scopes, [key, scope], MAX_SCOPES);
    return scope;
  }

  function findCached(scope: Scope, priority: number): CachedWaits {
    const known = scope.get(priority);
    if (known !== undefined) return known;
    const cached: CachedWaits = {
      waits: undefined,
      at: -Infinity,
      readAt: -Infinity,
      pending: undefined,
    };
    putBounded(scope, [priority, cached], MAX_OTHER_PRIORITIES);
    return cached;
  }

  function update(cached: CachedWaits, waits: PieceWaits): void {
    cached.waits = waits;
    cached.at = clock.now();
  }

  function record(query: WaitsQuery, waits: PieceWaits): void {
    update(findCached(findScope(query), query.priority), waits);
  }

  function findFresh(
    { waits, at }: CachedWaits,
    ttl = computeTtl(waits),
  ): PieceWaits | undefined {
    return clock.now() - at <= ttl ? waits : undefined;
  }

  /**
   * Lists the other priorities that were read so lately that they are likely to
   * be read again while the reply is fresh. An estimate for one that is not
   * needed would cost the dispatcher a third of a query.
   */
  function listOthers(scope: Scope, { priority }: WaitsQuery): number[] {
    const now = clock.now();
    return [...scope]
      .filter(([other, { waits, readAt }]) =>
        other !== priority && now - readAt <= computeTtl(waits)
      )
      .map(([other]) => other);
  }

  async function refresh(
    query: WaitsQuery,
    scope: Scope,
    cached: CachedWaits,
  ): Promise<PieceWaits> {
    const others = listOthers(scope, query);
    const reply = await fetchWaits(
      others.length === 0 ? query : { ...query, others },
    );
    cached.pending = undefined;
    if (reply === undefined) {
      return findFresh(cached, MAX_STALE_AGE) ?? NO_WAITS;
    }
    const { others: otherWaits = [], ...waits } = reply;
    update(cached, waits);
    for (const { priority, ...other } of otherWaits) {
      update(findCached(scope, priority), other);
    }
    return waits;
  }

  function read(query: WaitsQuery): Promise<PieceWaits> {
    const scope = findScope(query);
    const cached = findCached(scope, query.priority);
    cached.readAt = clock.now();
    const fresh = findFresh(cached);
    if (fresh !== undefined) return Promise.resolve(fresh);
    cached.pending ??= refresh(query, scope, cached);
    return cached.pending;
  }

  return {
    record,
    read,
    peek(query) {
      const cached = scopes.get(formatScope(query))?.get(query.priority);
      return cached && findFresh(cached, MAX_STALE_AGE);
    },
  };
}

/** Answers a query; `readWaits` estimates the waits of one priority. */
export function answerWaitsQuery(
  { priority, others = [] }: WaitsQuery,
  readWaits: (priority: number) => PieceWaits,
): WaitsReply {
  const waits = readWaits(priority);
  if (others.length === 0) return waits;
  return {
    ...waits,
    others: others.map((other) => ({ priority: other, ...readWaits(other) })),
  };
}

function computeTtl(waits: PieceWaits | undefined): Millis {
  const isLoaded = waits !== undefined && waits.late >= MIN_LOADED_WAIT;
  return isLoaded ? LOADED_TTL : IDLE_TTL;
}

function formatScope(query: WaitsQuery): string {
  const { pool, partition, priority: _, others: __, ...further } = query;
  return `${pool}/${partition}${JSON.stringify(further)}`;
}
