/**
 * What entries say to each other.
 *
 * @module
 */
import type { PeerRecord } from "@mangoreach/coordination";
import * as z from "zod";
import { poisonUpdateSchema } from "./run_protocol.ts";

const stateSchema = z.enum(["live", "unready", "leaving"]);

/**
 * What changes from second to second: incarnation, heartbeat, state, version of
 * the configuration, requests in progress, strained priority. Without names it
 * takes a quarter of the bytes, and a message holds four times as many.
 */
const heartbeatSchema = z.tuple([
  z.string(),
  z.number().int(),
  stateSchema,
  z.number().int(),
  z.number().int(),
  z.number().int().min(0),
]);

/** What changes from second to second about an entry. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** The heartbeat of an entry, as it is sent. */
export function encodeHeartbeat(record: PeerRecord): Heartbeat {
  return [
    record.incarnation,
    record.heartbeat,
    record.state,
    record.configVersion,
    record.inFlight,
    record.strainedPriority,
  ];
}

/** What a heartbeat says. */
export function decodeHeartbeat(
  [incarnation, heartbeat, state, configVersion, inFlight, strainedPriority]:
    Heartbeat,
) {
  return {
    incarnation,
    heartbeat,
    state,
    configVersion,
    inFlight,
    strainedPriority,
  };
}

/** All of an entry; sent to who lacks it. */
export const introductionSchema = z.object({
  entry: z.string(),
  incarnation: z.string(),
  heartbeat: z.number().int(),
  state: stateSchema,
  configVersion: z.number().int(),
  inFlight: z.number().int(),
  strainedPriority: z.number().int().min(0),
  startedAt: z.number(),
  capacity: z.number().positive(),
  place: z.string(),
  callerAddress: z.string(),
  controlAddress: z.string(),
});

const leavingMarkSchema = z.object({
  endpointKey: z.string(),
  age: z.number().min(0),
  /** The endpoint itself has said so; else it is a guess. */
  isSaid: z.boolean().default(false),
});

const limitUpdateSchema = z.object({
  endpointKey: z.string(),
  rateLimit: z.number().min(0).nullable(),
  age: z.number().min(0),
});

const MAX_RECORDS = 64;

/** One exchange of peer state; both sides send the same form. */
export const exchangeSchema = z.object({
  heartbeats: z.array(heartbeatSchema).max(MAX_RECORDS),
  introductions: z.array(introductionSchema).max(MAX_RECORDS),
  leaving: z.array(leavingMarkSchema).max(MAX_RECORDS),
  /** What endpoints said of their limits; left out while none has named one. */
  limits: z.array(limitUpdateSchema).max(MAX_RECORDS).optional(),
  /** How many other entries the sender knows. */
  known: z.number().int().min(0),
  /** Incarnations that could not be reached, and their last heartbeats. */
  unreached: z.array(z.tuple([z.string(), z.number().int()]))
    .max(MAX_RECORDS).optional(),
  /** Left out while nothing is suspected. */
  poison: poisonUpdateSchema.optional(),
});

/** One exchange of peer state. */
export type PeerExchange = z.infer<typeof exchangeSchema>;

/** A question about a non-idempotent request that only the asked may run. */
export const outcomeQuerySchema = z.object({
  account: z.string(),
  id: z.string(),
  /** Until when the asked must remember its answer. */
  keepUntil: z.number(),
  /** How long the answer may wait for a request that is running. */
  waitMs: z.number().min(0).max(600_000),
});

/** A question about a non-idempotent request. */
export type OutcomeQuestion = z.infer<typeof outcomeQuerySchema>;

/** An answer as it went to the caller, for one who asks again. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  verdict: z.enum(["not_run", "may_have_run", "ran"]),
  body: z.string(),
});

/** An answer as it went to the caller. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** What the asked entry knows. */
export const outcomeReplySchema = z.discriminatedUnion("kind", [
  /** It ran or was refused; this was the answer. */
  z.object({ kind: z.literal("answered"), answer: storedAnswerSchema }),
  /** It did not run and never will. */
  z.object({ kind: z.literal("forbidden") }),
  /** It runs still, or the asked cannot say. */
  z.object({ kind: z.literal("unknown") }),
]);

/** What the asked entry knows. */
export type OutcomeReply = z.infer<typeof outcomeReplySchema>;
