/**
 * Messages between entries about requests that crash the endpoints that run
 * them.
 *
 * @module
 */
import * as z from "zod";

const MAX_ROWS = 256;
/** More than the contents and traits of a report. */
const MAX_REPLY_ROWS = 16_384;
const MAX_ENDPOINT_KEYS = 16;
/** Traits of one request: its content and the parts of its prompt. */
const MAX_TRAITS = 16;
/** Causes that are confirmed at once. */
const MAX_CAUSES = 64;

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

/** A request whose endpoint crashed while it ran, for one of its traits. */
const crashedRunSchema = endpointCrashSchema.extend({
  /** The trait that the receiver counts crashes of. */
  content: z.string(),
  /** All traits of the request; older builds send none. */
  traits: z.array(z.string()).max(MAX_TRAITS).optional(),
});

/** A request whose endpoint crashed while it ran, for one of its traits. */
export type CrashedRunRow = z.infer<typeof crashedRunSchema>;

/** A quarantined content. */
const quarantinedSchema = z.object({
  /** The traits that its requests have, joined. */
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
  /** Contents that the sender has just quarantined. */
  quarantined: z.array(quarantinedSchema).max(MAX_ROWS).optional(),
});

/** Runs that an entry reports to the aggregators of their contents. */
export type RunReport = z.infer<typeof runReportSchema>;

/** The contents of a report that are quarantined. */
export const runReportReplySchema = z.object({
  quarantined: z.array(quarantinedSchema).max(MAX_REPLY_ROWS),
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

/** Suspected causes of crashes, about which an entry asks all others. */
export const causeQuerySchema = z.object({
  causes: z.array(z.object({
    traits: z.array(z.string()).max(MAX_TRAITS).readonly(),
    endpointKeys: z.array(z.string()).max(MAX_ENDPOINT_KEYS).readonly(),
    /** Milliseconds since the first crash. */
    age: z.number().min(0),
  })).max(MAX_CAUSES),
});

/** Suspected causes of crashes, about which an entry asks all others. */
export type CauseQuery = z.infer<typeof causeQuerySchema>;

/** What an entry knows about each cause of a query. */
export const causeReplySchema = z.object({
  causes: z.array(z.object({
    /** Traits that completed there since the first crash. */
    completed: z.array(z.string()).max(MAX_TRAITS),
    /** Endpoints that crashed by a cause that is known there. */
    explained: z.array(z.string()).max(MAX_ENDPOINT_KEYS),
  })).max(MAX_CAUSES),
});

/** What an entry knows about each cause of a query. */
export type CauseReply = z.infer<typeof causeReplySchema>;
