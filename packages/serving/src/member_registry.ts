/**
 * Where entries find each other: a topic of the platform's store holds one
 * record of each. It only introduces them; whether one lives is told by the
 * exchange of heartbeats, which goes on while the store is away.
 *
 * @module
 */
import type { PeerRecord } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { KeyedRecord, KeyedSource } from "./serving_handles.ts";

/** The records of entries in the platform's store. */
export interface MemberStore {
  announce(record: PeerRecord): Promise<Result<null, string>>;
  /** Writes that an entry is leaving, and takes its record away with that. */
  withdraw(record: PeerRecord): Promise<Result<null, string>>;
  /** The records of all entries; some may have ended. */
  readonly source: KeyedSource;
  /** Undefined if another writer wrote it. */
  decode(record: KeyedRecord): PeerRecord | undefined;
}

/** Options of {@linkcode publishEntry}. */
export interface PublishEntryOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  store: Pick<MemberStore, "announce">;
  self: PeerRecord;
  onFault: (reason: string) => void;
}

const RETRY_INTERVAL: Millis = 500;

/** Writes the entry's record until the store has taken it. */
export async function publishEntry(
  { clock, random, signal, store, self, onFault }: PublishEntryOptions,
): Promise<void> {
  while (!signal.aborted) {
    const written = await store.announce(self);
    if (written.isOk) return;
    onFault(written.error);
    await clock.sleep(RETRY_INTERVAL * (0.5 + random()), signal);
  }
}

/** The entries by the store. */
export interface MemberRegistry {
  /** Takes the newest record of every entry; some may be of long ago. */
  replaceAll(records: readonly KeyedRecord[]): void;
  /** Takes one that was written a moment ago. */
  apply(record: KeyedRecord): void;
  /** Control addresses of all entries in the store. */
  listAddresses(): readonly string[];
}

/** Options of {@linkcode createMemberRegistry}. */
export interface MemberRegistryOptions {
  decode: MemberStore["decode"];
  /** Told of entries that may have ended since. */
  onSnapshot: (records: readonly PeerRecord[]) => void;
  /** Told of an entry that has just started. */
  onJoined: (record: PeerRecord) => void;
}

/** Creates a registry that knows nobody. */
export function createMemberRegistry(
  { decode, onSnapshot, onJoined }: MemberRegistryOptions,
): MemberRegistry {
  /** Control address by the key of the record. */
  const addresses = new Map<string, string>();

  function decodeKnown(record: KeyedRecord): PeerRecord[] {
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
