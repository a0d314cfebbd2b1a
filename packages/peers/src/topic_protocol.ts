/**
 * How an entry reads a compacted topic of the platform's store from another
 * entry that has already read it.
 *
 * @module
 */
import * as z from "zod";

/** The configuration, the reports of endpoints, and the entries. */
export const topicNameSchema = z.enum(["config", "endpoints", "members"]);

/** The configuration, the reports of endpoints, and the entries. */
export type TopicName = z.infer<typeof topicNameSchema>;

const MAX_WAIT = 10_000;

const offsetSchema = z.number().int().min(0);

/** Where to continue to read; offsets of different eras are not comparable. */
const positionSchema = z.object({
  /** Rises when the store is restored from an older copy. */
  era: z.number().int().min(0),
  /** The store's offset. */
  offset: offsetSchema,
});

/** Requests the records from a position on. */
export const topicRequestSchema = z.object({
  topic: topicNameSchema,
  from: positionSchema,
  /**
   * Milliseconds to wait for the first record; with 0 the reply is immediate.
   */
  wait: z.number().min(0).max(MAX_WAIT),
  /**
   * Additional milliseconds that a reply without records waits until the store
   * has confirmed again that the data of the replying entry is current.
   */
  confirmWait: z.number().min(0).max(MAX_WAIT),
});

/** Requests the records from a position on. */
export type TopicRequest = z.infer<typeof topicRequestSchema>;

/** At most one request for each topic. */
const MAX_REQUESTS = topicNameSchema.options.length;

/** Requests several topics at once; the first that has records is answered. */
export const topicRequestsSchema = z.array(topicRequestSchema)
  .min(1).max(MAX_REQUESTS);

const topicRecordSchema = z.object({
  key: z.string(),
  /** Absent if the key was deleted. */
  value: z.string().optional(),
  /** The store's offset. */
  offset: offsetSchema.optional(),
});

/**
 * A full snapshot takes about 1 MiB, and a record more than 32 bytes. The schema
 * describes the fault of each record, which takes some 450 bytes.
 */
const MAX_RECORDS = 32_768;

const topicRecordsSchema = z.object({
  records: z.array(topicRecordSchema).max(MAX_RECORDS),
  /** Where to continue to read. */
  next: positionSchema,
  /**
   * Milliseconds between the store's last confirmation of the data and the
   * arrival of the request; negative if the confirmation came while the
   * request waited.
   */
  age: z.number(),
});

/** What the replying entry has read of the topic. */
export const topicReplySchema = z.discriminatedUnion("kind", [
  /** The changes from the position on. */
  topicRecordsSchema.extend({ kind: z.literal("records") }),
  /**
   * A snapshot, the newest record of every key, as older changes are not kept.
   */
  topicRecordsSchema.extend({ kind: z.literal("newest") }),
  /** The entry has not read the topic, or not up to that position. */
  z.object({ kind: z.literal("unknown") }),
]);

/** What the replying entry has read, in the order of the requests. */
export const topicRepliesSchema = z.array(topicReplySchema).max(MAX_REQUESTS);

/** What the replying entry has read of the topic. */
export type TopicReply = z.infer<typeof topicReplySchema>;
