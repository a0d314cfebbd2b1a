/**
 * Discovery of entries: a topic of the platform's store holds one record for
 * each entry. It is used for discovery only; whether an entry is alive is
 * determined by the exchange of heartbeats, which continues while the store is
 * unavailable.
 *
 * @module
 */
import type { PeerRecord } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { TopicRecord, TopicSource } from "./platform_interfaces.ts";

/** The records of entries in the platform's store. */
export interface MemberStore {
  publish(record: PeerRecord): Promise<Result<null, string>>;
  /** Writes that an entry is leaving, which removes its record. */
  remove(record: PeerRecord): Promise<Result<null, string>>;
  /** The records of all entries; some entries may have ended. */
  readonly source: TopicSource;
  /** Returns undefined for a record of another writer. */
  decode(record: TopicRecord): PeerRecord | undefined;
}

/** Options of {@linkcode publishEntry}. */
export interface PublishEntryOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  store: Pick<MemberStore, "publish">;
  self: PeerRecord;
  onFault: (reason: string) => void;
}

const RETRY_INTERVAL: Millis = 500;

/** Writes the entry's record, and retries until the store has accepted it. */
export async function publishEntry(
  { clock, random, signal, store, self, onFault }: PublishEntryOptions,
): Promise<void> {
  while (!signal.aborted) {
    const written = await store.publish(self);
    if (written.isOk) return;
    onFault(written.error);
    await clock.sleep(RETRY_INTERVAL * (0.5 + random()), signal);
  }
}

/** The entries that have a record in the store. */
export interface MemberRegistry {
  /**
   * Applies a snapshot with the newest record of every entry; some may be old.
   */
  replaceAll(records: readonly TopicRecord[]): void;
  /** Applies a record that was written a moment ago. */
  apply(record: TopicRecord): void;
  /** Lists the control addresses of all entries in the store. */
  listAddresses(): readonly string[];
}

/** Options of {@linkcode createMemberRegistry}. */
export interface MemberRegistryOptions {
  decode: MemberStore["decode"];
  /** Called with the entries of a snapshot, which may have ended since. */
  onSnapshot: (records: readonly PeerRecord[]) => void;
  /** Called with an entry that has just started. */
  onJoined: (record: PeerRecord) => void;
}

/** Creates an empty registry. */
export function createMemberRegistry(
  { decode, onSnapshot, onJoined }: MemberRegistryOptions,
): MemberRegistry {
  /** Control addresses by record key. */
  const addresses = new Map<string, string>();

  function decodeKnown(record: TopicRecord): PeerRecord[] {
    const member = record.value === undefined ? undefined : decode(record);
    if (member === undefined) addresses.delete(record.key);
    else addresses.set(record.key, member.controlAddress);
    return member === undefined ? [] : [member];
  }

  return {
    replaceAll(records) {
      addresses.clear();
      onSnapshot(records.flatMap(decodeKnown));
    },
    apply: (record) => decodeKnown(record).forEach(onJoined),
    listAddresses: () => [...addresses.values()],
  };
}
