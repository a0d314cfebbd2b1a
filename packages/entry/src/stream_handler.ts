/**
 * Resumes streams after a broken connection, also those started at other entries.
 *
 * @module
 */
import { parseCredentials } from "@mangoreach/callers";
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { EngineClient } from "@mangoreach/engines";
import {
  createFailureAnswer,
  createStreamAnswer,
  sendAnswer,
} from "./caller_answer.ts";
import type { CredentialsCheck } from "./credentials_check.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Exchange } from "./request_handler.ts";
import { failMalformed, failUnauthorized } from "./request_head.ts";
import type { ResumeTokenContent, ResumeTokens } from "./resume_token.ts";

/** Resumes streams. */
export interface StreamHandler {
  handleResume(
    exchange: Exchange,
    target: { token: string; next: string },
  ): Promise<void>;
}

/** Options of {@linkcode createStreamHandler}. */
export interface StreamHandlerOptions {
  credentials: CredentialsCheck;
  resumeTokens: ResumeTokens;
  engines: EngineClient;
}

const SEQUENCE_PATTERN = /^(0|[1-9]\d{0,8})$/;

/** Creates the stream handler of one entry. */
export function createStreamHandler(
  { clock, timeline }: EntryContext,
  { credentials, resumeTokens, engines }: StreamHandlerOptions,
): StreamHandler {
  async function handleResume(
    exchange: Exchange,
    { token, next }: { token: string; next: string },
  ): Promise<void> {
    const { request, response } = exchange;
    const given = parseCredentials(request.headers.authorization);
    if (given === undefined || !credentials.isAccount(given)) {
      return refuse(exchange, failUnauthorized());
    }
    if (!SEQUENCE_PATTERN.test(next)) {
      return refuse(exchange, failMalformed("next must be a sequence number"));
    }
    const content = resumeTokens.check(token, given.account);
    if (content === undefined) return refuse(exchange, failToken());
    timeline.record("stream_resumed", {
      request: content.requestId,
      endpoint: content.endpointId,
    });
    const controller = new AbortController();
    const abort = () => controller.abort();
    const stopTimer = clock.startTimer(content.expiresAt - clock.now(), abort);
    response.once("close", abort);
    await resumeStream(exchange, {
      content,
      next: Number(next),
      signal: controller.signal,
    });
    stopTimer();
  }

  async function resumeStream(
    exchange: Exchange,
    { content, next, signal }: {
      content: ResumeTokenContent;
      next: number;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const stream = createStreamAnswer(exchange.response, content.requestId);
    const events = engines.resume({
      endpoint: createEndpoint(content),
      streamId: content.streamId,
      next,
      signal,
    });
    for await (const event of events) {
      if (event.kind === "broken") {
        const failure: Failure = { ...event.failure, verdict: "may_have_run" };
        if (stream.hasStarted) stream.fail(failure);
        else refuse(exchange, failure);
        return;
      }
      if (!stream.hasStarted) stream.open();
      if (event.kind === "tokens") stream.send(event.tokens);
      if (event.kind === "end") stream.end(event.count);
    }
  }

  function refuse({ response }: Exchange, failure: Failure): void {
    sendAnswer(response, createFailureAnswer(failure), {
      retryAfterMs: failure.retryAfterMs,
    });
  }

  return { handleResume };
}

function createEndpoint(content: ResumeTokenContent): EndpointInfo {
  return {
    id: content.endpointId,
    incarnation: content.incarnation,
    pool: content.pool,
    place: content.place,
    address: content.address,
    state: "live",
  };
}

/** All invalid tokens get the same answer, so that it reveals nothing. */
function failToken(): Failure {
  return createFailure("not_found", {
    verdict: "may_have_run",
    message: "there is no such stream for this account",
  });
}
