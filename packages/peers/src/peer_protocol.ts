/**
 * Messages that entries exchange about each other.
 *
 * @module
 */
import type { PeerRecord, PeerState } from "@mangoreach/coordination";
import * as z from "zod";
import { poisonUpdateSchema } from "./run_protocol.ts";

const stateSchema = z.enum(["live", "unready", "leaving"]);
type WireState = z.infer<typeof stateSchema>;

/**
 * Detached entries are `unready` in heartbeats and introductions, as builds
 * that know no such state would reject the message, and are listed beside them.
 */
function encodeState(state: PeerState): WireState {
  return state === "detached" ? "unready" : state;
}

function decodeState(
  state: WireState,
  { incarnation, detached }: {
    incarnation: string;
    detached: readonly string[];
  },
): PeerState {
  return state === "unready" && detached.includes(incarnation)
    ? "detached"
    : state;
}

/**
 * The frequently changing state of an entry: incarnation, heartbeat, state,
 * version of the configuration, requests in progress, strained priority. A
 * tuple takes a quarter of the bytes of an object with field names, so a
 * message holds four times as many.
 */
const heartbeatSchema = z.tuple([
  z.string(),
  z.number().int(),
  stateSchema,
  z.number().int(),
  z.number().int(),
  z.number().int().min(0),
]);

/** The frequently changing state of an entry. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Encodes the heartbeat of an entry for sending. */
export function encodeHeartbeat(record: PeerRecord): Heartbeat {
  return [
    record.incarnation,
    record.heartbeat,
    encodeState(record.state),
    record.configVersion,
    record.inFlight,
    record.strainedPriority,
  ];
}

/** Decodes a received heartbeat, with the detached entries of its message. */
export function decodeHeartbeat(
  [incarnation, heartbeat, state, configVersion, inFlight, strainedPriority]:
    Heartbeat,
  detached: readonly string[] = [],
) {
  return {
    incarnation,
    heartbeat,
    state: decodeState(state, { incarnation, detached }),
    configVersion,
    inFlight,
    strainedPriority,
  };
}

/** The full record of an entry; sent to peers that may lack it. */
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

/** The full record of an entry as it is sent. */
export type Introduction = z.infer<typeof introductionSchema>;

/** Encodes the full record of an entry for sending. */
export function encodeIntroduction(record: PeerRecord): Introduction {
  return { ...record, state: encodeState(record.state) };
}

/** Decodes a full record, with the detached entries of its message. */
export function decodeIntroduction(
  introduction: Introduction,
  detached: readonly string[] = [],
): PeerRecord {
  const { incarnation, state } = introduction;
  return {
    ...introduction,
    state: decodeState(state, { incarnation, detached }),
  };
}

const leavingMarkSchema = z.object({
  endpointKey: z.string(),
  age: z.number().min(0),
  /** The endpoint itself reported it; otherwise it is inferred. */
  isSaid: z.boolean().default(false),
});

const limitUpdateSchema = z.object({
  endpointKey: z.string(),
  rateLimit: z.number().min(0).nullable(),
  age: z.number().min(0),
});

const brittleUpdateSchema = z.object({
  pool: z.string(),
  rejectLimit: z.number().min(0),
  age: z.number().min(0),
});

const MAX_RECORDS = 64;

/** One exchange of peer state; request and reply have the same schema. */
export const exchangeSchema = z.object({
  heartbeats: z.array(heartbeatSchema).max(MAX_RECORDS),
  introductions: z.array(introductionSchema).max(MAX_RECORDS),
  leaving: z.array(leavingMarkSchema).max(MAX_RECORDS),
  /** Limits that endpoints reported; left out while there are none. */
  limits: z.array(limitUpdateSchema).max(MAX_RECORDS).optional(),
  /** Pools whose endpoints are brittle; left out while there are none. */
  brittle: z.array(brittleUpdateSchema).max(MAX_RECORDS).optional(),
  /** Number of other entries that the sender knows. */
  known: z.number().int().min(0),
  /** Incarnations that could not be reached, with their last heartbeats. */
  unreached: z.array(z.tuple([z.string(), z.number().int()]))
    .max(MAX_RECORDS).optional(),
  /** Incarnations of detached entries; left out if there are none. */
  detached: z.array(z.string()).max(2 * MAX_RECORDS).optional(),
  /** Left out while nothing is suspected. */
  poison: poisonUpdateSchema.optional(),
});

/** One exchange of peer state. */
export type PeerExchange = z.infer<typeof exchangeSchema>;

/**
 * Queries the outcome of a non-idempotent request at the only entry that may
 * run it.
 */
export const outcomeQuerySchema = z.object({
  account: z.string(),
  id: z.string(),
  /** Until when the queried entry must store its answer. */
  keepUntil: z.number(),
  /** How long the reply may wait for a request that is running. */
  waitMs: z.number().min(0).max(600_000),
});

/** Queries the outcome of a non-idempotent request. */
export type OutcomeQuery = z.infer<typeof outcomeQuerySchema>;

/** An answer as it was sent to the caller, stored for repeated requests. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  verdict: z.enum(["not_run", "may_have_run", "ran"]),
  body: z.string(),
  /** Whether its end is known only from the end of a connection. */
  isUnproven: z.boolean().optional(),
});

/** An answer as it was sent to the caller. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** What the queried entry knows of the outcome. */
export const outcomeReplySchema = z.discriminatedUnion("kind", [
  /** The request ran or was refused, with this answer. */
  z.object({ kind: z.literal("answered"), answer: storedAnswerSchema }),
  /** The request has not run and never will. */
  z.object({ kind: z.literal("forbidden") }),
  /** The request is still running, or the outcome is not known. */
  z.object({ kind: z.literal("unknown") }),
]);

/** What the queried entry knows of the outcome. */
export type OutcomeReply = z.infer<typeof outcomeReplySchema>;
