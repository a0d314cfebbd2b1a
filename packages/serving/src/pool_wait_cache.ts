/**
 * Caches the queueing delays that dispatchers report, for admission control.
 *
 * Delays are also reported with each run of pieces, but only when it ends. At
 * the start of a burst that is a second too late, and an entry that refuses all
 * requests has no runs that would report the end of the burst. Values therefore
 * expire after a short time and are fetched again, together with those of the
 * other priorities of the partition that are in use.
 *
 * A dispatcher with a queue reports different waits for each client account.
 * Those of an idle pool are short for all accounts, so that one reply serves
 * all of them.
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

/** Queueing delays by pool, partition, client account and priority. */
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
 * Maximum number of partitions and client accounts, those of a large site
 * several times.
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

/**
 * The waits of all priorities of one partition, for one client account or
 * regardless of the account.
 */
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

  function findCached(query: WaitsQuery): CachedWaits {
    const scope = findScope(query);
    const known = scope.get(query.priority);
    if (known !== undefined) return known;
    const cached: CachedWaits = {
      waits: undefined,
      at: -Infinity,
      readAt: -Infinity,
      pending: undefined,
    };
    putBounded(scope, [query.priority, cached], MAX_OTHER_PRIORITIES);
    return cached;
  }

  function peekCached(query: WaitsQuery): CachedWaits | undefined {
    return scopes.get(formatScope(query))?.get(query.priority);
  }

  function record(query: WaitsQuery, waits: PieceWaits): void {
    update(findCached(query), waits);
    if (query.account === undefined) return;
    // A dispatcher of an older build ignores the account.
    const { overall = waits } = waits;
    update(findCached(dropAccount(query)), overall);
  }

  function update(cached: CachedWaits, waits: PieceWaits): void {
    cached.waits = waits;
    cached.at = clock.now();
  }

  /** Returns the waits of the account, or of all if those are short. */
  function findUsable(query: WaitsQuery): PieceWaits | undefined {
    const own = findFresh(peekCached(query));
    if (own !== undefined || query.account === undefined) return own;
    const general = findFresh(peekCached(dropAccount(query)));
    return isLoaded(general) ? undefined : general;
  }

  /** Returns waits that are not too stale; of all accounts if necessary. */
  function findStale(query: WaitsQuery): PieceWaits | undefined {
    return findFresh(peekCached(query), MAX_STALE_AGE) ??
      findFresh(peekCached(dropAccount(query)), MAX_STALE_AGE);
  }

  function findFresh(
    cached: CachedWaits | undefined,
    ttl = computeTtl(cached?.waits),
  ): PieceWaits | undefined {
    if (cached === undefined) return undefined;
    return clock.now() - cached.at <= ttl ? cached.waits : undefined;
  }

  /**
   * Lists the other priorities that were read so lately that they are likely to
   * be read again while the reply is fresh. An estimate for one that is not
   * needed would cost the dispatcher a third of a query.
   */
  function listOthers(query: WaitsQuery): number[] {
    const now = clock.now();
    return [...findScope(query)]
      .filter(([other, { waits, readAt }]) =>
        other !== query.priority && now - readAt <= computeTtl(waits)
      )
      .map(([other]) => other);
  }

  async function refresh(
    query: WaitsQuery,
    cached: CachedWaits,
  ): Promise<PieceWaits> {
    const others = listOthers(query);
    const reply = await fetchWaits(
      others.length === 0 ? query : { ...query, others },
    ).finally(() => cached.pending = undefined);
    if (reply === undefined) return findStale(query) ?? NO_WAITS;
    const { others: otherWaits = [], ...waits } = reply;
    record(query, waits);
    for (const { priority, ...other } of otherWaits) {
      record({ ...query, priority }, other);
    }
    return waits;
  }

  function read(query: WaitsQuery): Promise<PieceWaits> {
    const cached = findCached(query);
    cached.readAt = clock.now();
    const fresh = findUsable(query);
    if (fresh !== undefined) return Promise.resolve(fresh);
    cached.pending ??= refresh(query, cached);
    return cached.pending;
  }

  return { record, read, peek: findStale };
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
  return isLoaded(waits) ? LOADED_TTL : IDLE_TTL;
}

function isLoaded(waits: PieceWaits | undefined): boolean {
  if (waits === undefined) return false;
  return (waits.overall?.late ?? waits.late) >= MIN_LOADED_WAIT;
}

function dropAccount({ account: _, ...query }: WaitsQuery): WaitsQuery {
  return query;
}

function formatScope(query: WaitsQuery): string {
  const { pool, partition, priority: _, others: __, ...further } = query;
  return `${pool}/${partition}${JSON.stringify(further)}`;
}
