/**
 * Messages between entries about requests that crash the endpoints that run
 * them.
 *
 * @module
 */
import * as z from "zod";

const MAX_ROWS = 256;
const MAX_ENDPOINT_KEYS = 16;

/** An endpoint that crashed during a run. */
export const endpointCrashSchema = z.object({
  endpointKey: z.string(),
  /** Milliseconds since the request was sent to the endpoint. */
  sentAgo: z.number().min(0),
  /** Milliseconds since the endpoint crashed. */
  endedAgo: z.number().min(0),
});

/** An endpoint that crashed during a run. */
export type EndpointCrash = z.infer<typeof endpointCrashSchema>;

/** A request whose endpoint crashed while it ran. */
const crashedRunSchema = endpointCrashSchema.extend({
  /** The digest of the content of the request. */
  content: z.string(),
});

/** A quarantined content. */
const quarantinedSchema = z.object({
  content: z.string(),
  endpointKeys: z.array(z.string()).max(MAX_ENDPOINT_KEYS).readonly(),
  /** Milliseconds for which it remains quarantined. */
  term: z.number().positive(),
});

/** A content that is suspected to crash endpoints. */
const suspectedSchema = z.object({
  content: z.string(),
  /** Milliseconds since it last crashed an endpoint. */
  age: z.number().min(0),
});

/** Runs that an entry reports to the aggregators of their contents. */
export const runReportSchema = z.object({
  ended: z.array(crashedRunSchema).max(MAX_ROWS),
  /** Suspected contents that completed after they were suspected. */
  completed: z.array(z.string()).max(MAX_ROWS),
});

/** Runs that an entry reports to the aggregators of their contents. */
export type RunReport = z.infer<typeof runReportSchema>;

/** The contents of a report that are quarantined. */
export const runReportReplySchema = z.object({
  quarantined: z.array(quarantinedSchema),
});

/** The contents of a report that are quarantined. */
export type RunReportReply = z.infer<typeof runReportReplySchema>;

/** Quarantined and suspected contents, exchanged by gossip. */
export const poisonUpdateSchema = z.object({
  quarantined: z.array(quarantinedSchema).max(MAX_ROWS),
  suspected: z.array(suspectedSchema).max(MAX_ROWS),
});

/** Quarantined and suspected contents, exchanged by gossip. */
export type PoisonUpdate = z.infer<typeof poisonUpdateSchema>;
