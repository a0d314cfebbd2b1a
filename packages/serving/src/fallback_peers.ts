/**
 * Chooses the peers that an entry reads from if its parents have no fresh data.
 *
 * The store may fail to serve some entries, including all readers. The
 * remaining entries then read the store themselves, and each entry without the
 * store has to find one of them. In an outage for all entries no peer is
 * usable, so the search backs off.
 *
 * @module
 */
import { sampleItems } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createFallbackPeers}. */
export interface FallbackPeersOptions {
  clock: Clock;
  random: () => number;
}

/** Peers that replace the parents of an entry. */
export interface FallbackPeers {
  /** Returns the peer found last, which is to be asked before the parents. */
  readPreferred(): string | undefined;
  /** Returns a sample of the candidates to ask now; none during a back-off. */
  chooseCandidates(candidates: () => readonly string[]): string[];
  recordFound(address: string): void;
  recordNotFound(): void;
}

/** Peers asked in one search; the store may not serve most of them either. */
const SEARCH_COUNT = 8;
/**
 * The parents are tried again after this time; otherwise relays would lose
 * their children for good.
 */
const PREFERENCE_TTL: Millis = 5_000;
const MIN_BACKOFF: Millis = 50;
const BACKOFF_FACTOR = 1.5;
const MAX_BACKOFF: Millis = 1_600;

/** Creates the chooser of an entry that has not searched yet. */
export function createFallbackPeers(
  { clock, random }: FallbackPeersOptions,
): FallbackPeers {
  let found: { address: string; until: Millis } | undefined;
  let backoff = MIN_BACKOFF;
  let nextSearchAt: Millis = -Infinity;

  function chooseCandidates(candidates: () => readonly string[]): string[] {
    if (clock.now() < nextSearchAt) return [];
    return sampleItems(candidates(), { count: SEARCH_COUNT, random });
  }

  return {
    readPreferred() {
      if (found !== undefined && clock.now() >= found.until) found = undefined;
      return found?.address;
    },
    chooseCandidates,
    recordFound(address) {
      found = { address, until: clock.now() + PREFERENCE_TTL };
      backoff = MIN_BACKOFF;
    },
    recordNotFound() {
      nextSearchAt = clock.now() + backoff * (0.5 + random());
      backoff = Math.min(MAX_BACKOFF, BACKOFF_FACTOR * backoff);
    },
  };
}
