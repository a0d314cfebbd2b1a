/**
 * What entries tell each other of requests under which endpoints end.
 *
 * @module
 */
import * as z from "zod";

const MAX_ROWS = 256;
const MAX_ENDPOINT_KEYS = 16;

/** An endpoint that ended during a run. */
export const endpointCrashSchema = z.object({
  endpointKey: z.string(),
  /** Milliseconds since it was sent to the endpoint. */
  sentAgo: z.number().min(0),
  /** Milliseconds since the endpoint ended. */
  endedAgo: z.number().min(0),
});

/** An endpoint that ended during a run. */
export type EndpointEnd = z.infer<typeof endpointCrashSchema>;

/** A request during which its endpoint ended. */
const crashedRunSchema = endpointCrashSchema.extend({
  /** The digest of what was asked for. */
  content: z.string(),
});

/** A content that is turned away. */
const quarantinedSchema = z.object({
  content: z.string(),
  endpointKeys: z.array(z.string()).max(MAX_ENDPOINT_KEYS).readonly(),
  /** Milliseconds for which it is turned away. */
  term: z.number().positive(),
});

/** A content that is suspected. */
const suspectedSchema = z.object({
  content: z.string(),
  /** Milliseconds since the last endpoint ended under it. */
  age: z.number().min(0),
});

/** Runs that an entry tells to those that keep count for their contents. */
export const runReportSchema = z.object({
  ended: z.array(crashedRunSchema).max(MAX_ROWS),
  /** Suspected contents that have completed since. */
  completed: z.array(z.string()).max(MAX_ROWS),
});

/** Runs that an entry tells to those that keep count for their contents. */
export type RunReport = z.infer<typeof runReportSchema>;

/** Which contents of a report are turned away. */
export const runReportReplySchema = z.object({
  quarantined: z.array(quarantinedSchema),
});

/** Which contents of a report are turned away. */
export type RunReportReply = z.infer<typeof runReportReplySchema>;

/** What entries pass on to each other of what is turned away or suspected. */
export const poisonUpdateSchema = z.object({
  quarantined: z.array(quarantinedSchema).max(MAX_ROWS),
  suspected: z.array(suspectedSchema).max(MAX_ROWS),
});

/** What entries pass on to each other of what is turned away or suspected. */
export type PoisonNews = z.infer<typeof poisonUpdateSchema>;
