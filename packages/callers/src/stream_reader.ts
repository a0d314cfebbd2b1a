/**
 * Reads a streamed response of an entry and checks that it is complete:
 * sequence numbers without gaps and an end event with the right token count.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { HttpStreamReply, ServerSentEvent } from "@mangoreach/shared";
import {
  createServerSentEventParser,
  isTokenStreamTooLong,
  parseBoundedJson,
} from "@mangoreach/shared";
import {
  parseFailure,
  streamEndSchema,
  streamStartSchema,
  streamTokenSchema,
} from "./caller_protocol.ts";

/** What has been received of a streamed response, over all connections. */
export interface StreamProgress {
  requestId: string;
  resumeToken: string | undefined;
  tokens: string[];
  /** Of all tokens, in UTF-16 code units. */
  textLength: number;
}

/** How reading from one connection ended. */
export type StreamEnd =
  | { kind: "done" }
  /** The entry reported a final failure. */
  | { kind: "failed"; failure: Failure }
  /** The connection broke or the stream was invalid; it can be resumed. */
  | { kind: "cut"; message: string };

/** Options of {@linkcode readCallerStream}. */
export interface ReadStreamOptions {
  progress: StreamProgress;
  onToken: (token: string, sequence: number) => void;
}

/** Appends the events of one connection to `progress`. */
export async function readCallerStream(
  reply: HttpStreamReply,
  { progress, onToken }: ReadStreamOptions,
): Promise<StreamEnd> {
  const parser = createServerSentEventParser();
  const decoder = new TextDecoder();
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) {
      const events = parser.parse(decoder.decode(chunk, { stream: true }));
      if (events === "too_large") return createCut("an event is too large");
      for (const event of events) {
        const end = applyEvent(event, { progress, onToken });
        if (end !== undefined) return end;
      }
    }
    return createCut("the connection closed before the end of the stream");
  } catch (error) {
    return createCut(error instanceof Error ? error.message : String(error));
  } finally {
    reply.body.destroy();
  }
}

function applyEvent(
  event: ServerSentEvent,
  { progress, onToken }: ReadStreamOptions,
): StreamEnd | undefined {
  const data = parseBoundedJson(event.data);
  switch (event.event) {
    case "start": {
      const start = streamStartSchema.safeParse(data);
      if (!start.success) return createCut("malformed start");
      if (start.data.request_id !== progress.requestId) {
        return createMismatchFailure(start.data.request_id);
      }
      progress.resumeToken = start.data.resume_token;
      return undefined;
    }
    case "token": {
      const token = streamTokenSchema.safeParse(data);
      const sequence = Number(event.id);
      if (!token.success || sequence !== progress.tokens.length) {
        return createCut(
          `token ${progress.tokens.length} is missing or malformed`,
        );
      }
      progress.textLength += token.data.text.length;
      const { textLength } = progress;
      if (isTokenStreamTooLong({ tokens: sequence + 1, textLength })) {
        return createTooLongFailure();
      }
      progress.tokens.push(token.data.text);
      onToken(token.data.text, sequence);
      return undefined;
    }
    case "end": {
      const end = streamEndSchema.safeParse(data);
      const isDone = end.success &&
        end.data.count === progress.tokens.length;
      return isDone
        ? { kind: "done" }
        : createCut("malformed end or wrong token count");
    }
    case "failed":
      return { kind: "failed", failure: parseFailure(data, 200) };
    default:
      return undefined;
  }
}

function createCut(message: string): StreamEnd {
  return { kind: "cut", message };
}

/** The stream is not resumed: it would have no end at another entry either. */
function createTooLongFailure(): StreamEnd {
  const failure = createFailure("bad_reply", {
    verdict: "may_have_run",
    message: "the stream is longer than any response",
  });
  return { kind: "failed", failure };
}

function createMismatchFailure(requestId: string): StreamEnd {
  const failure = createFailure("bad_reply", {
    verdict: "may_have_run",
    message: `the answer belongs to request ${requestId}`,
  });
  return { kind: "failed", failure };
}
