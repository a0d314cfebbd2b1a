/**
 * How an entry hands pieces of stage work to the entry that feeds a pool.
 *
 * @module
 */
import * as z from "zod";
import { endpointCrashSchema } from "./run_protocol.ts";

/** What a piece is made from: the request's own key, or earlier results. */
const pieceSourceSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("key"), key: z.string() }),
  z.object({
    kind: z.literal("results"),
    results: z.array(z.string()),
    /** Pools whose endpoints hold the results. */
    pools: z.array(z.string()),
  }),
]);

/** What a piece is made from. */
export type PieceSource = z.infer<typeof pieceSourceSchema>;

const pieceOrderSchema = z.object({
  stage: z.number().int().min(0),
  /** Number within its stage, from 0. */
  piece: z.number().int().min(0),
  source: pieceSourceSchema,
});

/** One piece of a stage. */
export type PieceOrder = z.infer<typeof pieceOrderSchema>;

const MAX_PIECES = 1_024;

/** The pieces of one stage of one request. */
export const pieceRunSchema = z.object({
  pool: z.string(),
  /** The part of the pool that makes them; empty if it is not divided. */
  partition: z.string(),
  requestId: z.string(),
  /** 0 is the highest. */
  priority: z.number().int().min(0),
  /** Milliseconds after which the request misses its latency objective. */
  onTime: z.number(),
  /** Milliseconds after which the results are of no use. */
  remaining: z.number(),
  /** Where most is fetched to or from. */
  place: z.string().optional(),
  resultBytes: z.number().min(0),
  /** Bytes that cross between places if a piece is made in another place. */
  movedBytes: z.number().min(0),
  /** No other stage needs the inputs: they may be freed once they are fetched. */
  ownsInputs: z.boolean(),
  pieces: z.array(pieceOrderSchema).max(MAX_PIECES),
});

/** The pieces of one stage of one request. */
export type PieceRun = z.infer<typeof pieceRunSchema>;

/** The outcome of one piece. */
export const pieceOutcomeSchema = z.discriminatedUnion("kind", [
  /** Where the result lies. */
  z.object({ kind: z.literal("done"), result: z.string() }),
  z.object({
    kind: z.literal("failed"),
    reason: z.enum(["late", "input_gone", "no_room", "error", "unavailable"]),
  }),
]);

/** The outcome of one piece. */
export type PieceOutcome = z.infer<typeof pieceOutcomeSchema>;

/** Asks what new pieces would wait. */
export const waitsQuerySchema = z.object({
  pool: z.string(),
  partition: z.string(),
  /** 0 is the highest. */
  priority: z.number().int().min(0),
});

/** Asks what new pieces would wait. */
export type WaitsQuestion = z.infer<typeof waitsQuerySchema>;

/** Expected waits of new pieces of one priority, in milliseconds. */
export const pieceWaitsSchema = z.object({
  onTime: z.number(),
  late: z.number(),
  /** How much longer `onTime` gets with each millisecond from now. */
  growth: z.number(),
});

/** The outcomes of a run, in the order of its pieces. */
export const pieceRunReplySchema = z.object({
  outcomes: z.array(pieceOutcomeSchema),
  waits: pieceWaitsSchema,
  /** The inputs are freed already. */
  freedInputs: z.boolean(),
  /** Endpoints that ended during calls with its pieces; left out if none. */
  ends: z.array(endpointCrashSchema).optional(),
});

/** The outcomes of a run, in the order of its pieces. */
export type PieceRunReply = z.infer<typeof pieceRunReplySchema>;

/** Results in one release at most. */
export const MAX_RELEASED = 1_024;

/** Results that nobody needs any more. */
export const releaseSchema = z.object({
  pool: z.string(),
  /** Whose endpoints hold them. */
  partition: z.string(),
  results: z.array(z.string()).max(MAX_RELEASED),
});

/** Results that nobody needs any more. */
export type ResultRelease = z.infer<typeof releaseSchema>;
