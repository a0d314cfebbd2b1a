/**
 * How long an entry reckons with others that it has not heard of yet.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Until then an entry has not heard of all others since its start. */
const LEARNING_TIME: Millis = 5_000;

/** Creates the question whether this entry, which starts now, still learns. */
export function createLearningCheck(clock: Clock): () => boolean {
  const startedAt = clock.now();
  return () => clock.now() - startedAt < LEARNING_TIME;
}
