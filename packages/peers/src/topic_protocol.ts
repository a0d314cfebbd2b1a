/**
 * How an entry reads a keyed topic of the platform's store at another entry that
 * has read it already.
 *
 * @module
 */
import { z } from "zod";

/** The configuration, and what endpoints say about themselves. */
export const topicNameSchema = z.enum(["config", "endpoints"]);

/** The configuration, and what endpoints say about themselves. */
export type TopicName = z.infer<typeof topicNameSchema>;

const LONGEST_WAIT = 10_000;

/** Asks for the records from an offset on. */
export const topicQuestionSchema = z.object({
  topic: topicNameSchema,
  /** The store's offset. */
  from: z.number().int().min(0),
  /** Milliseconds to wait for the first record. */
  wait: z.number().min(0).max(LONGEST_WAIT),
});

/** Asks for the records from an offset on. */
export type TopicQuestion = z.infer<typeof topicQuestionSchema>;

/** What the asked entry knows. */
export const topicNewsSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("records"),
    /** Without a value the key was dropped. */
    records: z.array(z.object({
      key: z.string(),
      value: z.string().optional(),
    })),
    /** Where to read on. */
    next: z.number().int().min(0),
    /** Milliseconds since the store confirmed it. */
    age: z.number().min(0),
  }),
  /** It does not know the records from this offset on. */
  z.object({ kind: z.literal("unknown") }),
]);

/** What the asked entry knows. */
export type TopicNews = z.infer<typeof topicNewsSchema>;
