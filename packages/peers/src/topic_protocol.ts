/**
 * How an entry reads a keyed topic of the platform's store at another entry that
 * has read it already.
 *
 * @module
 */
import * as z from "zod";

/** The configuration, what endpoints say about themselves, and the entries. */
export const topicNameSchema = z.enum(["config", "endpoints", "members"]);

/** The configuration, what endpoints say about themselves, and the entries. */
export type TopicName = z.infer<typeof topicNameSchema>;

const MAX_WAIT = 10_000;

const offsetSchema = z.number().int().min(0);

/** Where a topic is read on: offsets of two eras cannot be compared. */
const positionSchema = z.object({
  /** Rises when the store comes back from an older copy of itself. */
  era: z.number().int().min(0),
  /** The store's offset. */
  offset: offsetSchema,
});

/** Asks for the records from a position on. */
export const topicRequestSchema = z.object({
  topic: topicNameSchema,
  from: positionSchema,
  /** Milliseconds to wait for the first record; with 0 an answer comes at once. */
  wait: z.number().min(0).max(MAX_WAIT),
  /**
   * So many milliseconds longer an answer without records waits until the asked
   * entry's knowledge is confirmed anew.
   */
  confirmWait: z.number().min(0).max(MAX_WAIT),
});

/** Asks for the records from a position on. */
export type TopicQuestion = z.infer<typeof topicRequestSchema>;

/** One question for each topic at most. */
const MAX_REQUESTS = topicNameSchema.options.length;

/** Asks about several topics at once; whichever has news first is answered. */
export const topicRequestsSchema = z.array(topicRequestSchema)
  .min(1).max(MAX_REQUESTS);

const topicRecordSchema = z.object({
  key: z.string(),
  /** Without a value the key was dropped. */
  value: z.string().optional(),
  /** The store's offset. */
  offset: offsetSchema.optional(),
});

const topicRecordsSchema = z.object({
  records: z.array(topicRecordSchema),
  /** Where to read on. */
  next: positionSchema,
  /**
   * How long before the question came the store had confirmed it, in
   * milliseconds; negative if that was while the question waited.
   */
  age: z.number(),
});

/** What the asked entry knows. */
export const topicReplySchema = z.discriminatedUnion("kind", [
  /** The changes from the position on. */
  topicRecordsSchema.extend({ kind: z.literal("records") }),
  /** The newest record of every key: changes from there on are not kept. */
  topicRecordsSchema.extend({ kind: z.literal("newest") }),
  /** It has not read the topic, or not as far as that. */
  z.object({ kind: z.literal("unknown") }),
]);

/** What the asked entry knows, in the order of the questions. */
export const topicRepliesSchema = z.array(topicReplySchema);

/** What the asked entry knows. */
export type TopicNews = z.infer<typeof topicReplySchema>;
