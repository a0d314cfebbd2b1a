/**
 * The caller protocol: HTTP/1.1 with JSON, and server-sent events for streams.
 * docs/operators/caller_protocol.md describes it for other languages.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import { createListSchema } from "@mangoreach/shared";
import * as z from "zod";

/** Names of the headers, lower case. */
export const CALLER_HEADERS = {
  requestId: "mangoreach-request-id",
  className: "mangoreach-class",
  /** Milliseconds from now within which the complete answer must arrive. */
  deadlineMs: "mangoreach-deadline-ms",
  /** `true` or `false`; by default `false`: the request must not run twice. */
  idempotent: "mangoreach-idempotent",
  /** Number of the attempt; 1 states that this id has not been sent before. */
  attempt: "mangoreach-attempt",
  /** The caller's place, so that entries of the same place are preferred. */
  place: "mangoreach-place",
  /** Set on every response to a request. */
  verdict: "mangoreach-verdict",
} as const;

/** Paths of the caller protocol. */
export const CALLER_PATHS = {
  addresses: "/v1/addresses",
  pipelines: "/v1/pipelines/",
  services: "/v1/services/",
  streams: "/v1/streams/",
} as const;

/** What an account authenticates with. */
export interface Credentials {
  account: string;
  key: string;
}

const CREDENTIALS_PATTERN = /^Bearer ([A-Za-z0-9_-]{1,64}):(.{1,256})$/;

/** Formats the `authorization` header. */
export function formatCredentials({ account, key }: Credentials): string {
  return `Bearer ${account}:${key}`;
}

/** Parses the `authorization` header. */
export function parseCredentials(
  header: string | undefined,
): Credentials | undefined {
  const match = CREDENTIALS_PATTERN.exec(header ?? "");
  if (match === null) return undefined;
  return { account: match[1]!, key: match[2]! };
}

/** An entry that a caller may use. */
export const entryAddressSchema = z.object({
  entry: z.string(),
  place: z.string(),
  /** `ip:port`. */
  address: z.string(),
  /** Prefix for the ids of non-idempotent requests sent there. */
  binding: z.string(),
});

/** An entry that a caller may use. */
export type EntryAddress = z.infer<typeof entryAddressSchema>;

/** The response to `GET /v1/addresses`, preferred address first. */
export const addressAnswerSchema = z.object({
  addresses: createListSchema(entryAddressSchema),
  /** How long the response may be cached. */
  keep_ms: z.number().min(0),
  /** When to refresh it, which is before it expires. */
  ask_again_ms: z.number().min(0),
});

/** The response to `GET /v1/addresses`. */
export type AddressAnswer = z.infer<typeof addressAnswerSchema>;

/** The body of a pipeline request. */
export const pipelineBodySchema = z.strictObject({
  text: z.string(),
  /** The part of the prompt that many requests share, such as a case file. */
  prefix: z.string().optional(),
});

/** The body of a pipeline request. */
export type PipelineBody = z.infer<typeof pipelineBodySchema>;

/** The complete response of a pipeline that is not streamed. */
export const pipelineAnswerSchema = z.object({
  request_id: z.string(),
  pipeline: z.string(),
  /** Output of the last stage: generated text, or the stage's own JSON. */
  output: z.unknown(),
});

/** The complete response of a pipeline that is not streamed. */
export type PipelineAnswer = z.infer<typeof pipelineAnswerSchema>;

/** Events of a streamed response; the last one is `end` or `failed`. */
export type CallerEventName = "start" | "token" | "end" | "failed";

/** Data of the `start` event. */
export const streamStartSchema = z.object({
  request_id: z.string(),
  /** Lets any entry continue the stream; valid for one client account only. */
  resume_token: z.string(),
});

/** Data of a `token` event; the event id is the sequence number. */
export const streamTokenSchema = z.object({ text: z.string() });

/** Data of the `end` event. */
export const streamEndSchema = z.object({
  count: z.number().int().min(0),
  verdict: z.literal("ran"),
});

const failureBodySchema = z.object({
  error: z.object({
    kind: z.enum([
      "malformed",
      "too_large",
      "unauthorized",
      "not_found",
      "overloaded",
      "deadline_exceeded",
      "unavailable",
      "stopping",
      "rejected",
      "bad_reply",
      "cancelled",
      "duplicate",
      "outcome_unknown",
    ]),
    verdict: z.enum(["not_run", "may_have_run", "ran"]),
    message: z.string(),
    retry_after_ms: z.number().min(0).optional(),
  }),
});

/** The body of a failure response. */
export type FailureBody = z.infer<typeof failureBodySchema>;

/** Formats a failure for the wire. */
export function formatFailure(failure: Failure): FailureBody {
  const { kind, verdict, message, retryAfterMs } = failure;
  const error = { kind, verdict, message };
  if (retryAfterMs === undefined) return { error };
  return { error: { ...error, retry_after_ms: Math.round(retryAfterMs) } };
}

/**
 * Parses a failure; if it is unreadable, the request counts as `may_have_run`.
 */
export function parseFailure(body: unknown, status: number): Failure {
  const parsed = failureBodySchema.safeParse(body);
  if (!parsed.success) {
    return createFailure("bad_reply", {
      verdict: "may_have_run",
      message: `the entry answered ${status} without a readable failure`,
    });
  }
  const { kind, verdict, message, retry_after_ms } = parsed.data.error;
  const fields = { verdict, message };
  if (retry_after_ms === undefined) return createFailure(kind, fields);
  return createFailure(kind, { ...fields, retryAfterMs: retry_after_ms });
}

/** The HTTP status of each kind of failure. */
export const FAILURE_STATUS: Record<Failure["kind"], number> = {
  malformed: 400,
  too_large: 413,
  unauthorized: 401,
  not_found: 404,
  overloaded: 429,
  deadline_exceeded: 504,
  unavailable: 503,
  stopping: 503,
  rejected: 502,
  bad_reply: 502,
  cancelled: 499,
  duplicate: 409,
  outcome_unknown: 409,
};
