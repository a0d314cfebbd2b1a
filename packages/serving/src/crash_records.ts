/**
 * Records of crashes in the platform's store. What entries count is lost with
 * them, and all may stop at once between two crashes by the same cause.
 *
 * Each entry has a few records, which it writes in turn.
 *
 * @module
 */
import type { CrashedRun } from "@mangoreach/coordination";
import { EVIDENCE_TTL } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** Runs of one entry during which an endpoint crashed. */
export interface StoredCrash {
  endpointKey: string;
  /** Wall time of the crash. */
  at: Millis;
  runs: readonly StoredRun[];
}

/** A run during which its endpoint crashed. */
export interface StoredRun {
  traits: readonly string[];
  /** Time from sending the request to the crash. */
  lasted: Millis;
}

/** The place of a crash in the store. */
export interface CrashRecordKey {
  entry: string;
  slot: number;
}

/** A record of the store; without a crash, it was removed. */
export interface CrashRecord extends CrashRecordKey {
  crash: StoredCrash | undefined;
}

/** Options of {@linkcode createCrashRecords}. */
export interface CrashRecordsOptions {
  clock: Clock;
  /** Milliseconds since 1970; may jump. */
  readWallTime: () => Millis;
  /** The name of this entry. */
  entry: string;
  /** Writes a record, again and again until it is written. */
  write: (record: CrashRecord) => void;
  /** Called with each run of a record that the store has. */
  onRead: (run: CrashedRun) => void;
  /** Whether this entry removes expired records of an entry. */
  isResponsible: (entry: string) => boolean;
}

/** The records of crashes, as one entry reads and writes them. */
export interface CrashRecords {
  /** Writes a run with the others at its endpoint that end meanwhile. */
  add(run: CrashedRun): void;
  /** Applies a record that the store has. */
  apply(record: CrashRecord): void;
  /** Writes the recent records again that a restored store may lack. */
  republish(): void;
  removeExpired(): void;
}

/** Runs at one endpoint end together. */
const BATCH_WINDOW: Millis = 20;
/** Records of one entry; a crash takes one. */
const SLOTS = 8;
/** An entry has about as many runs at one endpoint. */
const MAX_RUNS = 16;
/** Older records are in the copies that a store is restored from. */
const REPUBLISHED_AGE: Millis = 30_000;
const MAX_KNOWN = 4_096;

/** Creates the records of an entry that has seen no crash. */
export function createCrashRecords(
  { clock, readWallTime, entry, write, onRead, isResponsible }:
    CrashRecordsOptions,
): CrashRecords {
  /** Runs that wait to be written, by endpoint key. */
  const pending = new Map<string, CrashedRun[]>();
  /** The crashes in the store, by the name of their record. */
  const known = new Map<string, CrashRecord>();
  let nextSlot = 0;
  let newestOwn = -Infinity;

  function add(run: CrashedRun): void {
    const waiting = pending.get(run.endpointKey);
    if (waiting !== undefined) {
      if (waiting.length < MAX_RUNS) waiting.push(run);
      return;
    }
    pending.set(run.endpointKey, [run]);
    clock.startTimer(BATCH_WINDOW, () => writePending(run.endpointKey));
  }

  function writePending(endpointKey: string): void {
    const [first, ...others] = pending.get(endpointKey) ?? [];
    pending.delete(endpointKey);
    if (first === undefined) return;
    const crash = {
      endpointKey,
      at: readWallTime() - first.endedAgo - BATCH_WINDOW,
      runs: [first, ...others].map(({ traits, sentAgo, endedAgo }) => ({
        traits,
        lasted: Math.max(0, sentAgo - endedAgo),
      })),
    };
    const record = { entry, slot: nextSlot, crash };
    note(record);
    write(record);
  }

  function note(record: CrashRecord): void {
    const { slot, crash } = record;
    putBounded(known, [formatName(record), record], MAX_KNOWN);
    if (record.entry !== entry || crash === undefined) return;
    if (crash.at < newestOwn) return;
    newestOwn = crash.at;
    nextSlot = (slot + 1) % SLOTS;
  }

  function apply(record: CrashRecord): void {
    const { crash } = record;
    if (crash === undefined) return void known.delete(formatName(record));
    note(record);
    const endedAgo = readAge(crash);
    for (const { traits, lasted } of crash.runs) {
      const { endpointKey } = crash;
      onRead({ traits, endpointKey, endedAgo, sentAgo: endedAgo + lasted });
    }
  }

  /** Clocks of entries differ. */
  function readAge({ at }: StoredCrash): Millis {
    return Math.max(0, readWallTime() - at);
  }

  function listOlder(age: Millis): CrashRecord[] {
    return [...known.values()].filter(({ crash }) =>
      crash !== undefined && readAge(crash) >= age
    );
  }

  function republish(): void {
    const older = listOlder(REPUBLISHED_AGE);
    [...known.values()]
      .filter((record) => record.entry === entry && !older.includes(record))
      .forEach(write);
  }

  function removeExpired(): void {
    for (const { entry: owner, slot } of listOlder(EVIDENCE_TTL)) {
      known.delete(formatName({ entry: owner, slot }));
      if (isResponsible(owner)) write({ entry: owner, slot, crash: undefined });
    }
  }

  return { add, apply, republish, removeExpired };
}

function formatName({ entry, slot }: CrashRecordKey): string {
  return `${entry}/${slot}`;
}
