/**
 * The rank of this entry among those that may send to an endpoint. All entries
 * agree on the ranks without coordination.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";

/** Returns the rank of this entry for an endpoint; 0 is the first. */
export type FindSenderRank = (endpoint: EndpointInfo) => number;

/** Options of {@linkcode createSenderRank}. */
export interface SenderRankOptions {
  clock: Clock;
  /** The name of this entry. */
  entry: string;
  /**
   * Returns the entries that may send to an endpoint, including this one, in
   * order. Undefined while this entry does not know the others; it then ranks
   * last.
   */
  listSenders: (endpoint: EndpointInfo) => readonly string[] | undefined;
}

interface CachedRank {
  rank: number;
  rankedAt: Millis;
}

/**
 * Ranks are cached: ranking hundreds of entries per request is too expensive.
 */
const RANK_TTL: Millis = 500;
/** Maximum number of cached ranks; evicts the oldest. */
const MAX_RANKS = 256;

/** Creates the rank lookup, with a cache. */
export function createSenderRank(
  { clock, entry, listSenders }: SenderRankOptions,
): FindSenderRank {
  const known = new Map<string, CachedRank>();

  function computeRank(endpoint: EndpointInfo): number {
    const rank = listSenders(endpoint)?.indexOf(entry) ?? -1;
    return rank < 0 ? Infinity : rank;
  }

  return (endpoint) => {
    const key = formatEndpointKey(endpoint);
    const now = clock.now();
    const cached = known.get(key);
    if (cached !== undefined && now - cached.rankedAt < RANK_TTL) {
      return cached.rank;
    }
    const rank = computeRank(endpoint);
    putBounded(known, [key, { rank, rankedAt: now }], MAX_RANKS);
    return rank;
  };
}

/** Returns entries in the rendezvous order of an endpoint. */
export function rankSenders(
  entries: readonly string[],
  endpoint: EndpointInfo,
): string[] {
  return listByRendezvous(entries, {
    key: formatEndpointKey(endpoint),
    readName: (name) => name,
  });
}
