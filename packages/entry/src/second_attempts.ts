/**
 * The policies for second attempts.
 *
 * @module
 */
import type { RetryBudget } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type { EntrySettings } from "./entry_settings.ts";
import type { SecondAttemptPolicy } from "./stage_attempts.ts";

/** A hedge starts after this multiple of the 95th percentile of the latency. */
const HEDGE_FACTOR = 3;
const MIN_HEDGE_DELAY: Millis = 100;
/** Time-out of one attempt of the baselines, which then retry. */
const BASELINE_ATTEMPT_TIMEOUT: Millis = 2_000;

/** Creates the second-attempt policy of an entry. */
export function createSecondAttemptPolicy(
  policy: EntrySettings["policy"],
  { budget }: { budget: RetryBudget },
): SecondAttemptPolicy {
  if (policy !== "mangoreach") return createBaselinePolicy();
  return {
    budget,
    computeHedgeDelay: (pool, size) =>
      Math.max(MIN_HEDGE_DELAY, HEDGE_FACTOR * pool.estimateSlow(size)),
    attemptTimeout: undefined,
  };
}

/** Creates the policy of the baselines: retries without a budget. */
function createBaselinePolicy(): SecondAttemptPolicy {
  return {
    budget: { balance: Infinity, deposit() {}, withdraw: () => true },
    computeHedgeDelay: () => undefined,
    attemptTimeout: BASELINE_ATTEMPT_TIMEOUT,
  };
}
