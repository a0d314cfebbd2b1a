/**
 * Whom an entry asks when its usual parents tell nothing young: any other entry.
 *
 * The load it answers: the store turns some entries away, all readers among
 * them. The others read the store for themselves then, and whoever is turned
 * away has to find one of them. In an outage for all, nobody is of use, and the
 * search is paced.
 *
 * @module
 */
import { drawSome } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createFallbackPeers}. */
export interface FallbackPeersOptions {
  clock: Clock;
  random: () => number;
}

/** Peers that stand in for parents. */
export interface FallbackPeers {
  /** The one that was of use last, to be asked before the parents. */
  readKept(): string | undefined;
  /** A few of the candidates to ask now; none so shortly after a failure. */
  chooseSearched(candidates: () => readonly string[]): string[];
  noteFound(address: string): void;
  noteNotFound(): void;
}

/** Asked at once in one search: most of them may be turned away as well. */
const SEARCHED = 8;
/** Parents are tried again after this, or relays would lose their askers. */
const KEEP_TIME: Millis = 5_000;
const FIRST_PAUSE: Millis = 50;
const PAUSE_GROWTH = 1.5;
const LONGEST_PAUSE: Millis = 1_600;

/** Creates the choice of an entry that has asked nobody yet. */
export function createFallbackPeers(
  { clock, random }: FallbackPeersOptions,
): FallbackPeers {
  let kept: { address: string; until: Millis } | undefined;
  let pause = FIRST_PAUSE;
  let searchAt: Millis = -Infinity;

  function chooseSearched(candidates: () => readonly string[]): string[] {
    if (clock.now() < searchAt) return [];
    return drawSome(candidates(), { count: SEARCHED, random });
  }

  return {
    readKept() {
      if (kept !== undefined && clock.now() >= kept.until) kept = undefined;
      return kept?.address;
    },
    chooseSearched,
    noteFound(address) {
      kept = { address, until: clock.now() + KEEP_TIME };
      pause = FIRST_PAUSE;
    },
    noteNotFound() {
      searchAt = clock.now() + pause * (0.5 + random());
      pause = Math.min(LONGEST_PAUSE, PAUSE_GROWTH * pause);
    },
  };
}
