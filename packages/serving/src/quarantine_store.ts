/**
 * What the platform's store keeps about requests that crash endpoints. An entry
 * loses its state when it stops, and all may stop at once.
 *
 * @module
 */
import type { QuarantinedContent } from "@mangoreach/coordination";
import type { Result } from "true-myth";
import type { CrashRecord } from "./crash_records.ts";
import type { TopicRecord } from "./platform_interfaces.ts";

/** A decoded record of the store. */
export type QuarantineRecord =
  | {
    kind: "quarantine";
    content: string;
    /** Undefined if the content was released. */
    quarantined: QuarantinedContent | undefined;
  }
  | { kind: "crash"; record: CrashRecord };

/** Quarantines and crashes in the store, in the topic of entries' records. */
export interface QuarantineStore {
  publish(quarantined: QuarantinedContent): Promise<Result<null, string>>;
  remove(content: string): Promise<Result<null, string>>;
  /** Writes or removes the record of a crash. */
  writeCrash(record: CrashRecord): Promise<Result<null, string>>;
  /** Undefined if the record is about something else. */
  decode(record: TopicRecord): QuarantineRecord | undefined;
}
