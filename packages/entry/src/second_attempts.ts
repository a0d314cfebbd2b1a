/**
 * When second attempts are made, by policy.
 *
 * @module
 */
import type { RetryBudget } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type { EntrySettings } from "./entry_settings.ts";
import type { SecondAttemptPolicy } from "./stage_attempts.ts";

/** A hedge starts only when an attempt is far slower than one in twenty. */
const HEDGE_FACTOR = 3;
const MIN_HEDGE_DELAY: Millis = 100;
/** The baselines give up an attempt after this time and try again. */
const BASELINE_ATTEMPT_TIMEOUT: Millis = 2_000;

/** Creates the policy of an entry. */
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

/** Retries without a budget, as the baselines make them. */
function createBaselinePolicy(): SecondAttemptPolicy {
  return {
    budget: { balance: Infinity, deposit() {}, withdraw: () => true },
    computeHedgeDelay: () => undefined,
    attemptTimeout: BASELINE_ATTEMPT_TIMEOUT,
  };
}
