/**
 * Messages between entries about streams that callers may resume.
 *
 * @module
 */
import * as z from "zod";

/** Maximum number of streams in one message. */
export const MAX_STREAM_ROWS = 256;
/** Maximum number of pools in a query; those of one route. */
export const MAX_STREAM_POOLS = 16;
/** Versions of one pool in a reply; a release has two. */
export const MAX_POOL_VERSIONS = 16;

/**
 * A stream: key, pool, id and version of the endpoint that began it, and the
 * milliseconds for which it is remembered. An empty version is not known.
 */
const streamRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number().min(0),
]);

/** A stream in a message. */
export type StreamRow = z.infer<typeof streamRowSchema>;

/** Streams that peers are to remember. */
export const streamRowsSchema = z.array(streamRowSchema).max(MAX_STREAM_ROWS);

/** Queries the origin of a stream and the versions of pools. */
export const streamQuerySchema = z.object({
  /** Null if the caller names no stream. */
  key: z.string().nullable(),
  pools: z.array(z.string()).max(MAX_STREAM_POOLS),
});

/** Queries the origin of a stream and the versions of pools. */
export type StreamQuery = z.infer<typeof streamQuerySchema>;

const poolVersionsSchema = z.object({
  pool: z.string(),
  /** Milliseconds for which the peer has watched the pool's endpoints. */
  watchedFor: z.number().min(0),
  /** Versions, empty if not known, and the milliseconds since each was seen. */
  versions: z.array(z.tuple([z.string(), z.number().min(0)]))
    .max(MAX_POOL_VERSIONS),
});

/** What a peer knows. */
export const streamReplySchema = z.object({
  stream: streamRowSchema.nullable(),
  /** Left out if the peer's view of the endpoints is too old. */
  history: z.array(poolVersionsSchema).max(MAX_STREAM_POOLS),
});

/** What a peer knows. */
export type StreamReply = z.infer<typeof streamReplySchema>;
