/**
 * The part of the wire protocol that model engines, stage endpoints and plain
 * services share: request headers, the call identity echoed in results, and
 * refusals.
 *
 * A refusal has status 503 or 429 and the body
 * `{"verdict":"not_run","reason":"leaving"|"overloaded"|"not_loaded"}`. Any
 * other response that is not a success leaves open whether the call ran.
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
  /** Set by an endpoint that is shutting down: `x-endpoint-state: leaving`. */
  state: "x-endpoint-state",
  /** Requests per second that an endpoint accepts from all entries together. */
  rateLimit: "x-endpoint-limit",
  /**
   * Requests per second that a brittle endpoint may reject for want of room
   * before it falls over.
   */
  rejectLimit: "x-endpoint-brittle",
} as const;

/**
 * The value of the state header of an endpoint that accepts no new requests.
 */
export const LEAVING_STATE = "leaving";

/** The request, stage and attempt that a call or a result belongs to. */
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

/**
 * Whether a result belongs to the call; other results are dropped and counted.
 */
export function isEchoOf(echo: CallEcho, call: CallIdentity): boolean {
  return echo.request_id === call.requestId && echo.stage === call.stage &&
    echo.attempt === call.attempt;
}

/** Formats the identity of a call for the request body. */
export function formatEcho(call: CallIdentity): CallEcho {
  return {
    request_id: call.requestId,
    stage: call.stage,
    attempt: call.attempt,
  };
}

/** A response, whose headers may report the state or limit of its endpoint. */
export interface AnsweredCall {
  endpoint: EndpointInfo;
  headers: HttpHeaders;
  /** When the call was sent; the response is at least as recent. */
  sentAt: Millis;
}

/** Called for each response of an endpoint. */
export type OnAnswer = (answered: AnsweredCall) => void;

/** Whether the endpoint reports in the response that it is shutting down. */
export function hasLeavingMark(headers: HttpHeaders): boolean {
  return headers[ENDPOINT_HEADERS.state] === LEAVING_STATE;
}

/** Reads the rate limit from a response, in requests per second. */
export function readRateLimit(headers: HttpHeaders): number | undefined {
  return readAmount(headers, ENDPOINT_HEADERS.rateLimit);
}

/** Reads the rejections per second that a brittle endpoint tolerates. */
export function readRejectLimit(headers: HttpHeaders): number | undefined {
  return readAmount(headers, ENDPOINT_HEADERS.rejectLimit);
}

function readAmount(headers: HttpHeaders, name: string): number | undefined {
  const text = headers[name];
  return typeof text === "string" ? parseAmount(text) : undefined;
}

/**
 * Creates the failure, with its verdict, of a response that is not a success.
 */
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
