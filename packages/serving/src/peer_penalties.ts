/**
 * Which peers are not asked for a while because they were of no use.
 *
 * The load it answers: an outage of the store, in which nobody has anything to
 * tell; questions would take the processor from requests.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Why a peer was of no use: it did not answer, or has nothing young. */
export type UselessKind = "silent" | "old";

/** Peers that were of no use. */
export interface PeerPenalties {
  isUsable(address: string): boolean;
  note(address: string, kind: UselessKind): void;
  clear(address: string): void;
}

interface Penalty {
  duration: Millis;
  until: Millis;
}

/** The first penalty of a peer; each next one is twice as long, up to a limit. */
const PENALTIES: Readonly<
  Record<UselessKind, { first: Millis; longest: Millis }>
> = {
  silent: { first: 1_000, longest: 8_000 },
  /** One that answers, with old news or none, is about to get younger itself. */
  old: { first: 300, longest: 2_000 },
};

/** Creates penalties; every peer is usable at first. */
export function createPeerPenalties(clock: Clock): PeerPenalties {
  const penalties = new Map<string, Penalty>();

  return {
    isUsable: (address) =>
      (penalties.get(address)?.until ?? -Infinity) <= clock.now(),
    note(address, kind) {
      const { first, longest } = PENALTIES[kind];
      const last = penalties.get(address)?.duration ?? 0;
      const duration = Math.min(longest, Math.max(first, 2 * last));
      penalties.set(address, { duration, until: clock.now() + duration });
    },
    clear: (address) => void penalties.delete(address),
  };
}
