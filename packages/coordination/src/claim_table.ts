/**
 * Claims in the log. Among the claims for an id that carries its time, the
 * first one in log order may run the request; every reader decides the same.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { RequestKey } from "./request_id.ts";
import { formatRequestKey } from "./request_id.ts";

/** A claim as stored in the log. */
export interface Claim extends RequestKey {
  /** Unique to one attempt to claim. */
  claimId: string;
  /** The entry incarnation that claims. */
  incarnation: string;
  /** The time in the id; determines how long the claim is kept. */
  issuedAt: Millis;
}

/** The result of one attempt to claim. */
export type ClaimOutcome =
  | { kind: "won" }
  | { kind: "lost"; holder: string }
  | { kind: "unknown" };

/** Options of {@linkcode createClaimTable}. */
export interface ClaimTableOptions {
  clock: Clock;
  /** Maximum age of an id; claims are kept for twice as long. */
  window: Millis;
}

/** The claims read from the log so far. */
export interface ClaimTable {
  readonly size: number;
  /** Applies a claim, in log order. */
  apply(claim: Claim): void;
  /** Returns the claim that won, if one was read. */
  find(key: RequestKey): Claim | undefined;
  /**
   * Resolves once the claim has been read, or to `unknown` when `signal`
   * aborts.
   */
  waitFor(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome>;
  /** Whether claims are conclusive for an id of this age. */
  isWithinWindow(issuedAt: Millis): boolean;
}

/** Maximum time that callers' clocks may be ahead. */
const MAX_CLOCK_LEAD: Millis = 60_000;
const SWEEP_INTERVAL = 1_024;
const RETENTION_FACTOR = 2;

/** Creates an empty claim table. */
export function createClaimTable(
  { clock, window }: ClaimTableOptions,
): ClaimTable {
  const holders = new Map<string, Claim>();
  const waiting = new Map<string, (outcome: ClaimOutcome) => void>();
  let applied = 0;

  function isWithinWindow(issuedAt: Millis): boolean {
    const age = clock.now() - issuedAt;
    return age <= window && age >= -MAX_CLOCK_LEAD;
  }

  function dropExpired(): void {
    const oldest = clock.now() - RETENTION_FACTOR * window;
    for (const [key, claim] of holders) {
      if (claim.issuedAt < oldest) holders.delete(key);
    }
  }

  function apply(claim: Claim): void {
    if (++applied % SWEEP_INTERVAL === 0) dropExpired();
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
        signal.removeEventListener("abort", abandon);
        resolve(outcome);
      }
      function abandon(): void {
        settle({ kind: "unknown" });
      }
      if (signal.aborted) return abandon();
      const holder = holders.get(formatRequestKey(claim));
      if (holder?.claimId === claim.claimId) return settle({ kind: "won" });
      waiting.set(claim.claimId, settle);
      signal.addEventListener("abort", abandon, { once: true });
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
