/**
 * Tracks which endpoints exist and which of them accept new work.
 *
 * Leaving is reported by the instance list, which lags, by an endpoint's own
 * answers, and by peers; the earliest report wins. An endpoint's own report is
 * valid for its lifetime, whatever the instance list says, because the list may
 * be unavailable for longer than any fixed timeout. Marks that rest on
 * inference expire unless the instance list confirms them. An endpoint that
 * returns as another incarnation is a new one and inherits no mark.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";

/** Who reported that an endpoint is leaving. */
export type LeavingSource = "instance_list" | "endpoint" | "peer";

/** What a mark that an endpoint is leaving is based on. */
export interface LeavingEvidence {
  /** Time since the endpoint reported it, or since it was inferred. */
  age?: Millis;
  /** Whether the endpoint itself reported it. */
  isSaid?: boolean;
}

/** A mark that an endpoint is leaving, as sent to peers. */
export interface LeavingMark {
  /** See {@linkcode formatEndpointKey}. */
  endpointKey: string;
  age: Millis;
  isSaid: boolean;
}

/** Options of {@linkcode createEndpointDirectory}. */
export interface EndpointDirectoryOptions {
  clock: Clock;
  /**
   * How long an inferred mark is valid without confirmation by the instance
   * list.
   */
  markTtl: Millis;
  /**
   * Whether a place is evacuated; its endpoints get no new work, whatever they
   * report.
   */
  isEvacuated?: (place: string) => boolean;
  /**
   * Returns how long before now a change in the instance list may have been
   * made; by default, it is not known.
   */
  readListAge?: () => Millis;
}

/** The endpoints known to one entry. */
export interface EndpointDirectory {
  /** Replaces the endpoints with those in the instance list. */
  replaceAll(endpoints: readonly EndpointInfo[]): void;
  /** Marks an endpoint as leaving; returns whether the mark is new. */
  markLeaving(endpointKey: string, evidence?: LeavingEvidence): boolean;
  /** Lists the endpoints of `pool` that accept new work. */
  listUsable(pool: string): EndpointInfo[];
  /**
   * Lists the endpoints of `pool` that have been leaving for `maxAge` at most;
   * they still finish requests.
   */
  listLeaving(pool: string, maxAge: Millis): EndpointInfo[];
  /** Lists all endpoints in the instance list. */
  listAll(): EndpointInfo[];
  /**
   * Whether an endpoint announced that it leaves, or is no longer listed;
   * inferred marks do not count.
   */
  isLeaving(endpoint: EndpointInfo): boolean;
  /** Selects the most recent marks for peers, at most `limit`. */
  chooseLeavingMarks(limit: number): LeavingMark[];
}

interface Mark {
  markedAt: Millis;
  isSaid: boolean;
}

/** How long a mark is propagated to peers. */
const PROPAGATION_TIME: Millis = 15_000;
/** Maximum number of marks; above it the oldest is evicted. */
const MAX_MARKS = 4_096;

/** Creates an empty directory. */
export function createEndpointDirectory(
  { clock, markTtl, isEvacuated = () => false, readListAge = () => Infinity }:
    EndpointDirectoryOptions,
): EndpointDirectory {
  let endpoints: readonly EndpointInfo[] = [];
  /** By endpoint key. */
  const marks = new Map<string, Mark>();
  /** The earliest time at which each leaving endpoint may have begun to leave. */
  let leavingSince = new Map<string, Millis>();

  function replaceAll(next: readonly EndpointInfo[]): void {
    endpoints = next;
    const known = leavingSince;
    leavingSince = new Map(
      next.filter(({ state }) => state === "leaving").map((endpoint) => {
        const key = formatEndpointKey(endpoint);
        return [key, known.get(key) ?? clock.now() - readListAge()];
      }),
    );
  }

  function mayWork(endpoint: EndpointInfo, pool: string): boolean {
    return endpoint.pool === pool && !isEvacuated(endpoint.place) &&
      !isMarked(formatEndpointKey(endpoint));
  }

  function isMarked(endpointKey: string): boolean {
    const mark = marks.get(endpointKey);
    if (mark === undefined) return false;
    if (mark.isSaid || clock.now() - mark.markedAt <= markTtl) return true;
    marks.delete(endpointKey);
    return false;
  }

  function markLeaving(
    endpointKey: string,
    { age = 0, isSaid = false }: LeavingEvidence = {},
  ): boolean {
    // The age is sent with the mark; otherwise two entries would keep a false
    // alarm alive by sending it back and forth.
    const markedAt = clock.now() - age;
    if (!isSaid && age > markTtl) return false;
    const known = marks.get(endpointKey);
    if (known?.isSaid) return false;
    if (known !== undefined && !isSaid && known.markedAt >= markedAt) {
      return false;
    }
    putBounded(marks, [endpointKey, { markedAt, isSaid }], MAX_MARKS);
    return known === undefined;
  }

  function chooseLeavingMarks(limit: number): LeavingMark[] {
    const now = clock.now();
    return [...marks]
      .filter(([endpointKey]) => isMarked(endpointKey))
      .map(([endpointKey, { markedAt, isSaid }]) => ({
        endpointKey,
        age: now - markedAt,
        isSaid,
      }))
      .filter(({ age }) => age <= PROPAGATION_TIME)
      .sort((a, b) => a.age - b.age)
      .slice(0, limit);
  }

  function isLeaving(endpoint: EndpointInfo): boolean {
    const key = formatEndpointKey(endpoint);
    if (marks.get(key)?.isSaid) return true;
    const listed = endpoints.find((one) => formatEndpointKey(one) === key);
    return listed === undefined || listed.state === "leaving";
  }

  return {
    replaceAll,
    markLeaving,
    listUsable: (pool) =>
      endpoints.filter((endpoint) =>
        endpoint.state === "live" && mayWork(endpoint, pool)
      ),
    listLeaving(pool, maxAge) {
      const earliest = clock.now() - maxAge;
      return endpoints.filter((endpoint) => {
        const since = leavingSince.get(formatEndpointKey(endpoint));
        return since !== undefined && since >= earliest &&
          mayWork(endpoint, pool);
      });
    },
    listAll: () => [...endpoints],
    isLeaving,
    chooseLeavingMarks,
  };
}
