/**
 * Reads the token stream of a model engine and checks that it is complete.
 *
 * Wire format, server-sent events: `start` with
 * `{"request_id":…,"stage":…,"attempt":…,"stream_id":…}`; `token` with the
 * sequence number as id and `{"text":…}`; `end` with `{"count":…}`. Sequence
 * numbers count from 0 without gaps.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Failure } from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import { echoSchema } from "@mangoreach/endpoints";
import type { HttpStreamReply, ServerSentEvent } from "@mangoreach/shared";
import {
  createServerSentEventParser,
  isTokenStreamTooLong,
  parseBoundedJson,
} from "@mangoreach/shared";
import * as z from "zod";

/** One token of a stream. */
export interface Token {
  sequence: number;
  text: string;
}

/** An event of a generation; the last one is `end` or `broken`. */
export type GenerationEvent =
  | { kind: "start"; streamId: string; echo: z.infer<typeof echoSchema> }
  | { kind: "tokens"; tokens: Token[] }
  | { kind: "end"; count: number }
  | { kind: "broken"; failure: Failure };

const startSchema = echoSchema.extend({ stream_id: z.string().min(1) });
const tokenSchema = z.object({ text: z.string() });
const endSchema = z.object({ count: z.number().int().min(0) });

/** Reads a generation from the token with sequence number `next` on. */
export async function* readGeneration(
  reply: HttpStreamReply,
  { peer, next }: { peer: string; next: number },
): AsyncGenerator<GenerationEvent> {
  const parser = createServerSentEventParser();
  const decoder = new TextDecoder();
  let expected = next;
  let textLength = 0;
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) {
      const parsed = parser.parse(decoder.decode(chunk, { stream: true }));
      if (parsed === "too_large") {
        yield createBrokenEvent(peer, "an event is too large");
        return;
      }
      const batch = parseBatch(parsed, expected);
      expected += batch.tokens.length;
      textLength += sumTextLength(batch.tokens);
      if (isTokenStreamTooLong({ tokens: expected, textLength })) {
        yield createBrokenEvent(peer, "the stream is too long");
        return;
      }
      if (batch.start !== undefined) yield batch.start;
      if (batch.tokens.length > 0) {
        yield { kind: "tokens", tokens: batch.tokens };
      }
      if (batch.fault !== undefined) {
        yield createBrokenEvent(peer, batch.fault);
        return;
      }
      if (batch.end !== undefined) {
        yield batch.end;
        return;
      }
    }
    yield createBrokenEvent(peer, "the stream ended without its end event");
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    yield createBrokenEvent(peer, `the stream broke: ${message}`);
  } finally {
    reply.body.destroy();
  }
}

interface Batch {
  start?: GenerationEvent & { kind: "start" };
  tokens: Token[];
  end?: GenerationEvent & { kind: "end" };
  fault?: string;
}

function parseBatch(
  events: readonly ServerSentEvent[],
  firstExpected: number,
): Batch {
  const batch: Batch = { tokens: [] };
  let expected = firstExpected;
  for (const event of events) {
    const data = parseBoundedJson(event.data);
    if (event.event === "token") {
      const token = tokenSchema.safeParse(data);
      if (!token.success || Number(event.id) !== expected) {
        return { ...batch, fault: `token ${expected} is missing or malformed` };
      }
      batch.tokens.push({ sequence: expected++, text: token.data.text });
    } else if (event.event === "start") {
      const start = startSchema.safeParse(data);
      if (!start.success) return { ...batch, fault: "malformed start" };
      const { stream_id: streamId, ...echo } = start.data;
      batch.start = { kind: "start", streamId, echo };
    } else if (event.event === "end") {
      const end = endSchema.safeParse(data);
      if (!end.success || end.data.count !== expected) {
        return { ...batch, fault: `the end does not match ${expected} tokens` };
      }
      batch.end = { kind: "end", count: end.data.count };
      return batch;
    } else {
      return { ...batch, fault: `unknown event ${event.event}` };
    }
  }
  return batch;
}

function sumTextLength(tokens: readonly Token[]): number {
  return tokens.reduce((sum, { text }) => sum + text.length, 0);
}

function createBrokenEvent(peer: string, message: string): GenerationEvent {
  return {
    kind: "broken",
    failure: createFailure("bad_reply", {
      verdict: "may_have_run",
      message: `${peer}: ${message}`,
    }),
  };
}
