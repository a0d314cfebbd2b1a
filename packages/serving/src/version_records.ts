/**
 * Records in the platform's store of which versions of endpoints have served in
 * each pool with streams that callers may resume.
 *
 * What entries have seen is lost with them, and all may stop at once. Without a
 * record, none of them would know which version can have begun a stream.
 *
 * A record has no times, as the clocks of entries differ: it holds the versions
 * that served within the longest lifetime of a stream. It changes when a version
 * appears, and once the last endpoint of one has been gone for that time.
 *
 * @module
 */
import type {
  Membership,
  RouteTable,
  VersionHistory,
} from "@mangoreach/coordination";
import {
  isStaying,
  listByRendezvous,
  MAX_STREAM_LIFETIME,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import type { TopicRecord } from "./platform_interfaces.ts";

/** The versions of a pool, as the store has them. */
export interface VersionRecord {
  pool: string;
  /** Undefined stands for endpoints whose version is not known. */
  versions: readonly (string | undefined)[];
}

/** The records in the store, in the topic of entries' records. */
export interface VersionStore {
  publish(record: VersionRecord): Promise<Result<null, string>>;
  /** Undefined if the record is about something else. */
  decode(record: TopicRecord): VersionRecord | undefined;
}

/** Options of {@linkcode createVersionRecords}. */
export interface VersionRecordsOptions {
  clock: Clock;
  log: DecisionLog;
  store: VersionStore;
  history: Pick<VersionHistory, "read" | "adoptRecorded">;
  membership: Pick<Membership, "self" | "list">;
  /** Lists the pools of routes with streams that may be resumed. */
  listPools: () => readonly string[];
}

/** The records as one entry reads and writes them. */
export interface VersionRecords {
  /** Applies all records of the store, which may be an older copy. */
  replaceAll(records: readonly TopicRecord[]): void;
  apply(record: TopicRecord): void;
  /** Writes what has changed, unless another entry does. */
  update(): void;
}

const CHECK_DELAY: Millis = 200;
/** By then, an entry that has just started knows the others. */
const FIRST_CHECK_DELAY: Millis = 2_000;
/** The next entry in order writes a record that the one before has not. */
const RANK_DELAY: Millis = 1_000;
const MAX_RANK = 8;

/** Creates the records of an entry that has read none. */
export function createVersionRecords(
  { clock, log, store, history, membership, listPools }: VersionRecordsOptions,
): VersionRecords {
  /** Formatted versions by pool; undefined until the store was read. */
  let stored: Map<string, string> | undefined;
  const scheduled = new Set<string>();
  let checkDelay = FIRST_CHECK_DELAY;
  let isCheckScheduled = false;
  let isExpiryScheduled = false;

  function replaceAll(records: readonly TopicRecord[]): void {
    stored = new Map();
    records.forEach(applyRecord);
    update();
  }

  function apply(record: TopicRecord): void {
    if (applyRecord(record)) update();
  }

  function applyRecord(record: TopicRecord): boolean {
    const decoded = store.decode(record);
    if (decoded === undefined) return false;
    const { pool, versions } = decoded;
    stored?.set(pool, formatVersions(versions));
    history.adoptRecorded(pool, versions);
    return true;
  }

  /** Changes come in series, and each check sums up all endpoints. */
  function update(): void {
    if (isCheckScheduled) return;
    isCheckScheduled = true;
    clock.startTimer(checkDelay, () => {
      isCheckScheduled = false;
      checkDelay = CHECK_DELAY;
      check();
    });
  }

  function check(): void {
    for (const pool of listPools()) {
      if (isChanged(pool)) schedule(pool);
      if (history.read(pool).versions.length > 1) scheduleExpiry();
    }
  }

  function listSeen(pool: string): (string | undefined)[] {
    return history.read(pool).versions.map(({ version }) => version);
  }

  function isChanged(pool: string): boolean {
    const seen = listSeen(pool);
    return stored !== undefined && seen.length > 0 &&
      stored.get(pool) !== formatVersions(seen);
  }

  function schedule(pool: string, delay: Millis = 0): void {
    if (scheduled.has(pool)) return;
    scheduled.add(pool);
    clock.startTimer(
      delay + RANK_DELAY * computeRank(pool),
      () => void writeChanged(pool),
    );
  }

  /** Returns how many entries write before this one. */
  function computeRank(pool: string): number {
    const { self } = membership;
    const peers = membership.list().filter(isStaying)
      .map(({ record }) => record);
    const order = listByRendezvous([self, ...peers], {
      key: pool,
      readName: ({ entry }) => entry,
    });
    const rank = order.findIndex(({ entry }) => entry === self.entry);
    return Math.min(MAX_RANK, rank);
  }

  async function writeChanged(pool: string): Promise<void> {
    if (isChanged(pool)) {
      const versions = listSeen(pool);
      const written = await store.publish({ pool, versions });
      if (written.isOk) {
        stored?.set(pool, formatVersions(versions));
        history.adoptRecorded(pool, versions);
      }
      log.record("versions_recorded", {
        pool,
        versions: versions.map((version) => version ?? ""),
        outcome: written.isOk ? "written" : written.error,
      });
    }
    scheduled.delete(pool);
    if (isChanged(pool)) schedule(pool, RANK_DELAY);
  }

  /** A version is forgotten without an event. */
  function scheduleExpiry(): void {
    if (isExpiryScheduled) return;
    isExpiryScheduled = true;
    clock.startTimer(MAX_STREAM_LIFETIME, () => {
      isExpiryScheduled = false;
      update();
    });
  }

  return { replaceAll, apply, update };
}

/** Lists the pools of routes with streams that may be resumed. */
export function listResumablePools(table: RouteTable | undefined): string[] {
  const routes = table?.config.routes ?? [];
  const pools = routes.filter(({ isResumable }) => isResumable)
    .flatMap((route) => route.pools.map(({ pool }) => pool));
  return [...new Set(pools)];
}

function formatVersions(versions: readonly (string | undefined)[]): string {
  return JSON.stringify(versions.map((version) => version ?? "").sort());
}
