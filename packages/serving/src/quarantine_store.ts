/**
 * Contents that are turned away, as the platform's store keeps them: no entry
 * remembers anything after its end, and all may end at once.
 *
 * @module
 */
import type { QuarantinedContent } from "@mangoreach/coordination";
import type { Result } from "true-myth";
import type { KeyedRecord } from "./serving_handles.ts";

/** What a record of the store says. */
export interface QuarantineRecord {
  content: string;
  /** Undefined if it is let in again. */
  quarantined: QuarantinedContent | undefined;
}

/** The records of contents, in the same topic as those of entries. */
export interface QuarantineStore {
  announce(quarantined: QuarantinedContent): Promise<Result<null, string>>;
  withdraw(content: string): Promise<Result<null, string>>;
  /** Undefined if the record is about something else. */
  decode(record: KeyedRecord): QuarantineRecord | undefined;
}
