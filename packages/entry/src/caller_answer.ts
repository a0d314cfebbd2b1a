/**
 * Sends answers to callers: buffered answers as JSON, streamed answers as
 * server-sent events.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import {
  CALLER_HEADERS,
  FAILURE_STATUS,
  formatFailure,
} from "@mangoreach/callers";
import type { Failure } from "@mangoreach/coordination";
import type { StoredAnswer } from "@mangoreach/peers";
import { formatServerSentEvent } from "@mangoreach/shared";

const JSON_TYPE = "application/json";
/** HTTP clients repeat requests after these without a look at the verdict. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const STATUS_BAD_GATEWAY = 502;

/** Creates the answer for a failure, as it is sent and stored. */
export function createFailureAnswer(failure: Failure): StoredAnswer {
  return {
    status: chooseStatus(failure),
    contentType: JSON_TYPE,
    verdict: failure.verdict,
    body: JSON.stringify(formatFailure(failure)),
  };
}

/** The status of its kind, unless that would say that nothing ran. */
function chooseStatus({ kind, verdict }: Failure): number {
  const status = FAILURE_STATUS[kind];
  const isProven = verdict === "not_run" || !NOT_RUN_STATUSES.has(status);
  return isProven ? status : STATUS_BAD_GATEWAY;
}

/** Creates the answer for a JSON value. */
export function createJsonAnswer(value: unknown): StoredAnswer {
  return {
    status: 200,
    contentType: JSON_TYPE,
    verdict: "ran",
    body: JSON.stringify(value),
  };
}

/** Options of {@linkcode sendAnswer}. */
export interface SendAnswerOptions {
  requestId?: string;
  retryAfterMs?: number | undefined;
}

/** Sends a buffered answer; false when the caller has disconnected. */
export function sendAnswer(
  response: ServerResponse,
  { status, contentType, verdict, body, isUnproven = false }: StoredAnswer,
  { requestId, retryAfterMs }: SendAnswerOptions = {},
): boolean {
  if (response.headersSent || response.destroyed) return false;
  const headers: Record<string, string | number> = {
    "content-type": contentType,
    [CALLER_HEADERS.verdict]: verdict,
  };
  if (requestId !== undefined) headers[CALLER_HEADERS.requestId] = requestId;
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = Math.ceil(retryAfterMs / 1_000);
  }
  if (isUnproven) {
    // A length would claim that the body is whole.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  } else headers["content-length"] = new TextEncoder().encode(body).length;
  response.writeHead(status, headers);
  response.end(body);
  return true;
}

/** A streamed answer in progress. */
export interface StreamAnswer {
  readonly hasStarted: boolean;
  /** Sends the headers only, as a resumed stream has no start event. */
  open(): void;
  /** Starts the stream, or restarts it after a generation failed. */
  start(resumeToken: string): void;
  /** Sends tokens; false when the caller has disconnected or reads too slowly. */
  send(tokens: readonly { sequence: number; text: string }[]): boolean;
  end(count: number): void;
  fail(failure: Failure): void;
}

/** A caller with more unread data is disconnected; it can resume the stream. */
const MAX_UNREAD_BYTES = 1_048_576;

/** Creates a streamed answer; nothing is sent before `start`. */
export function createStreamAnswer(
  response: ServerResponse,
  requestId: string,
): StreamAnswer {
  function sendEvent(event: string, data: unknown): void {
    if (response.destroyed) return;
    response.write(
      formatServerSentEvent({ event, id: "", data: JSON.stringify(data) }),
    );
  }

  function open(): void {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [CALLER_HEADERS.requestId]: requestId,
    });
  }

  function start(resumeToken: string): void {
    open();
    sendEvent("start", { request_id: requestId, resume_token: resumeToken });
  }

  function send(
    tokens: readonly { sequence: number; text: string }[],
  ): boolean {
    if (response.destroyed) return false;
    let text = "";
    for (const token of tokens) {
      text += `event: token\nid: ${token.sequence}\ndata: {"text":${
        JSON.stringify(token.text)
      }}\n\n`;
    }
    response.write(text);
    if (response.writableLength <= MAX_UNREAD_BYTES) return true;
    response.destroy();
    return false;
  }

  return {
    get hasStarted() {
      return response.headersSent;
    },
    open,
    start,
    send,
    end(count) {
      sendEvent("end", { count, verdict: "ran" });
      response.end();
    },
    fail(failure) {
      sendEvent("failed", formatFailure(failure));
      response.end();
    },
  };
}
