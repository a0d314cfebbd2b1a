/**
 * Relays the records of a compacted topic to other entries, so that not every
 * entry has to read the platform's store.
 *
 * The offsets are those of the store: an entry can continue reading from this
 * entry, from another one or from the store, and misses no record.
 *
 * @module
 */
import type { DataAge, DataTimestamp } from "@mangoreach/coordination";
import type { TopicReply, TopicRequest } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { RelayedSource } from "./relayed_source.ts";
import type {
  TopicPosition,
  TopicReadResult,
  TopicRecord,
  TopicSource,
} from "./platform_interfaces.ts";

/** A topic source; without `mayRelay`, its records are always relayed. */
export type ReadableSource =
  & TopicSource
  & Partial<Pick<RelayedSource, "mayRelay">>;

/** Options of {@linkcode createTopicRelay}. */
export interface TopicRelayOptions {
  clock: Clock;
  /** Where this entry reads: the store, or another entry. */
  source: ReadableSource;
  /** Tracks how long ago the store confirmed the relayed data. */
  age: DataAge;
  /**
   * Returns a record's content without heartbeats. A record with the same
   * content as the previous one of its key is not relayed.
   */
  readContent: (record: TopicRecord) => string;
}

/** A topic that this entry reads and relays. */
export interface TopicRelay {
  /** The source for this entry; records that it reads are relayed to others. */
  readonly source: TopicSource;
  /**
   * Answers another entry. If there is no update, waits as long as the query
   * says, or until the signal aborts.
   */
  answer(
    query: TopicRequest,
    signal?: AbortSignal,
  ): Promise<TopicReply>;
}

interface WaitingRequest {
  from: TopicPosition;
  /**
   * From this time on, a confirmation without updates is a sufficient answer.
   */
  confirmableAt: Millis;
  wake: () => void;
}

interface BufferedChange extends TopicRecord {
  offset: number;
}

interface KnownRecord {
  value: string;
  /**
   * Undefined for a record restored from an older copy of the store: the next
   * record of its key is relayed whatever its content.
   */
  content: string | undefined;
}

/** Changes held in memory; an entry that is further behind gets a snapshot. */
const MAX_BUFFERED_CHANGES = 1_000;

/** Creates a relay that has read nothing yet. */
export function createTopicRelay(
  { clock, source, age, readContent }: TopicRelayOptions,
): TopicRelay {
  let changes: BufferedChange[] = [];
  /** `changes` is complete from this offset of the current era on. */
  let firstBuffered = Infinity;
  let next: TopicPosition | undefined;
  const newest = new Map<string, KnownRecord>();
  /** Whether `newest` holds every key of the topic. */
  let isComplete = false;
  /**
   * Requests that wait for updates, or for this entry to catch up with them.
   */
  const waiting = new Set<WaitingRequest>();

  /** Returns whether the record changes the content of its key. */
  function updateKey(record: TopicRecord): boolean {
    const { key, value } = record;
    const content = readContent(record);
    const known = newest.get(key);
    if (value === undefined) return newest.delete(key);
    newest.set(key, { value, content });
    return known?.content !== content;
  }

  function applyNewest({ records, next: end }: TopicReadResult): void {
    const isRestored = next !== undefined && next.era !== end.era;
    resetTo(end);
    records.forEach(updateKey);
    if (isRestored) markUnverified();
    isComplete = true;
  }

  /**
   * A restored copy of the store may hold endpoints that have left since. Only
   * live ones write again, and that record must be relayed even if its content
   * is unchanged.
   */
  function markUnverified(): void {
    for (const known of newest.values()) known.content = undefined;
  }

  function resetTo(end: TopicPosition): void {
    newest.clear();
    isComplete = false;
    changes = [];
    firstBuffered = end.offset;
    next = end;
  }

  /** Returns whether any record changed the content of its key. */
  function applyChanges(
    { offset: from }: TopicPosition,
    result: TopicReadResult,
  ): boolean {
    const updates = result.records
      .map((record, index) => ({
        key: record.key,
        value: record.value,
        offset: record.offset ?? from + index,
      }))
      .filter(updateKey);
    changes.push(...updates);
    const excess = changes.splice(
      0,
      Math.max(0, changes.length - MAX_BUFFERED_CHANGES),
    );
    firstBuffered = Math.max(firstBuffered, (excess.at(-1)?.offset ?? -1) + 1);
    next = result.next;
    return updates.length > 0;
  }

  function resolveReady(
    isUpdated: boolean,
    before: TopicPosition | undefined,
  ): void {
    const now = clock.now();
    for (const { from, confirmableAt, wake } of [...waiting]) {
      const isCaughtUp = isAhead(from, before) && !isAhead(from, next);
      if (isUpdated || isCaughtUp || now >= confirmableAt) wake();
    }
  }

  function mayRelay(): boolean {
    return source.mayRelay?.() ?? true;
  }

  /**
   * Ends all waits, so that no request waits for an entry that may not relay.
   */
  function resolveAll(): void {
    for (const { wake } of [...waiting]) wake();
  }

  function recordConfirmed(
    requestedAt: DataTimestamp,
    { age: dataAge = 0 }: TopicReadResult,
  ) {
    age.recordConfirmed({
      monotonic: requestedAt.monotonic - dataAge,
      wall: requestedAt.wall - dataAge,
    });
  }

  async function readSnapshot() {
    const requestedAt = age.readTime();
    const result = await source.readSnapshot();
    if (result.isErr) return result;
    applyNewest(result.value);
    recordConfirmed(requestedAt, result.value);
    resolveReady(true, next);
    return result;
  }

  async function readFrom(from: TopicPosition, wait: Millis) {
    const requestedAt = age.readTime();
    const result = await source.readFrom(from, wait);
    if (!mayRelay()) resolveAll();
    if (result.isErr) return result;
    const before = next;
    let isUpdated = true;
    if (result.value.isSnapshot) applyNewest(result.value);
    // The records in between were read elsewhere and are not buffered here.
    else if (!isSamePosition(from, next)) resetTo(result.value.next);
    else isUpdated = applyChanges(from, result.value);
    recordConfirmed(requestedAt, result.value);
    resolveReady(isUpdated, before);
    return result;
  }

  function createReply(from: TopicPosition, arrivedAt: Millis): TopicReply {
    if (!mayRelay()) return { kind: "unknown" };
    if (next === undefined || isAhead(from, next)) return { kind: "unknown" };
    const known = { next, age: age.read() - (clock.now() - arrivedAt) };
    if (from.era === next.era && from.offset >= firstBuffered) {
      const records = changes.filter(({ offset }) => offset >= from.offset);
      return { kind: "records", records: records.map(formatRecord), ...known };
    }
    if (!isComplete) return { kind: "unknown" };
    const records = [...newest].map(([key, { value }]) => ({ key, value }));
    // The requester now learns of the restore, after records were relayed.
    if (from.era < next.era) markUnverified();
    return { kind: "newest", records, ...known };
  }

  function waitForUpdate(
    { from, wait, confirmWait }: TopicRequest,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        waiting.delete(waitingRequest);
        stop();
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      const stop = clock.startTimer(wait + confirmWait, wake);
      const waitingRequest = { from, confirmableAt: clock.now() + wait, wake };
      waiting.add(waitingRequest);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  async function answer(
    query: TopicRequest,
    signal?: AbortSignal,
  ): Promise<TopicReply> {
    const { from, wait } = query;
    const arrivedAt = clock.now();
    const reply = createReply(from, arrivedAt);
    // A requester that has read elsewhere may be ahead; the wait lets this
    // entry catch up with it.
    const hasUpdate = reply.kind === "newest" ||
      (reply.kind === "records" && reply.records.length > 0);
    if (hasUpdate || wait === 0 || !mayRelay()) return reply;
    await waitForUpdate(query, signal);
    return createReply(from, arrivedAt);
  }

  return { source: { readSnapshot, readFrom }, answer };
}

/** Whether a position is in a later era, or further on in the same era. */
function isAhead(
  { era, offset }: TopicPosition,
  other: TopicPosition | undefined,
): boolean {
  if (other === undefined) return true;
  return era === other.era ? offset > other.offset : era > other.era;
}

function isSamePosition(
  { era, offset }: TopicPosition,
  other: TopicPosition | undefined,
): boolean {
  return era === other?.era && offset === other.offset;
}

function formatRecord({ key, value, offset }: BufferedChange) {
  return value === undefined ? { key, offset } : { key, value, offset };
}
