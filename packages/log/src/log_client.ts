/**
 * The client of the platform's log service.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { AnswerMeter, Clock, HttpReply, Millis } from "@mangoreach/shared";
import {
  createHttpClient,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import type * as z from "zod";
import type { AppendAck, LogPage, LogStream } from "./records.ts";
import { appendAckSchema, logPageSchema } from "./records.ts";

/** Options of {@linkcode createLogClient}. */
export interface LogClientOptions {
  clock: Clock;
  /** `ip:port` of the log service. */
  address: string;
  /** Timeout of an append; after it the record may or may not be in the log. */
  appendTimeoutMs: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** Options of {@linkcode LogClient.read}. */
export interface ReadOptions {
  from: number;
  /** How long the log may wait for a record before it answers without one. */
  waitMs: Millis;
  signal: AbortSignal;
}

/** A client of the log service. */
export interface LogClient {
  /**
   * Appends a record. A failure with `may_have_run` means that the record may
   * be in the log, now or later.
   */
  append(stream: LogStream, value: unknown): Promise<
    Result<AppendAck, Failure>
  >;
  read(stream: LogStream, options: ReadOptions): Promise<
    Result<LogPage, Failure>
  >;
  close(): Promise<void>;
}

const CREATED = 201;
const OK = 200;
const NOT_APPENDED = new Set([400, 404, 413, 429, 503]);
/** How much longer than the requested wait a read may take. */
const READ_TIMEOUT_MARGIN: Millis = 2_000;

/** Creates the client; it connects on the first call. */
export function createLogClient(
  { clock, address, appendTimeoutMs, meter }: LogClientOptions,
): LogClient {
  const http = createHttpClient({ meter });

  async function append(
    stream: LogStream,
    value: unknown,
  ): Promise<Result<AppendAck, Failure>> {
    const timeout = startTimeout(clock, appendTimeoutMs);
    const reply = await http.call({
      method: "POST",
      address,
      path: `/streams/${stream}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(value),
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr) return Result.err(createCallFailure("log", reply.error));
    if (reply.value.status === CREATED) {
      return parseReply(appendAckSchema, reply.value);
    }
    return Result.err(createFailure("unavailable", {
      verdict: NOT_APPENDED.has(reply.value.status)
        ? "not_run"
        : "may_have_run",
      message: `log: append answered ${reply.value.status}`,
    }));
  }

  async function read(
    stream: LogStream,
    { from, waitMs, signal }: ReadOptions,
  ): Promise<Result<LogPage, Failure>> {
    const timeout = startTimeout(clock, waitMs + READ_TIMEOUT_MARGIN);
    const reply = await http.call({
      method: "GET",
      address,
      path: `/streams/${stream}?from=${from}&wait_ms=${waitMs}`,
      signal: AbortSignal.any([signal, timeout.signal]),
    });
    timeout.stop();
    if (reply.isErr) return Result.err(createCallFailure("log", reply.error));
    if (reply.value.status === OK) {
      return parseReply(logPageSchema, reply.value);
    }
    return Result.err(createFailure("unavailable", {
      verdict: "not_run",
      message: `log: read answered ${reply.value.status}`,
    }));
  }

  return { append, read, close: http.close };
}

function parseReply<T>(
  schema: z.ZodType<T>,
  reply: HttpReply,
): Result<T, Failure> {
  const checked = schema.safeParse(readReplyJson(reply));
  if (checked.success) return Result.ok(checked.data);
  return Result.err(createFailure("bad_reply", {
    verdict: "may_have_run",
    message: "log: the answer is malformed",
  }));
}
