/**
 * Client of model engines: generate, resume and cancel, load reports and cache
 * events.
 *
 * @module
 */
import type {
  CacheEvent,
  EndpointInfo,
  Failure,
  LoadReport,
} from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { CallIdentity, OnAnswer } from "@mangoreach/endpoints";
import {
  createReplyFailure,
  ENDPOINT_HEADERS,
  formatEcho,
  isEchoOf,
} from "@mangoreach/endpoints";
import type {
  AnswerMeter,
  Clock,
  HttpCall,
  HttpClient,
  HttpReply,
  MalformedAnswer,
  Millis,
} from "@mangoreach/shared";
import {
  createHttpClient,
  createListSchema,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import * as z from "zod";
import type { GenerationEvent } from "./generation.ts";
import { readGeneration } from "./generation.ts";

/** A request to generate. */
export interface GenerateCall extends CallIdentity {
  endpoint: EndpointInfo;
  model: string;
  prompt: string;
  /** The part of the prompt that many requests share. */
  prefix: string;
  maxTokens: number;
  /** 1 is the highest; engines order their own queue by it. */
  priority: number;
  /**
   * How long the engine keeps generating without a reader, so that the stream
   * can be resumed.
   */
  lingerMs: Millis;
  causalTime: string;
  signal: AbortSignal;
}

/** The position at which a generation is resumed. */
export interface ResumeCall {
  endpoint: EndpointInfo;
  streamId: string;
  /** Sequence number of the first token that has not been received. */
  next: number;
  signal: AbortSignal;
}

/** Options of {@linkcode createEngineClient}. */
export interface EngineClientOptions {
  clock: Clock;
  onAnswer: OnAnswer;
  /** Called when a response is dropped because it belongs to another call. */
  onDropped: (call: CallIdentity) => void;
  /** Called for each answer whose head is malformed. */
  onMalformed?: ((answer: MalformedAnswer) => void) | undefined;
  /** Counts what answers cost. */
  meter?: AnswerMeter | undefined;
  /** Time-out of load reports, cache events and cancels. */
  timeoutMs: Millis;
}

/** Client of all model engines of a site. */
export interface EngineClient {
  /** Starts a generation; its last event is `end` or `broken`. */
  generate(call: GenerateCall): AsyncGenerator<GenerationEvent>;
  /** Resumes a generation at a token; another entry may have started it. */
  resume(call: ResumeCall): AsyncGenerator<GenerationEvent>;
  /** Stops a generation whose result is no longer needed. */
  cancel(endpoint: EndpointInfo, streamId: string): Promise<void>;
  readLoad(endpoint: EndpointInfo): Promise<Result<LoadReport, Failure>>;
  readCacheEvents(
    endpoint: EndpointInfo,
    after: number,
  ): Promise<Result<CacheEvent[], Failure>>;
  close(): Promise<void>;
}

const loadSchema = z.object({
  running: z.number().min(0),
  queued: z.number().min(0),
  slots: z.number().min(1),
  /** Age of the measurement, in milliseconds. */
  age_ms: z.number().min(0),
});

const cacheEventsSchema = z.object({
  events: createListSchema(z.object({
    sequence: z.number().int().min(0),
    kind: z.enum(["stored", "evicted"]),
    prefix: z.string(),
  })),
});

const OK = 200;

/** Creates the client. */
export function createEngineClient(
  { clock, onAnswer, onDropped, onMalformed, meter, timeoutMs }:
    EngineClientOptions,
): EngineClient {
  const http = createHttpClient({ onMalformed, meter });

  async function* generate(
    call: GenerateCall,
  ): AsyncGenerator<GenerationEvent> {
    const { endpoint } = call;
    const opened = await openStream(http, {
      clock,
      endpoint,
      onAnswer,
      call: {
        method: "POST",
        address: endpoint.address,
        path: "/generate",
        headers: {
          "content-type": "application/json",
          [ENDPOINT_HEADERS.causalTime]: call.causalTime,
        },
        body: formatGenerateBody(call),
        signal: call.signal,
      },
    });
    if (opened.isErr) return yield { kind: "broken", failure: opened.error };
    const events = readGeneration(opened.value, { peer: endpoint.id, next: 0 });
    for await (const event of events) {
      if (event.kind === "start" && !isEchoOf(event.echo, call)) {
        onDropped(call);
        return yield {
          kind: "broken",
          failure: createMismatchFailure(endpoint),
        };
      }
      yield event;
    }
  }

  async function* resume(
    { endpoint, streamId, next, signal }: ResumeCall,
  ): AsyncGenerator<GenerationEvent> {
    const opened = await openStream(http, {
      clock,
      endpoint,
      onAnswer,
      call: {
        method: "GET",
        address: endpoint.address,
        path: `/streams/${encodeURIComponent(streamId)}?next=${next}`,
        signal,
      },
    });
    if (opened.isErr) return yield { kind: "broken", failure: opened.error };
    yield* readGeneration(opened.value, { peer: endpoint.id, next });
  }

  async function cancel(
    endpoint: EndpointInfo,
    streamId: string,
  ): Promise<void> {
    await callWithTimeout({
      method: "DELETE",
      address: endpoint.address,
      path: `/streams/${encodeURIComponent(streamId)}`,
    });
  }

  async function callWithTimeout(
    call: HttpCall,
  ): Promise<Result<HttpReply, Failure>> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({ ...call, signal: timeout.signal });
    timeout.stop();
    return reply.mapErr((fault) => createCallFailure(call.address, fault));
  }

  async function readLoad(
    endpoint: EndpointInfo,
  ): Promise<Result<LoadReport, Failure>> {
    const sentAt = clock.now();
    const reply = await callWithTimeout({
      method: "GET",
      address: endpoint.address,
      path: "/load",
    });
    if (reply.isErr) return Result.err(reply.error);
    onAnswer({ endpoint, headers: reply.value.headers, sentAt });
    const load = loadSchema.safeParse(readReplyJson(reply.value));
    if (!load.success) return Result.err(createMalformedFailure(endpoint));
    const { age_ms: age, ...counts } = load.data;
    return Result.ok({ ...counts, takenAt: clock.now() - age });
  }

  async function readCacheEvents(
    endpoint: EndpointInfo,
    after: number,
  ): Promise<Result<CacheEvent[], Failure>> {
    const sentAt = clock.now();
    const reply = await callWithTimeout({
      method: "GET",
      address: endpoint.address,
      path: `/cache_events?after=${after}`,
    });
    if (reply.isErr) return Result.err(reply.error);
    onAnswer({ endpoint, headers: reply.value.headers, sentAt });
    const body = cacheEventsSchema.safeParse(readReplyJson(reply.value));
    if (!body.success) return Result.err(createMalformedFailure(endpoint));
    return Result.ok(body.data.events);
  }

  return {
    generate,
    resume,
    cancel,
    readLoad,
    readCacheEvents,
    close: http.close,
  };
}

async function openStream(
  http: HttpClient,
  { clock, call, endpoint, onAnswer }: {
    clock: Clock;
    call: HttpCall;
    endpoint: EndpointInfo;
    onAnswer: OnAnswer;
  },
) {
  const sentAt = clock.now();
  const opened = await http.callStream(call);
  if (opened.isErr) {
    return Result.err<never, Failure>(
      createCallFailure(endpoint.id, opened.error),
    ) as Result<never, Failure>;
  }
  const { status, headers, body, delimiter } = opened.value;
  onAnswer({ endpoint, headers, sentAt });
  if (status === OK) {
    return Result.ok<typeof opened.value, Failure>(opened.value);
  }
  const text = await readRefusalText(body);
  return Result.err<never, Failure>(
    createReplyFailure(endpoint.id, { status, headers, text, delimiter }),
  );
}

const MAX_REFUSAL_BYTES = 4_096;

async function readRefusalText(body: AsyncIterable<unknown>): Promise<string> {
  let text = "";
  try {
    for await (const chunk of body) {
      text += String(chunk);
      if (text.length > MAX_REFUSAL_BYTES) break;
    }
  } catch {
    // A truncated refusal can't be parsed, so the call counts as "may have
    // run".
    return "";
  }
  return text;
}

function formatGenerateBody(call: GenerateCall): string {
  return JSON.stringify({
    ...formatEcho(call),
    model: call.model,
    prompt: call.prompt,
    prefix: call.prefix,
    max_tokens: call.maxTokens,
    priority: call.priority,
    linger_ms: call.lingerMs,
  });
}

function createMismatchFailure(endpoint: EndpointInfo): Failure {
  return createFailure("bad_reply", {
    verdict: "may_have_run",
    message: `${endpoint.id}: the stream belongs to another request`,
  });
}

function createMalformedFailure(endpoint: EndpointInfo): Failure {
  return createFailure("bad_reply", {
    verdict: "not_run",
    message: `${endpoint.id}: the report is malformed`,
  });
}
