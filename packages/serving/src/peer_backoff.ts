/**
 * Skips peers for a while that did not answer or had only stale data.
 *
 * During an outage of the store no peer has fresh data; queries to peers would
 * only take processor time from requests.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Why a peer is skipped: it did not answer, or has no fresh data. */
export type BackoffReason = "silent" | "old";

/** Back-off for each peer, by its address. */
export interface PeerBackoff {
  isUsable(address: string): boolean;
  record(address: string, kind: BackoffReason): void;
  clear(address: string): void;
}

interface Backoff {
  duration: Millis;
  until: Millis;
}

/** The first back-off; each further one is twice as long, up to a limit. */
const BACKOFF_LIMITS: Readonly<
  Record<BackoffReason, { first: Millis; longest: Millis }>
> = {
  silent: { first: 1_000, longest: 8_000 },
  /** Short, as a peer with stale data or none is about to refresh it. */
  old: { first: 300, longest: 2_000 },
};

/** Creates the back-off; every peer is usable at first. */
export function createPeerBackoff(clock: Clock): PeerBackoff {
  const backoffs = new Map<string, Backoff>();

  return {
    isUsable: (address) =>
      (backoffs.get(address)?.until ?? -Infinity) <= clock.now(),
    record(address, kind) {
      const { first, longest } = BACKOFF_LIMITS[kind];
      const last = backoffs.get(address)?.duration ?? 0;
      const duration = Math.min(longest, Math.max(first, 2 * last));
      backoffs.set(address, { duration, until: clock.now() + duration });
    },
    clear: (address) => void backoffs.delete(address),
  };
}
