/**
 * Decides whether the client accounts of a deployment get shares.
 *
 * @module
 */
import type { AccountSpec } from "../serving_config.ts";

/**
 * With fewer accounts, the equal share of each is more than an eighth of a
 * pool. Shares would then reorder most of the work and protect nobody: in plays
 * of a deployment with five accounts, fewer requests were in time with shares.
 */
export const MIN_COMPETING_ACCOUNTS = 8;

/** Whether the configuration has enough client accounts for shares. */
export function hasCompetingAccounts(
  accounts: readonly AccountSpec[] | undefined,
): boolean {
  return (accounts?.length ?? 0) >= MIN_COMPETING_ACCOUNTS;
}
