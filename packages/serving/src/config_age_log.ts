/**
 * Logs when an entry's configuration has become older than the time within
 * which a new one has to be in force, and when it is fresh again.
 *
 * A read that never ends logs nothing itself, so the age is checked
 * independently of the reads.
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
  /** Returns the version in force here, that of peers, and how it is read. */
  describe: () => DecisionFields;
}

/** Logs the age of the configuration. */
export interface ConfigAgeLog {
  /** Checks the age; to be called periodically. */
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
    // There is no age before the first read.
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
