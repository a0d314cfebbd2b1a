/**
 * Ejects slow and dead endpoints for a while (outlier ejection), up to a limit:
 * a surge that makes all endpoints slow must not empty the pool.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Why an endpoint is ejected. */
export type EjectionCause = "unreachable" | "failing" | "slow";

/** The health of one endpoint as seen by one entry. */
export interface EndpointHealth {
  readonly cause: EjectionCause | undefined;
  /** Latency relative to what is expected; 1 is normal. */
  readonly slowdown: number;
  isEjected(): boolean;
  recordSuccess(ratio: number): void;
  recordFailure(cause: "unreachable" | "failing"): void;
  /** Ejects the endpoint; each consecutive ejection lasts twice as long. */
  eject(cause: EjectionCause): void;
}

const SLOWDOWN_WEIGHT = 0.1;
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION: Millis = 1_000;
const MAX_EJECTION: Millis = 15_000;
/** Consecutive successes after which earlier ejections no longer count. */
const SUCCESSES_TO_RECOVER = 5;

/** Creates the health of an endpoint without history. */
export function createEndpointHealth(clock: Clock): EndpointHealth {
  let slowdown = 1;
  let failures = 0;
  let successes = 0;
  let ejections = 0;
  let ejectedUntil = -Infinity;
  let cause: EjectionCause | undefined;

  function isEjected(): boolean {
    return clock.now() < ejectedUntil;
  }

  function eject(why: EjectionCause): void {
    if (isEjected()) return;
    const duration = FIRST_EJECTION * Math.pow(2, ejections);
    ejectedUntil = clock.now() + Math.min(MAX_EJECTION, duration);
    ejections++;
    successes = 0;
    // After an ejection, a single failure is enough for the next one.
    failures = FAILURES_TO_EJECT - 1;
    slowdown = 1;
    cause = why;
  }

  function recordSuccess(ratio: number): void {
    slowdown += SLOWDOWN_WEIGHT * (ratio - slowdown);
    failures = 0;
    if (++successes < SUCCESSES_TO_RECOVER) return;
    ejections = 0;
    cause = undefined;
  }

  function recordFailure(why: "unreachable" | "failing"): void {
    successes = 0;
    // A refused connection is conclusive; an error may be caused by the request
    // itself.
    failures = why === "unreachable" ? FAILURES_TO_EJECT : failures + 1;
    if (failures >= FAILURES_TO_EJECT) eject(why);
  }

  return {
    get cause() {
      return isEjected() ? cause : undefined;
    },
    get slowdown() {
      return slowdown;
    },
    isEjected,
    recordSuccess,
    recordFailure,
    eject,
  };
}

/**
 * An endpoint is slow if its slowdown is at least this multiple of the median
 * of its pool.
 */
const SLOW_FACTOR = 3;
/** Maximum share of a pool that is ejected for being slow. */
const SLOW_SHARE = 1 / 3;

/**
 * Ejects the slowest endpoint of a pool if it is an outlier, unless too many
 * are ejected already.
 */
export function ejectSlowest(
  pool: readonly EndpointHealth[],
): EndpointHealth | undefined {
  const inUse = pool.filter((health) => !health.isEjected());
  const ejected = pool.length - inUse.length;
  if (ejected + 1 > Math.floor(pool.length * SLOW_SHARE)) return undefined;
  const sorted = [...inUse].sort((a, b) => a.slowdown - b.slowdown);
  const median = sorted[Math.floor((sorted.length - 1) / 2)];
  const slowest = sorted.at(-1);
  if (median === undefined || slowest === undefined) return undefined;
  if (slowest.slowdown < SLOW_FACTOR * median.slowdown) return undefined;
  slowest.eject("slow");
  return slowest;
}
