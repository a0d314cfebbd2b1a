/**
 * Where entries find each other: the platform's store holds one record of each.
 * It only introduces them; whether one lives is told by the exchange of
 * heartbeats, which goes on while the store is away.
 *
 * @module
 */
import type { PeerRecord } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";

/** The records of entries in the platform's store. */
export interface MemberStore {
  announce(record: PeerRecord): Promise<Result<null, string>>;
  /** Takes the record of a stopping entry away. */
  withdraw(record: PeerRecord): Promise<Result<null, string>>;
  list(): Promise<Result<readonly PeerRecord[], string>>;
}

/** Options of {@linkcode startMemberRegistry}. */
export interface MemberRegistryOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  store: MemberStore;
  self: PeerRecord;
  /** Told of all entries in the store; some may have ended. */
  onListed: (records: readonly PeerRecord[]) => void;
  onFault: (reason: string) => void;
}

/** The entries by the store. */
export interface MemberRegistry {
  /** Control addresses of all entries in the store. */
  listAddresses(): readonly string[];
  readonly task: Promise<void>;
}

/**
 * Pauses before the first readings: after a start the others are still writing
 * their records.
 */
const FIRST_INTERVALS: readonly Millis[] = [600, 1_500, 3_000];
/** Later ones find entries that no exchange has told of, after a partition. */
const READ_INTERVAL: Millis = 15_000;
const RETRY_INTERVAL: Millis = 500;

/** Announces this entry and reads the others again and again. */
export function startMemberRegistry(
  { clock, random, signal, store, self, onListed, onFault }:
    MemberRegistryOptions,
): MemberRegistry {
  let addresses: readonly string[] = [];

  async function publishSelf(): Promise<void> {
    while (!signal.aborted) {
      const written = await store.announce(self);
      if (written.isOk) return;
      onFault(written.error);
      await clock.sleep(RETRY_INTERVAL * (0.5 + random()), signal);
    }
  }

  async function run(): Promise<void> {
    await publishSelf();
    for (let count = 0; !signal.aborted; count++) {
      const pause = FIRST_INTERVALS[count] ?? READ_INTERVAL;
      await clock.sleep(pause * (0.75 + random() / 2), signal);
      if (signal.aborted) return;
      const read = await store.list();
      if (read.isOk) {
        onListed(read.value);
        addresses = read.value.map(({ controlAddress }) => controlAddress);
      } else onFault(read.error);
    }
  }

  return { listAddresses: () => addresses, task: run() };
}
