/**
 * The prefix cache of the stand-in engine, and the delayed events with gaps that
 * report its changes.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A cache of limited size that evicts the least recently used prefix. */
export interface PrefixCache {
  /** Caches a prefix or marks it as used; returns whether it was cached. */
  use(prefix: string): boolean;
  has(prefix: string): boolean;
  /** Reads the events after a sequence number that are at least `lagMs` old. */
  readEvents(after: number, lagMs: Millis): Omit<CacheEventRecord, "at">[];
}

interface CacheEventRecord {
  sequence: number;
  kind: "stored" | "evicted";
  prefix: string;
  at: Millis;
}

/** One event is lost in each group of this many. */
const GAP_INTERVAL = 10;
const MAX_EVENTS = 1_000;

/** Creates an empty cache. */
export function createPrefixCache(
  capacity: number,
  clock: Clock,
): PrefixCache {
  const prefixes = new Set<string>();
  const events: CacheEventRecord[] = [];
  let sequence = 0;

  function record(kind: CacheEventRecord["kind"], prefix: string): void {
    const event = { sequence: sequence++, kind, prefix, at: clock.now() };
    if (event.sequence % GAP_INTERVAL !== GAP_INTERVAL - 1) events.push(event);
    if (events.length > MAX_EVENTS) events.shift();
  }

  function use(prefix: string): boolean {
    if (prefix === "") return false;
    const isCached = prefixes.delete(prefix);
    prefixes.add(prefix);
    if (!isCached) record("stored", prefix);
    if (prefixes.size > capacity) {
      const [oldest] = prefixes;
      prefixes.delete(oldest!);
      record("evicted", oldest!);
    }
    return isCached;
  }

  function readEvents(after: number, lagMs: Millis) {
    const visibleUntil = clock.now() - lagMs;
    return events
      .filter((event) => event.sequence > after && event.at <= visibleUntil)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
  }

  return { use, readEvents, has: (prefix: string) => prefixes.has(prefix) };
}
