/**
 * Tracks the pools whose endpoints are brittle, from their answers to this
 * entry and from updates by other entries.
 *
 * All endpoints of a pool are brittle together, and say so in all their
 * answers. A pool counts as brittle for a while after the last of these: an
 * entry hears from few of the endpoints of a large pool.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** The last report that the endpoints of a pool are brittle. */
export interface BrittleUpdate {
  pool: string;
  /**
   * Requests per second that one endpoint may reject, from all entries
   * together, before it falls over.
   */
  rejectLimit: number;
  /** Time since an endpoint reported it. */
  age: Millis;
}

/** The brittle pools known to one entry. */
export interface BrittlePools {
  /** Records an endpoint's own report; returns whether it is news. */
  record(pool: string, rejectLimit: number): boolean;
  /** Applies an update from another entry. */
  applyUpdate(update: BrittleUpdate): void;
  /** Lists the pools that are brittle, at most `count`. */
  listUpdates(count: number): BrittleUpdate[];
  /** Whether no pool has been brittle lately. */
  isEmpty(): boolean;
  /** Returns the rejections that an endpoint of a brittle pool tolerates. */
  find(pool: string): number | undefined;
}

/** Longer than it takes an update to reach all entries of a large fleet. */
const REPORT_TTL: Millis = 5_000;
const MAX_POOLS = 256;

/** Creates a tracker that knows of no brittle pool. */
export function createBrittlePools(clock: Clock): BrittlePools {
  const reports = new Map<string, { rejectLimit: number; at: Millis }>();

  function find(pool: string): number | undefined {
    const report = reports.get(pool);
    if (report === undefined) return undefined;
    if (clock.now() - report.at <= REPORT_TTL) return report.rejectLimit;
    reports.delete(pool);
    return undefined;
  }

  function put(pool: string, report: { rejectLimit: number; at: Millis }) {
    reports.delete(pool);
    putBounded(reports, [pool, report], MAX_POOLS);
  }

  return {
    record(pool, rejectLimit) {
      const before = find(pool);
      put(pool, { rejectLimit, at: clock.now() });
      return before !== rejectLimit;
    },
    applyUpdate({ pool, rejectLimit, age }) {
      const at = clock.now() - age;
      if (at > (reports.get(pool)?.at ?? -Infinity)) {
        put(pool, { rejectLimit, at });
      }
    },
    listUpdates: (count) =>
      [...reports]
        .filter(([pool]) => find(pool) !== undefined)
        .slice(-count)
        .map(([pool, { rejectLimit, at }]) => ({
          pool,
          rejectLimit,
          age: clock.now() - at,
        })),
    isEmpty: () => reports.size === 0,
    find,
  };
}
