/**
 * Remembers which versions of endpoints have served in each pool.
 *
 * What endpoints of two versions write does not fit together, and endpoints do
 * not check it. A stream of which nothing else is known may only go on if no
 * second version can have begun it.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "../endpoint.ts";

/** A version that served in a pool. */
export interface VersionSighting {
  /** Undefined for endpoints that do not say, or whose version changed. */
  version: string | undefined;
  /** Time since it was last registered; 0 if it still is. */
  seenAgo: Millis;
}

/** The versions of a pool, and for how long they have been watched. */
export interface PoolVersions {
  watchedFor: Millis;
  versions: readonly VersionSighting[];
}

/** The versions that this entry has seen. */
export interface VersionHistory {
  /** Replaces the registered endpoints. */
  update(endpoints: readonly EndpointInfo[]): void;
  /** Records that endpoints may have come and gone without being seen. */
  handleGap(): void;
  /**
   * Adds the versions that served in a pool within the longest lifetime of a
   * stream, as entries have recorded them. Their record outlives this entry and
   * has no gaps.
   */
  adoptRecorded(
    pool: string,
    versions: readonly (string | undefined)[],
  ): void;
  read(pool: string): PoolVersions;
  /** Whether more than one version of a pool has been seen lately. */
  hasSeveral(pool: string): boolean;
  /**
   * Whether the version of an endpoint changed lately while its id stayed:
   * others may know the one before.
   */
  hasChanged(endpointId: string): boolean;
  /**
   * Returns the version of an endpoint; undefined if it does not say or has
   * changed.
   */
  readVersion(endpoint: EndpointInfo): string | undefined;
  /** Whether all entries know that endpoints of this version serve. */
  isSettled(endpoint: EndpointInfo): boolean;
  /**
   * Returns the time until streams may begin at an endpoint: until its version
   * is settled, if some entry may still take another one for the only one.
   */
  readTimeToSettle(endpoint: EndpointInfo): Millis;
}

/** Streams are not resumed later than this. */
export const MAX_STREAM_LIFETIME: Millis = 600_000;
/** All entries have read a version that changed under its id by then. */
const CHANGE_LIFETIME: Millis = 60_000;
/**
 * An entry whose view of the endpoints is older does not decide by the history.
 */
export const MAX_HISTORY_AGE: Millis = 2_000;
/** Longer than the view of an entry that decides by the history may be old. */
const SETTLE_TIME: Millis = MAX_HISTORY_AGE + 500;
const MAX_ENDPOINTS = 8_192;

interface Sighting {
  firstAt: Millis;
  lastAt: Millis;
  isRegistered: boolean;
}

interface KnownEndpoint {
  version: string | undefined;
  changedAt: Millis;
}

/** Creates the history of an entry that has seen no endpoint. */
export function createVersionHistory(clock: Clock): VersionHistory {
  const pools = new Map<string, Map<string | undefined, Sighting>>();
  /** By endpoint id. */
  const known = new Map<string, KnownEndpoint>();
  let registered: readonly EndpointInfo[] = [];
  let watchedSince: Millis | undefined;
  /** Pools of which the store has a record. */
  const recorded = new Set<string>();

  function update(endpoints: readonly EndpointInfo[]): void {
    watchedSince ??= clock.now();
    registered = endpoints;
    endpoints.forEach(recordVersion);
    refresh();
  }

  function recordVersion({ id, version }: EndpointInfo): void {
    const before = known.get(id);
    if (before !== undefined && before.version === version) return;
    const changedAt = before === undefined ? -Infinity : clock.now();
    putBounded(known, [id, { version, changedAt }], MAX_ENDPOINTS);
  }

  /** Applies the registered endpoints; their versions settle with time. */
  function refresh(): void {
    const now = clock.now();
    for (const sightings of pools.values()) {
      for (const [version, sighting] of sightings) {
        if (sighting.isRegistered) sighting.lastAt = now;
        sighting.isRegistered = false;
        const isPast = now - sighting.lastAt > MAX_STREAM_LIFETIME;
        if (isPast) sightings.delete(version);
      }
    }
    for (const [pool, versions] of listVersions()) {
      const sightings = findSightings(pool);
      // The only version of a pool may have been there before this entry.
      const isFirst = sightings.size === 0 && versions.size === 1;
      for (const version of versions) {
        const { firstAt = isFirst ? -Infinity : now } =
          sightings.get(version) ?? {};
        sightings.set(version, { firstAt, lastAt: now, isRegistered: true });
      }
    }
  }

  function adoptRecorded(
    pool: string,
    versions: readonly (string | undefined)[],
  ): void {
    recorded.add(pool);
    const sightings = findSightings(pool);
    const now = clock.now();
    // The record of a new version may arrive before its first endpoint does.
    const firstAt = watchedSince === undefined ? -Infinity : now;
    for (const version of versions) {
      if (sightings.has(version)) continue;
      sightings.set(version, {
        firstAt,
        lastAt: now,
        isRegistered: false,
      });
    }
    refresh();
  }

  function findSightings(pool: string): Map<string | undefined, Sighting> {
    const sightings = pools.get(pool) ?? new Map<undefined, Sighting>();
    pools.set(pool, sightings);
    return sightings;
  }

  function listVersions(): Map<string, Set<string | undefined>> {
    const versions = new Map<string, Set<string | undefined>>();
    for (const endpoint of registered) {
      const inPool = versions.get(endpoint.pool) ?? new Set();
      versions.set(endpoint.pool, inPool.add(readVersion(endpoint)));
    }
    return versions;
  }

  function hasChanged(endpointId: string): boolean {
    const { changedAt = -Infinity } = known.get(endpointId) ?? {};
    return clock.now() - changedAt <= CHANGE_LIFETIME;
  }

  function readVersion({ id, version }: EndpointInfo): string | undefined {
    return hasChanged(id) ? undefined : version;
  }

  function read(pool: string): PoolVersions {
    refresh();
    const now = clock.now();
    const isComplete = watchedSince !== undefined && recorded.has(pool);
    const watchedFor = watchedSince === undefined ? 0 : now - watchedSince;
    return {
      watchedFor: isComplete ? MAX_STREAM_LIFETIME : watchedFor,
      versions: [...pools.get(pool) ?? []].map(
        ([version, { lastAt }]) => ({ version, seenAgo: now - lastAt }),
      ),
    };
  }

  function findSighting(endpoint: EndpointInfo): Sighting | undefined {
    return pools.get(endpoint.pool)?.get(readVersion(endpoint));
  }

  function hasSettled({ firstAt }: Sighting): boolean {
    return clock.now() - firstAt >= SETTLE_TIME;
  }

  function isSettled(endpoint: EndpointInfo): boolean {
    const sighting = findSighting(endpoint);
    return sighting !== undefined && hasSettled(sighting);
  }

  function readTimeToSettle(endpoint: EndpointInfo): Millis {
    const sighting = findSighting(endpoint);
    if (sighting === undefined || hasSettled(sighting)) return 0;
    const now = clock.now();
    const others = [...pools.get(endpoint.pool)?.values() ?? []];
    const hasOther = others.some((other) =>
      hasSettled(other) &&
      (other.isRegistered || now - other.lastAt < SETTLE_TIME)
    );
    return hasOther ? sighting.firstAt + SETTLE_TIME - now : 0;
  }

  return {
    update,
    handleGap() {
      watchedSince = undefined;
    },
    adoptRecorded,
    read,
    hasSeveral: (pool) => (pools.get(pool)?.size ?? 0) > 1,
    hasChanged,
    readVersion,
    isSettled,
    readTimeToSettle,
  };
}

/**
 * Returns the version that has served alone in a pool for `period`, by the views
 * of several entries; undefined if there were several in any of them, or if none
 * has watched for that long.
 */
export function findOnlyVersion(
  views: readonly PoolVersions[],
  period: Millis,
): string | undefined {
  if (!views.some(({ watchedFor }) => watchedFor >= period)) return undefined;
  const recent = views.flatMap(({ versions }) => versions)
    .filter(({ seenAgo }) => seenAgo <= period);
  const versions = new Set(recent.map(({ version }) => version));
  return versions.size === 1 ? recent[0]?.version : undefined;
}
