/**
 * Claims in the log: for dated ids the first claim in log order may run the
 * request, decided the same by every reader.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { RequestKey } from "./request_id.ts";
import { formatRequestKey } from "./request_id.ts";

/** One claim as it stands in the log. */
export interface Claim extends RequestKey {
  /** Unique to one attempt to claim. */
  claimId: string;
  /** The entry incarnation that claims. */
  incarnation: string;
  /** The time inside the id; decides how long the claim is kept. */
  issuedAt: Millis;
}

/** What became of one attempt to claim. */
export type ClaimOutcome =
  | { kind: "won" }
  | { kind: "lost"; holder: string }
  | { kind: "unknown" };

/** Options of {@linkcode createClaimTable}. */
export interface ClaimTableOptions {
  clock: Clock;
  /** How old an id may be; claims are kept for twice as long. */
  window: Millis;
}

/** The claims read from the log so far. */
export interface ClaimTable {
  readonly size: number;
  /** Takes in a claim in log order. */
  apply(claim: Claim): void;
  /** The holder's claim, if one was read. */
  find(key: RequestKey): Claim | undefined;
  /** Resolves once the claim was read, or `unknown` when `signal` aborts. */
  waitFor(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome>;
  /** Whether the id is of an age at which claims can prove anything. */
  isWithinWindow(issuedAt: Millis): boolean;
}

/** Callers' clocks may be ahead of ours by this much. */
const MAX_AHEAD: Millis = 60_000;
const SWEEP_EVERY = 1_024;
const KEEP_FACTOR = 2;

/** Creates an empty claim table. */
export function createClaimTable(
  { clock, window }: ClaimTableOptions,
): ClaimTable {
  const holders = new Map<string, Claim>();
  const waiting = new Map<string, (outcome: ClaimOutcome) => void>();
  let applied = 0;

  function isWithinWindow(issuedAt: Millis): boolean {
    const age = clock.now() - issuedAt;
    return age <= window && age >= -MAX_AHEAD;
  }

  function dropExpired(): void {
    const oldest = clock.now() - KEEP_FACTOR * window;
    for (const [key, claim] of holders) {
      if (claim.issuedAt < oldest) holders.delete(key);
    }
  }

  function apply(claim: Claim): void {
    if (++applied % SWEEP_EVERY === 0) dropExpired();
    const key = formatRequestKey(claim);
    const holder = holders.get(key);
    if (holder === undefined) holders.set(key, claim);
    const first = holder ?? claim;
    const outcome: ClaimOutcome = first.claimId === claim.claimId
      ? { kind: "won" }
      : { kind: "lost", holder: first.incarnation };
    waiting.get(claim.claimId)?.(outcome);
  }

  function waitFor(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome> {
    return new Promise((resolve) => {
      function settle(outcome: ClaimOutcome): void {
        waiting.delete(claim.claimId);
        signal.removeEventListener("abort", giveUp);
        resolve(outcome);
      }
      function giveUp(): void {
        settle({ kind: "unknown" });
      }
      if (signal.aborted) return giveUp();
      const holder = holders.get(formatRequestKey(claim));
      if (holder?.claimId === claim.claimId) return settle({ kind: "won" });
      waiting.set(claim.claimId, settle);
      signal.addEventListener("abort", giveUp, { once: true });
    });
  }

  return {
    get size() {
      return holders.size;
    },
    apply,
    find: (key) => holders.get(formatRequestKey(key)),
    waitFor,
    isWithinWindow,
  };
}
