/**
 * Crashes that were read from the platform's store, some of them from before this
 * process started. Those count once another crash with one of their traits is
 * known.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { CrashedRun } from "./crash_evidence.ts";
import { EVIDENCE_TTL } from "./crash_evidence.ts";

/** Crashed runs by their traits. */
export interface CrashHistory {
  isEmpty(): boolean;
  /** Adds a run under those of its traits that may still be to blame. */
  add(run: CrashedRun, traits: readonly string[]): void;
  /** Counts the endpoints that crashed during runs with a trait. */
  countEndpoints(trait: string): number;
  /** Removes and returns the runs with a trait, oldest first. */
  remove(trait: string): CrashedRun[];
  removeExpired(): void;
}

interface PastRun {
  run: CrashedRun;
  notedAt: Millis;
}

/** Each trait has a few runs; evicts the traits that were added first. */
const MAX_TRAITS = 512;
const MAX_RUNS = 32;

/** Creates an empty history. */
export function createCrashHistory(clock: Clock): CrashHistory {
  const byTrait = new Map<string, PastRun[]>();

  /** Adds the time since the run was noted. */
  function readAged({ run, notedAt }: PastRun): CrashedRun {
    const since = clock.now() - notedAt;
    return {
      ...run,
      sentAgo: run.sentAgo + since,
      endedAgo: run.endedAgo + since,
    };
  }

  function listRecent(trait: string): CrashedRun[] {
    return (byTrait.get(trait) ?? []).map(readAged)
      .filter(({ endedAgo }) => endedAgo < EVIDENCE_TTL);
  }

  function add(run: CrashedRun, traits: readonly string[]): void {
    const past = { run, notedAt: clock.now() };
    for (const trait of traits) {
      const runs = [...byTrait.get(trait) ?? [], past].slice(-MAX_RUNS);
      byTrait.set(trait, runs);
    }
    for (const oldest of byTrait.keys()) {
      if (byTrait.size <= MAX_TRAITS) return;
      byTrait.delete(oldest);
    }
  }

  function remove(trait: string): CrashedRun[] {
    const runs = listRecent(trait);
    byTrait.delete(trait);
    return runs.sort((a, b) => b.endedAgo - a.endedAgo);
  }

  return {
    isEmpty: () => byTrait.size === 0,
    add,
    countEndpoints: (trait) =>
      new Set(listRecent(trait).map(({ endpointKey }) => endpointKey)).size,
    remove,
    removeExpired() {
      for (const trait of [...byTrait.keys()]) {
        if (listRecent(trait).length === 0) byTrait.delete(trait);
      }
    },
  };
}
