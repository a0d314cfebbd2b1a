/**
 * HTTP calls with a typed outcome, which includes whether the server can have
 * received the call. Calls on connections that are reused are made by undici.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import { Readable as NodeReadable } from "node:stream";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import type { Clock, Millis } from "./clock.ts";
import type { BodyDelimiter } from "./answer_head.ts";
import { readAnswerHead } from "./answer_head.ts";
import { classifyAnswerError, createMalformedFault } from "./answer_fault.ts";
import type { AnswerMeter } from "./answer_meter.ts";
import type { MalformedAnswer } from "./answer_recorder.ts";
import type { Connect, ConnectFailure } from "./connection.ts";
import { openConnection } from "./connection.ts";
import type { HeldBytes } from "./held_bytes.ts";
import { parseBoundedJson } from "./bounded_json.ts";
import { createBodyCollector } from "./connections/body_collector.ts";
import { AnswerLimitError } from "./answers/answer_input.ts";
import { createPersistentConnections } from "./persistent_connections.ts";
import { sendSingleUseCall } from "./single_use_call.ts";
import { TIMED_OUT } from "./timeout.ts";

/** Why a call has no usable answer. */
export type HttpFaultKind =
  /** No connection: the call was never sent. */
  | "unreachable"
  /** A connection, but the call was no longer wanted when it was open. */
  | "withheld"
  /** Aborted by this side. */
  | "aborted"
  /** The connection ended before the answer was complete. */
  | "cut"
  /** What came is no HTTP/1 response. */
  | "malformed"
  /** The answer is larger than allowed. */
  | "too_large";

/** A call without a usable answer. */
export interface HttpFault {
  kind: HttpFaultKind;
  /** Whether any byte of the call can have reached the server. */
  sent: "no" | "maybe";
  message: string;
  /** Set if the connection was not opened, where that is known. */
  connectFailure?: Extract<ConnectFailure, "refused" | "silent">;
}

/** Headers by lower-case name; a repeated header has several values. */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** A buffered answer. */
export interface HttpReply {
  status: number;
  headers: HttpHeaders;
  text: string;
  delimiter: BodyDelimiter;
}

/** An answer whose body is read by the caller. */
export interface HttpStreamReply {
  status: number;
  headers: HttpHeaders;
  body: Readable;
  delimiter: BodyDelimiter;
}

/** One call. */
export interface HttpCall {
  method: string;
  /** `ip:port`. */
  address: string;
  path: string;
  /** By name, or as alternating names and values. */
  headers?: Record<string, string> | string[];
  /**
   * Creates further names and values once the connection is open, which may
   * take a second. Only for connections that are not reused.
   */
  createLateHeaders?: () => string[];
  /**
   * Whether it is still to be sent once the connection is open. Only for
   * connections that are not reused.
   */
  maySend?: () => boolean;
  body?: string | Buffer;
  signal?: AbortSignal;
}

/** One call whose answer is buffered. */
export interface BufferedCall extends HttpCall {
  /**
   * Whether the body of an answer with this status is read; by default of all.
   * What breaks off in a body that is not read is no fault.
   */
  readsBody?: (status: number) => boolean;
}

/** Options of {@linkcode createHttpClient}. */
export interface HttpClientOptions {
  /** Maximum size of an answer, in bytes; larger ones are faults. */
  maxReplyBytes: number;
  connectTimeoutMs: Millis;
  /**
   * Whether a connection is reused. A connection for a single call cannot
   * deliver a late or duplicate answer to the next call. On one that is kept,
   * undici takes a reset for the end of a body that only the connection
   * delimits, so that the content has to show its end.
   */
  connections: "kept" | "single";
  /** Opens connections; direct ones if left out. */
  connect: Connect;
  /** Bounds the answers that this process holds, of all clients together. */
  heldBytes: HeldBytes;
  /** Called for each answer whose head is malformed. */
  onMalformed: ((answer: MalformedAnswer) => void) | undefined;
  /** Counts what answers cost. */
  meter: AnswerMeter | undefined;
}

/** An HTTP client. */
export interface HttpClient {
  call(call: BufferedCall): Promise<Result<HttpReply, HttpFault>>;
  callStream(call: HttpCall): Promise<Result<HttpStreamReply, HttpFault>>;
  close(): Promise<void>;
}

const KEEP_ALIVE: Millis = 4_000;
/** Codes of errors while connecting; nothing is written before that succeeds. */
const NOT_CONNECTED_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";
const DEFAULT_MAX_REPLY_BYTES = 4_194_304;
const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000;

/** Creates a client; use one for each kind of server. */
export function createHttpClient(
  {
    maxReplyBytes = DEFAULT_MAX_REPLY_BYTES,
    connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT,
    connections = "kept",
    connect,
    heldBytes,
    onMalformed,
    meter,
  }: Partial<HttpClientOptions> = {},
): HttpClient {
  const kept = createPersistentConnections({
    keepAlive: KEEP_ALIVE,
    connectTimeout: connectTimeoutMs,
    ...(connect === undefined ? {} : { connect }),
    meter,
  });

  async function callStream(
    call: HttpCall,
  ): Promise<Result<HttpStreamReply, HttpFault>> {
    const reply = await sendCall(call);
    if (reply.isErr && reply.error.kind === "malformed") {
      onMalformed?.({ address: call.address, reason: reply.error.message });
    }
    return reply;
  }

  async function sendCall(
    call: HttpCall,
  ): Promise<Result<HttpStreamReply, HttpFault>> {
    if (call.signal?.aborted) {
      return Result.err({ kind: "aborted", sent: "no", message: "given up" });
    }
    if (connections === "single") {
      return await sendSingleUseCall(call, {
        connect: connect ?? openConnection,
        connectTimeout: connectTimeoutMs,
        meter,
      });
    }
    try {
      const { statusCode, headers, body } = await kept.getPool(call.address)
        .request(createRequestOptions(call));
      const head = readAnswerHead({
        method: call.method,
        status: statusCode,
        headers,
      });
      if (head.isErr) {
        // Also closes the connection, as its next bytes are no answer either.
        discardBody(body);
        return Result.err(createMalformedFault(head.error));
      }
      const delimiter = head.value;
      return Result.ok({ status: statusCode, headers, body, delimiter });
    } catch (error) {
      if (call.signal?.reason === TIMED_OUT) kept.discard(call.address);
      return Result.err(classifyError(error, call.signal));
    }
  }

  async function call(
    { readsBody = () => true, ...options }: BufferedCall,
  ): Promise<Result<HttpReply, HttpFault>> {
    const reply = await callStream(options);
    if (reply.isErr) return Result.err(reply.error);
    const { status, headers, body, delimiter } = reply.value;
    if (!readsBody(status)) {
      discardBody(body);
      return Result.ok({ status, headers, text: "", delimiter });
    }
    const text = await readText(body, {
      maxReplyBytes,
      signal: options.signal,
      heldBytes,
    });
    return text.map((complete) => ({
      status,
      headers,
      text: complete,
      delimiter,
    }));
  }

  return { call, callStream, close: kept.close };
}

/** Destroys an unread body; the error event that this causes is ignored. */
export function discardBody(body: Readable): void {
  body.on("error", () => {});
  body.destroy();
}

function createRequestOptions(
  { address, path, method, headers, body, signal }: HttpCall,
) {
  return {
    origin: `http://${address}`,
    path,
    method: method as Dispatcher.HttpMethod,
    headers: headers ?? {},
    body: body ?? null,
    signal: signal ?? null,
  };
}

/** Why a body was not read to its end. */
export type BodyFault =
  /** It was truncated, or this side gave it up. */
  | "cut"
  /** It costs more than allowed, or this process holds too much. */
  | "too_large"
  /** It trickles and may have no end. */
  | "trickling";

/** Options of {@linkcode readLimitedBody}. */
export interface BodyOptions {
  /** Maximum size in bytes. */
  limit: number;
  /** Bounds what this process holds; not bounded if left out. */
  heldBytes?: HeldBytes | undefined;
  /** Tells whether the body trickles; not asked if left out. */
  clock?: Clock | undefined;
}

/** A body that is held until it is released. */
export interface LimitedBody {
  bytes: Buffer;
  release(): void;
}

/** A body that comes in more pieces than this may trickle. */
const MAX_PIECES = 64;
/** Whoever sends that many does so within this time, */
const TRICKLE_TIME: Millis = 2_000;
/** or at this rate in bytes per second. */
const MIN_BODY_RATE = 1_024;

/**
 * Reads a complete body. Closes the connection at once if it is not an answer's.
 * Listens to the stream itself, as iterating over it takes several promises for
 * each chunk.
 */
export function readLimitedBody(
  body: Readable,
  { limit, heldBytes, clock }: BodyOptions,
): Promise<Result<LimitedBody, { fault: BodyFault; error?: Error }>> {
  return new Promise((resolve) => {
    const collector = createBodyCollector();
    let length = 0;
    let pieces = 0;
    let hasEnded = false;
    const startedAt = clock?.now() ?? 0;
    const part = heldBytes?.open(() => fail("too_large"));

    function fail(fault: BodyFault, error?: Error): void {
      part?.release();
      collector.clear();
      resolve(Result.err({ fault, ...(error === undefined ? {} : { error }) }));
      body.destroy();
    }

    function isTrickling(): boolean {
      if (clock === undefined || pieces <= MAX_PIECES) return false;
      const elapsed = clock.now() - startedAt;
      return elapsed > TRICKLE_TIME && 1_000 * length / elapsed < MIN_BODY_RATE;
    }

    body.on("data", (chunk: Buffer) => {
      if (body.destroyed) return;
      length += chunk.length;
      if (length > limit) return fail("too_large");
      pieces++;
      const taken = collector.add(chunk);
      if (taken > 0) part?.add(taken);
      if (isTrickling()) fail("trickling");
    });
    body.once("end", () => {
      hasEnded = true;
      part?.keep();
      const bytes = collector.join();
      collector.clear();
      resolve(Result.ok({ bytes, release: () => part?.release() }));
    });
    body.on("error", (error) => {
      fail(error instanceof AnswerLimitError ? "too_large" : "cut", error);
    });
    // Destroyed before its end, possibly before this call.
    const onClose = () => {
      if (!hasEnded) fail("cut", new Error("the body was cut"));
    };
    body.once("close", onClose);
    if (body.destroyed) onClose();
  });
}

/** Reads a complete body; undefined if it is truncated or too large. */
export async function readBodyBytes(
  body: AsyncIterable<Buffer>,
  limit: number,
): Promise<Buffer | undefined> {
  const stream = body instanceof NodeReadable ? body : NodeReadable.from(body);
  // Whether it was truncated or aborted, the body is not complete.
  const read = await readLimitedBody(stream, { limit });
  return read.isOk ? read.value.bytes : undefined;
}

async function readText(
  body: Readable,
  { maxReplyBytes, signal, heldBytes }: {
    maxReplyBytes: number;
    signal: AbortSignal | undefined;
    heldBytes: HeldBytes | undefined;
  },
): Promise<Result<string, HttpFault>> {
  const read = await readLimitedBody(body, { limit: maxReplyBytes, heldBytes });
  if (read.isOk) {
    read.value.release();
    // Text is decoded by TextDecoder, which removes a byte order mark.
    return Result.ok(new TextDecoder().decode(read.value.bytes));
  }
  const { fault, error } = read.error;
  if (fault !== "too_large") {
    return Result.err({ ...classifyError(error, signal), sent: "maybe" });
  }
  return Result.err({
    kind: "too_large",
    sent: "maybe",
    message:
      `the answer is larger than ${maxReplyBytes} bytes, or too many are`,
  });
}

function classifyError(
  error: unknown,
  signal: AbortSignal | undefined,
): HttpFault {
  const fault = classifyAnswerError(error, signal);
  if (fault.kind === "aborted") return fault;
  const code = readErrorCode(error);
  // Otherwise the call may have been sent before the connection was reset.
  return code === CONNECT_TIMEOUT_CODE || isConnectError(error, code)
    ? { kind: "unreachable", sent: "no", message: fault.message }
    : fault;
}

/** The same codes occur on established connections, from a read or a write. */
function isConnectError(error: unknown, code: string): boolean {
  return NOT_CONNECTED_CODES.has(code) && error instanceof Error &&
    "syscall" in error && error.syscall === "connect";
}

function readErrorCode(error: unknown): string {
  if (!(error instanceof Error) || !("code" in error)) return "";
  return String(error.code);
}

/**
 * Whether an answer of JSON has broken off. Only its content shows where an
 * answer ends that its connection delimits: a process that ends closes its
 * connections in an orderly way too.
 */
export function hasJsonBrokenOff(reply: HttpReply): boolean {
  return reply.delimiter === "connection" && readReplyJson(reply) === undefined;
}

/** Parses the JSON body of an answer; undefined if it is malformed. */
export function readReplyJson(reply: HttpReply): unknown {
  return parseBoundedJson(reply.text);
}
