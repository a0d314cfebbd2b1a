/**
 * Estimates which engines have cached which prompt prefixes, from cache events
 * that arrive late and with gaps.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A cache event of an engine. */
export interface CacheEvent {
  /** Increases by one with each event of an engine; a larger step is a gap. */
  sequence: number;
  kind: "stored" | "evicted";
  /** The engine's identifier of the prefix. */
  prefix: string;
}

/** Estimates of the prefix caches of all engines. */
export interface PrefixAffinity {
  /** Applies events of one engine, in the order in which they were read. */
  applyEvents(endpointKey: string, events: readonly CacheEvent[]): void;
  /** Records that a prompt with this prefix was just sent to an engine. */
  recordSent(endpointKey: string, prefix: string): void;
  /** Returns the confidence that an engine has cached a prefix, from 0 to 1. */
  estimate(endpointKey: string, prefix: string): number;
}

/** Options of {@linkcode createPrefixAffinity}. */
export interface PrefixAffinityOptions {
  clock: Clock;
  /** Maximum number of prefixes per engine. */
  capacity: number;
}

interface EngineCache {
  lastSequence: number;
  /** Time of the last update by prefix, oldest first. */
  prefixes: Map<string, Millis>;
}

/**
 * Confidence halves in this time without an update, as engine caches are small.
 */
const HALF_LIFE: Millis = 60_000;
/**
 * Ages all prefixes of an engine after a gap, as evictions may have been
 * missed.
 */
const GAP_AGING: Millis = HALF_LIFE;

/** Creates the estimates without any known prefix. */
export function createPrefixAffinity(
  { clock, capacity }: PrefixAffinityOptions,
): PrefixAffinity {
  const engines = new Map<string, EngineCache>();

  function find(endpointKey: string): EngineCache {
    const known = engines.get(endpointKey);
    if (known !== undefined) return known;
    const created = { lastSequence: -1, prefixes: new Map<string, Millis>() };
    engines.set(endpointKey, created);
    return created;
  }

  function store({ prefixes }: EngineCache, prefix: string): void {
    prefixes.delete(prefix);
    prefixes.set(prefix, clock.now());
    if (prefixes.size <= capacity) return;
    const oldest = prefixes.keys().next();
    if (!oldest.done) prefixes.delete(oldest.value);
  }

  function applyGapDecay({ prefixes }: EngineCache): void {
    for (const [prefix, time] of prefixes) {
      prefixes.set(prefix, time - GAP_AGING);
    }
  }

  function applyEvents(endpointKey: string, events: readonly CacheEvent[]) {
    const engine = find(endpointKey);
    for (const { sequence, kind, prefix } of events) {
      if (sequence <= engine.lastSequence) continue;
      const isGap = engine.lastSequence >= 0 &&
        sequence > engine.lastSequence + 1;
      if (isGap) applyGapDecay(engine);
      engine.lastSequence = sequence;
      if (kind === "stored") store(engine, prefix);
      else engine.prefixes.delete(prefix);
    }
  }

  function estimate(endpointKey: string, prefix: string): number {
    const time = engines.get(endpointKey)?.prefixes.get(prefix);
    if (time === undefined) return 0;
    return Math.pow(0.5, (clock.now() - time) / HALF_LIFE);
  }

  return {
    applyEvents,
    recordSent: (endpointKey, prefix) => store(find(endpointKey), prefix),
    estimate,
  };
}
