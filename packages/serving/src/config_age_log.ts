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

/** Options of {@linkcode createConfigAgeLog}. */
export interface ConfigAgeLogOptions {
  clock: Clock;
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "setConfigAge">;
  readAge: () => Millis;
  /** The version in force here, that of peers, and how it is read. */
  describe: () => DecisionFields;
}

/** What is written of the configuration's age. */
export interface ConfigAgeLog {
  /** Looks at the age; to be called again and again. */
  check(): void;
}

/** The shortest time in which a configuration has to be in force. */
const STALE_AGE: Millis = 2_000;

/** Creates the log of an entry that has read nothing yet. */
export function createConfigAgeLog(
  { clock, log, metrics, readAge, describe }: ConfigAgeLogOptions,
): ConfigAgeLog {
  let staleSince: Millis | undefined;

  function check(): void {
    const configAge = readAge();
    // Before the first reading there is no age.
    if (!Number.isFinite(configAge)) return;
    metrics.setConfigAge(configAge);
    const isOld = configAge > STALE_AGE;
    if (isOld === (staleSince !== undefined)) return;
    if (staleSince === undefined) {
      staleSince = clock.now() - configAge;
      log.record("knowledge_aged", { configAge, ...describe() });
      return;
    }
    const oldFor = clock.now() - staleSince;
    staleSince = undefined;
    log.record("knowledge_renewed", { configAge, oldFor, ...describe() });
  }

  return { check };
}
