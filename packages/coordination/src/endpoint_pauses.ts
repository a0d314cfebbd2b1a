/**
 * The pauses that endpoints have asked this entry for, when they turned its
 * requests away.
 *
 * The load it answers: an endpoint that turns all away at once has the fewest
 * requests in progress, so it would be chosen first for as long as it does, and
 * each request would cost a repeat at another one.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** What is left of pauses. */
export interface EndpointPauses {
  /** An endpoint wants nothing from this entry for so long. */
  note(endpointKey: string, pause: Millis): void;
  /** What is left of its pause; 0 if there is none. */
  readLeft(endpointKey: string): Millis;
  /** Whether no pause is known. */
  isEmpty(): boolean;
}

/** The oldest pause is dropped above this many. */
const MAX_KNOWN = 1_024;

/** Creates the pauses of an entry that was turned away by nobody. */
export function createEndpointPauses(clock: Clock): EndpointPauses {
  const until = new Map<string, Millis>();

  function readLeft(endpointKey: string): Millis {
    const left = (until.get(endpointKey) ?? 0) - clock.now();
    if (left > 0) return left;
    until.delete(endpointKey);
    return 0;
  }

  /** Answers overtake each other: a shorter pause does not end a longer one. */
  function note(endpointKey: string, pause: Millis): void {
    const longest = Math.max(pause, readLeft(endpointKey));
    until.delete(endpointKey);
    putBounded(until, [endpointKey, clock.now() + longest], MAX_KNOWN);
  }

  return { note, readLeft, isEmpty: () => until.size === 0 };
}
