/**
 * Which endpoints exist and which of them take new work.
 *
 * Leaving is told by the instance list, which lags, by an endpoint's own
 * answers, and by peers; the earliest wins. An endpoint's own word holds for as
 * long as it lives, whatever the list says: it may be away for longer than any
 * time that could be chosen. A guess heals: a mark that the list does not confirm
 * expires. An endpoint that comes back as another incarnation is a new one and
 * inherits no mark.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";

/** Who said that an endpoint is leaving. */
export type LeavingSource = "instance_list" | "endpoint" | "peer";

/** What a mark that an endpoint is leaving rests on. */
export interface LeavingGround {
  /** Time since the endpoint said so, or since it was guessed. */
  age?: Millis;
  /** The endpoint itself has said so. */
  isSaid?: boolean;
}

/** A mark that an endpoint is leaving, as handed to peers. */
export interface LeavingMark {
  /** From {@linkcode formatEndpointKey}. */
  endpointKey: string;
  age: Millis;
  isSaid: boolean;
}

/** Options of {@linkcode createEndpointDirectory}. */
export interface EndpointDirectoryOptions {
  clock: Clock;
  /** How long a guess holds that the instance list does not confirm. */
  markLifetime: Millis;
  /** Endpoints there take no new work, whatever they say. */
  isEvacuated?: (place: string) => boolean;
}

/** The endpoints known to one entry. */
export interface EndpointDirectory {
  /** Replaces what the instance list says. */
  replaceAll(endpoints: readonly EndpointInfo[]): void;
  /** Marks an endpoint as leaving; returns whether that was news. */
  markLeaving(endpointKey: string, ground?: LeavingGround): boolean;
  /** Endpoints of `pool` that take new work. */
  listUsable(pool: string): EndpointInfo[];
  /** All endpoints in the instance list. */
  listAll(): EndpointInfo[];
  /** The youngest marks, for peers; at most `limit`. */
  chooseMarks(limit: number): LeavingMark[];
}

interface Mark {
  markedAt: Millis;
  isSaid: boolean;
}

/** A mark that an endpoint has set itself is told on for so long. */
const NEWS_LIFETIME: Millis = 15_000;
/** The oldest mark is dropped above this many. */
const MAX_MARKS = 4_096;

/** Creates an empty directory. */
export function createEndpointDirectory(
  { clock, markLifetime, isEvacuated = () => false }: EndpointDirectoryOptions,
): EndpointDirectory {
  let endpoints: readonly EndpointInfo[] = [];
  /** By endpoint key. */
  const marks = new Map<string, Mark>();

  function isMarked(endpointKey: string): boolean {
    const mark = marks.get(endpointKey);
    if (mark === undefined) return false;
    if (mark.isSaid || clock.now() - mark.markedAt <= markLifetime) return true;
    marks.delete(endpointKey);
    return false;
  }

  function markLeaving(
    endpointKey: string,
    { age = 0, isSaid = false }: LeavingGround = {},
  ): boolean {
    // The age travels with the mark, or two entries would keep a false alarm
    // alive by telling it back to each other.
    const markedAt = clock.now() - age;
    if (!isSaid && age > markLifetime) return false;
    const known = marks.get(endpointKey);
    if (known?.isSaid) return false;
    if (known !== undefined && !isSaid && known.markedAt >= markedAt) {
      return false;
    }
    putBounded(marks, [endpointKey, { markedAt, isSaid }], MAX_MARKS);
    return known === undefined;
  }

  function chooseMarks(limit: number): LeavingMark[] {
    const now = clock.now();
    return [...marks]
      .filter(([endpointKey]) => isMarked(endpointKey))
      .map(([endpointKey, { markedAt, isSaid }]) => ({
        endpointKey,
        age: now - markedAt,
        isSaid,
      }))
      .filter(({ age }) => age <= NEWS_LIFETIME)
      .sort((a, b) => a.age - b.age)
      .slice(0, limit);
  }

  return {
    replaceAll(next) {
      endpoints = next;
    },
    markLeaving,
    listUsable: (pool) =>
      endpoints.filter((endpoint) =>
        endpoint.pool === pool && endpoint.state === "live" &&
        !isEvacuated(endpoint.place) &&
        !isMarked(formatEndpointKey(endpoint))
      ),
    listAll: () => [...endpoints],
    chooseMarks,
  };
}
