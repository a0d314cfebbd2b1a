/**
 * The log's wire format: JSON over HTTP.
 *
 * - `POST /streams/{stream}` with the record as body answers 201
 *   `{"offset":…,"time":…}`; 429 and 503 mean that nothing was appended.
 * - `GET /streams/{stream}?from=…&wait_ms=…` answers 200
 *   `{"first":…,"next":…,"records":[{"offset":…,"time":…,"value":…}]}`; it waits
 *   up to `wait_ms` for a record at or after `from`.
 *
 * @module
 */
import { createListSchema } from "@mangoreach/shared";
import * as z from "zod";

/** The streams that the system stores in the log. */
export type LogStream = "config" | "claims" | "leases";

/** The position of an appended record. */
export const appendAckSchema = z.object({
  offset: z.number().int().min(0),
  /** The log's clock, milliseconds since the Unix epoch. */
  time: z.number().min(0),
});

/** The position of an appended record. */
export type AppendAck = z.infer<typeof appendAckSchema>;

const logRecordSchema = z.object({
  offset: z.number().int().min(0),
  time: z.number().min(0),
  value: z.unknown(),
});

/** A record as read. */
export interface LogRecord {
  offset: number;
  time: number;
  value: unknown;
}

/** A page of records. */
export const logPageSchema = z.object({
  /** The oldest offset that has not expired. */
  first: z.number().int().min(0),
  /** The offset after the last record of this page. */
  next: z.number().int().min(0),
  records: createListSchema(logRecordSchema),
}).refine(
  ({ records, next }) =>
    records.every(({ offset }, i) =>
      offset < next && (i === 0 || offset > records[i - 1]!.offset)
    ),
  "records out of order",
);

/** A page of records. */
export interface LogPage {
  first: number;
  next: number;
  records: LogRecord[];
}
