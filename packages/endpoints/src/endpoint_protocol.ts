/**
 * What model engines, stage endpoints and plain services have in common on the
 * wire: the headers of a call, its echo, and refusals.
 *
 * A refusal is status 503 or 429 with the body
 * `{"verdict":"not_run","reason":"leaving"|"overloaded"|"not_loaded"}`. Any other
 * answer leaves open whether the call ran.
 *
 * @module
 */
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { HttpHeaders, HttpReply, Millis } from "@mangoreach/shared";
import { parseAmount, readReplyJson } from "@mangoreach/shared";
import * as z from "zod";

/** Names of the headers, lower case. */
export const ENDPOINT_HEADERS = {
  requestId: "x-request-id",
  stage: "x-stage",
  attempt: "x-attempt",
  causalTime: "x-causal-time",
  /** Sent by an endpoint that is leaving: `x-endpoint-state: leaving`. */
  state: "x-endpoint-state",
  /** Requests a second that an endpoint takes from all entries together. */
  rateLimit: "x-endpoint-limit",
} as const;

/** The value of the state header of an endpoint that takes no new work. */
export const LEAVING_STATE = "leaving";

/** Which request, stage and attempt a call or a result belongs to. */
export interface CallIdentity {
  /** Client account and request id. */
  requestId: string;
  stage: string;
  /** Counts from 1 within a stage of a request. */
  attempt: number;
}

/** How a result names the call that it answers. */
export const echoSchema = z.object({
  request_id: z.string(),
  stage: z.string(),
  attempt: z.number().int().min(1),
});

/** How a result names the call that it answers. */
export type CallEcho = z.infer<typeof echoSchema>;

const refusalSchema = z.object({
  verdict: z.literal("not_run"),
  reason: z.enum(["leaving", "overloaded", "not_loaded"]),
  retry_after_ms: z.number().min(0).optional(),
});

const TOO_MANY = 429;
const UNAVAILABLE = 503;

/** Whether a result belongs to the call; any other is dropped and counted. */
export function isEchoOf(echo: CallEcho, call: CallIdentity): boolean {
  return echo.request_id === call.requestId && echo.stage === call.stage &&
    echo.attempt === call.attempt;
}

/** Formats the identity of a call for its body. */
export function formatEcho(call: CallIdentity): CallEcho {
  return {
    request_id: call.requestId,
    stage: call.stage,
    attempt: call.attempt,
  };
}

/** An answer in which an endpoint may speak of itself. */
export interface AnsweredCall {
  endpoint: EndpointInfo;
  headers: HttpHeaders;
  /** When the call was sent: its answer is no older. */
  sentAt: Millis;
}

/** Told of each answer of an endpoint. */
export type OnAnswer = (answered: AnsweredCall) => void;

/** Whether the answer came from an endpoint that says it is leaving. */
export function hasLeavingMark(headers: HttpHeaders): boolean {
  return headers[ENDPOINT_HEADERS.state] === LEAVING_STATE;
}

/** The limit that an answer names, in requests a second. */
export function readRateLimit(headers: HttpHeaders): number | undefined {
  const text = headers[ENDPOINT_HEADERS.rateLimit];
  return typeof text === "string" ? parseAmount(text) : undefined;
}

/** Turns an answer other than success into a failure with its verdict. */
export function createReplyFailure(peer: string, reply: HttpReply): Failure {
  const isRefusal = reply.status === UNAVAILABLE || reply.status === TOO_MANY;
  const refusal = isRefusal
    ? refusalSchema.safeParse(readReplyJson(reply))
    : undefined;
  if (refusal?.success) {
    const { reason, retry_after_ms: retryAfterMs } = refusal.data;
    return createFailure(reason === "overloaded" ? "overloaded" : "stopping", {
      verdict: "not_run",
      message: `${peer}: refused, ${reason}`,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }
  return createFailure("rejected", {
    verdict: "may_have_run",
    message: `${peer}: answered ${reply.status}`,
  });
}
