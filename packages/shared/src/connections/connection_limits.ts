/**
 * Limits for what all peers together can make a process hold.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";

const MEGABYTE = 1_048_576;
/** The rest is for connections to endpoints, peers and the platform. */
const DESCRIPTOR_SHARE = 0.75;
const LIMITS_FILE = "/proc/self/limits";

/** Settings of the limits, the same for all programs that listen. */
export const connectionLimitsSchema = z.strictObject({
  maxConnections: z.number().int().min(10).max(100_000).default(3_000)
    .describe(
      "Connections to all listeners together, at most three quarters of the descriptors that the process may open; beyond it idle ones are closed",
    ),
  maxDescriptors: z.number().int().min(100).optional()
    .describe(
      "Descriptors that the process may open, where the operating system does not tell; by default what it tells",
    ),
  maxRequestsAhead: z.number().int().min(1).max(1_000).default(32)
    .describe(
      "Requests of one connection served at once; those sent ahead of more wait unread",
    ),
  maxRequests: z.number().int().min(1).max(100_000).default(2_000)
    .describe(
      "Requests of all connections served at once; more are refused and have not run",
    ),
  maxConnectionBytes: z.number().int().min(MEGABYTE).max(1_024 * MEGABYTE)
    .default(48 * MEGABYTE)
    .describe(
      "Estimated memory of connections: heads, bytes that wait, answers that are not read; beyond it the largest idle, unread or unfinished ones are closed",
    ),
  maxBodyBytes: z.number().int().min(MEGABYTE).max(1_024 * MEGABYTE)
    .default(64 * MEGABYTE)
    .describe(
      "Bodies of all requests, until their answers are sent; beyond it the largest unfinished one is refused and has not run",
    ),
  maxPeerBytes: z.number().int().min(MEGABYTE).max(1_024 * MEGABYTE)
    .default(32 * MEGABYTE)
    .describe(
      "Messages of peers being read, worked on or sent; beyond it the connection with the most is closed",
    ),
});

/** Limits for what all peers together can make a process hold. */
export type ConnectionLimits = z.infer<typeof connectionLimitsSchema>;

/** The limits without settings. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits =
  connectionLimitsSchema.parse({});

/**
 * Computes the connections that the process has descriptors for. The operating
 * system's limit may leave sockets out, so that a configured one comes first.
 */
export function computeMaxConnections(
  { maxConnections, maxDescriptors }: Pick<
    ConnectionLimits,
    "maxConnections" | "maxDescriptors"
  >,
  readDescriptors = readMaxDescriptors,
): number {
  const descriptors = maxDescriptors ?? readDescriptors();
  return Math.min(maxConnections, Math.floor(DESCRIPTOR_SHARE * descriptors));
}

/** Infinite if the system does not tell. */
function readMaxDescriptors(): number {
  try {
    const text = readFileSync(LIMITS_FILE, "utf8");
    return Number(/^Max open files\s+(\d+)/m.exec(text)?.[1] ?? Infinity);
  } catch {
    return Infinity;
  }
}
