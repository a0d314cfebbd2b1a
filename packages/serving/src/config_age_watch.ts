/**
 * Writes a line when an entry's configuration has become older than the time in
 * which a new one has to be in force, and another when it is young again.
 *
 * A reading that never ends writes nothing by itself, so the age is looked at
 * beside the reading.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** Options of {@linkcode watchConfigAge}. */
export interface ConfigAgeWatchOptions {
  clock: Clock;
  signal: AbortSignal;
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "setConfigAge">;
  readAge: () => Millis;
  /** The version in force here, that of peers, and how it is read. */
  describe: () => DecisionFields;
}

/** The shortest time in which a configuration has to be in force. */
const OLD_AGE: Millis = 2_000;
const INTERVAL: Millis = 250;

/** Watches until the signal aborts. */
export async function watchConfigAge(
  { clock, signal, log, metrics, readAge, describe }: ConfigAgeWatchOptions,
): Promise<void> {
  // Before the first reading there is no age.
  let oldSince: Millis | undefined;
  while (!signal.aborted) {
    const age = readAge();
    if (Number.isFinite(age)) noteAge(age);
    await clock.sleep(INTERVAL, signal);
  }

  function noteAge(configAge: Millis): void {
    metrics.setConfigAge(configAge);
    const isOld = configAge > OLD_AGE;
    if (isOld === (oldSince !== undefined)) return;
    if (oldSince === undefined) {
      oldSince = clock.now() - configAge;
      log.record("knowledge_aged", { configAge, ...describe() });
      return;
    }
    const oldFor = clock.now() - oldSince;
    oldSince = undefined;
    log.record("knowledge_renewed", { configAge, oldFor, ...describe() });
  }
}
