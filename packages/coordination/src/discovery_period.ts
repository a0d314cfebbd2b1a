/**
 * The period after its start in which an entry assumes that there are others it
 * has not discovered yet.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Time after its start by which an entry has discovered all others. */
const DISCOVERY_PERIOD: Millis = 5_000;

/**
 * Creates a check of whether this entry, which starts now, is still discovering
 * others.
 */
export function createDiscoveryCheck(clock: Clock): () => boolean {
  const startedAt = clock.now();
  return () => clock.now() - startedAt < DISCOVERY_PERIOD;
}
