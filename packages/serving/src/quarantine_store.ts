/**
 * Quarantined contents in the platform's store, where they outlive the entries:
 * an entry loses its state when it stops, and all may stop at once.
 *
 * @module
 */
import type { QuarantinedContent } from "@mangoreach/coordination";
import type { Result } from "true-myth";
import type { TopicRecord } from "./platform_interfaces.ts";

/** A decoded record of the store. */
export interface QuarantineRecord {
  content: string;
  /** Undefined if the content was released. */
  quarantined: QuarantinedContent | undefined;
}

/** Quarantine records in the store, in the topic of the entries' records. */
export interface QuarantineStore {
  publish(quarantined: QuarantinedContent): Promise<Result<null, string>>;
  remove(content: string): Promise<Result<null, string>>;
  /** Undefined if the record is about something else. */
  decode(record: TopicRecord): QuarantineRecord | undefined;
}
