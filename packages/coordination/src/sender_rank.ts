/**
 * The place of this entry among those that may send to an endpoint, on which all
 * entries agree without asking.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";

/** The rank of this entry for an endpoint; 0 is the first. */
export type FindSenderRank = (endpoint: EndpointInfo) => number;

/** Options of {@linkcode createSenderRank}. */
export interface SenderRankOptions {
  clock: Clock;
  /** The name of this entry. */
  entry: string;
  /**
   * The entries that may send to an endpoint, in order, this one among them.
   * Undefined while this entry has not heard of the others: it comes after all.
   */
  listSenders: (endpoint: EndpointInfo) => readonly string[] | undefined;
}

interface KnownRank {
  rank: number;
  rankedAt: Millis;
}

/** Ranking hundreds of entries for each request would cost more than it tells. */
const RANK_LIFETIME: Millis = 500;
/** The oldest rank is dropped above this many. */
const MAX_KNOWN = 256;

/** Creates the rank, which is reckoned anew after a while. */
export function createSenderRank(
  { clock, entry, listSenders }: SenderRankOptions,
): FindSenderRank {
  const known = new Map<string, KnownRank>();

  function computeRank(endpoint: EndpointInfo): number {
    const rank = listSenders(endpoint)?.indexOf(entry) ?? -1;
    return rank < 0 ? Infinity : rank;
  }

  return (endpoint) => {
    const key = formatEndpointKey(endpoint);
    const now = clock.now();
    const present = known.get(key);
    if (present !== undefined && now - present.rankedAt < RANK_LIFETIME) {
      return present.rank;
    }
    const rank = computeRank(endpoint);
    putBounded(known, [key, { rank, rankedAt: now }], MAX_KNOWN);
    return rank;
  };
}

/** Entries in the rendezvous order of an endpoint. */
export function listSendersFor(
  entries: readonly string[],
  endpoint: EndpointInfo,
): string[] {
  return listByRendezvous(entries, {
    key: formatEndpointKey(endpoint),
    readName: (name) => name,
  });
}
