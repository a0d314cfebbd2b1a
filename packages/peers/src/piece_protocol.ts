/**
 * How an entry sends pieces of stage work to the dispatcher of a pool, which
 * is the entry that batches and sends all calls of a pool partition.
 *
 * @module
 */
import * as z from "zod";
import { endpointCrashSchema } from "./run_protocol.ts";

/** The input of a piece: the key of the request, or earlier results. */
const pieceSourceSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("key"), key: z.string() }),
  z.object({
    kind: z.literal("results"),
    results: z.array(z.string()),
    /** Pools whose endpoints store the results. */
    pools: z.array(z.string()),
  }),
]);

/** The input of a piece. */
export type PieceSource = z.infer<typeof pieceSourceSchema>;

const pieceOrderSchema = z.object({
  stage: z.number().int().min(0),
  /** Index within its stage, from 0. */
  piece: z.number().int().min(0),
  source: pieceSourceSchema,
});

/** One piece of a stage. */
export type PieceOrder = z.infer<typeof pieceOrderSchema>;

const MAX_PIECES = 1_024;
/** Crashes during one run; more than a place has endpoints. */
const MAX_ENDS = 16_384;

/** Maximum length of the name of a client account in a message. */
export const MAX_ACCOUNT_LENGTH = 128;

const accountSchema = z.string().max(MAX_ACCOUNT_LENGTH).optional();

/** The pieces of one stage of one request. */
export const pieceRunSchema = z.object({
  pool: z.string(),
  /** The partition of the pool that computes them; empty if it has none. */
  partition: z.string(),
  requestId: z.string(),
  /** The client account, for fair shares; entries of older builds send none. */
  account: accountSchema,
  /** 0 is the highest. */
  priority: z.number().int().min(0),
  /** Milliseconds until the request misses its latency objective. */
  onTime: z.number(),
  /** Milliseconds until the deadline, after which the results are useless. */
  remaining: z.number(),
  /** The place that most data is transferred to or from. */
  place: z.string().optional(),
  resultBytes: z.number().min(0),
  /**
   * Bytes transferred between places if a piece is computed in another place.
   */
  movedBytes: z.number().min(0),
  /**
   * No other stage needs the inputs: they may be released once they are
   * fetched.
   */
  ownsInputs: z.boolean(),
  pieces: z.array(pieceOrderSchema).max(MAX_PIECES),
});

/** The pieces of one stage of one request. */
export type PieceRun = z.infer<typeof pieceRunSchema>;

/** The outcome of one piece. */
export const pieceOutcomeSchema = z.discriminatedUnion("kind", [
  /** The location of the result. */
  z.object({ kind: z.literal("done"), result: z.string() }),
  z.object({
    kind: z.literal("failed"),
    reason: z.enum(["late", "input_gone", "no_room", "error", "unavailable"]),
  }),
]);

/** The outcome of one piece. */
export type PieceOutcome = z.infer<typeof pieceOutcomeSchema>;

/** Maximum number of other priorities in a query for waits. */
export const MAX_OTHER_PRIORITIES = 16;

/** Queries the expected waits of new pieces. */
export const waitsQuerySchema = z.object({
  pool: z.string(),
  partition: z.string(),
  /** Other priorities whose waits the entry is likely to need soon. */
  others: z.array(z.number().int().min(0)).max(MAX_OTHER_PRIORITIES).optional(),
  /** 0 is the highest. */
  priority: z.number().int().min(0),
  /** If given, the waits are those of this client account. */
  account: accountSchema,
});

/** Queries the expected waits of new pieces. */
export type WaitsQuery = z.infer<typeof waitsQuerySchema>;

const overallWaitsSchema = z.object({
  onTime: z.number(),
  late: z.number(),
  /** Increase of `onTime` per millisecond from now. */
  growth: z.number(),
});

/** Expected waits of new pieces of one priority, in milliseconds. */
export const pieceWaitsSchema = overallWaitsSchema.extend({
  /** Waits regardless of the account; left out if the query names none. */
  overall: overallWaitsSchema.optional(),
});

/** Expected waits of new pieces of the priority that was queried. */
export const waitsReplySchema = pieceWaitsSchema.extend({
  /** Waits of the other priorities that were queried. */
  others: z.array(pieceWaitsSchema.extend({
    priority: z.number().int().min(0),
  })).max(MAX_OTHER_PRIORITIES).optional(),
});

/** Expected waits of new pieces of the priority that was queried. */
export type WaitsReply = z.infer<typeof waitsReplySchema>;

/** The outcomes of a run, in the order of its pieces. */
export const pieceRunReplySchema = z.object({
  outcomes: z.array(pieceOutcomeSchema).max(MAX_PIECES),
  waits: pieceWaitsSchema,
  /** The inputs have been released. */
  freedInputs: z.boolean(),
  /** Endpoints that crashed during calls with its pieces; left out if none. */
  ends: z.array(endpointCrashSchema).max(MAX_ENDS).optional(),
});

/** The outcomes of a run, in the order of its pieces. */
export type PieceRunReply = z.infer<typeof pieceRunReplySchema>;

/** Maximum number of results in one release. */
export const MAX_RELEASED = 1_024;

/** Results that are no longer needed. */
export const releaseSchema = z.object({
  pool: z.string(),
  /** The partition whose endpoints store them. */
  partition: z.string(),
  results: z.array(z.string()).max(MAX_RELEASED),
});

/** Results that are no longer needed. */
export type ResultRelease = z.infer<typeof releaseSchema>;
