/**
 * HTTP calls by undici with a typed outcome, which includes whether the server
 * can have received the call.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Buffer as NodeBuffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { Readable as NodeReadable } from "node:stream";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import { buildConnector, Client } from "undici";
import type { Millis } from "./clock.ts";
import { parseJson } from "./http_server.ts";
import { createPersistentConnections } from "./persistent_connections.ts";
import { TIMED_OUT } from "./timeout.ts";

/** Why a call has no usable answer. */
export type HttpFaultKind =
  /** No connection: the call was never sent. */
  | "unreachable"
  /** Aborted by this side. */
  | "aborted"
  /** The connection ended before the answer was complete. */
  | "cut"
  /** The answer is larger than allowed. */
  | "too_large";

/** A call without a usable answer. */
export interface HttpFault {
  kind: HttpFaultKind;
  /** Whether any byte of the call can have reached the server. */
  sent: "no" | "maybe";
  message: string;
}

/** Headers by lower-case name, as undici returns them. */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** A buffered answer. */
export interface HttpReply {
  status: number;
  headers: HttpHeaders;
  text: string;
}

/** An answer whose body is read by the caller. */
export interface HttpStreamReply {
  status: number;
  headers: HttpHeaders;
  body: Readable;
}

/** One call. */
export interface HttpCall {
  method: string;
  /** `ip:port`. */
  address: string;
  path: string;
  /** By name, or as alternating names and values. */
  headers?: Record<string, string> | string[];
  body?: string | Buffer;
  signal?: AbortSignal;
}

/** Options of {@linkcode createHttpClient}. */
export interface HttpClientOptions {
  /** Maximum size of an answer, in bytes; larger ones are faults. */
  maxReplyBytes: number;
  connectTimeoutMs: Millis;
  /**
   * Whether a connection is reused. A connection for a single call cannot
   * deliver a late or duplicate answer to the next call.
   */
  connections: "kept" | "single";
}

/** An HTTP client. */
export interface HttpClient {
  call(call: HttpCall): Promise<Result<HttpReply, HttpFault>>;
  callStream(call: HttpCall): Promise<Result<HttpStreamReply, HttpFault>>;
  close(): Promise<void>;
}

/** An empty line between requests, which servers ignore. */
const PROBE = "\r\n";
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
  }: Partial<HttpClientOptions> = {},
): HttpClient {
  const kept = createPersistentConnections({
    keepAlive: KEEP_ALIVE,
    connectTimeout: connectTimeoutMs,
  });

  async function callStream(
    call: HttpCall,
  ): Promise<Result<HttpStreamReply, HttpFault>> {
    if (call.signal?.aborted) {
      return Result.err({ kind: "aborted", sent: "no", message: "given up" });
    }
    const singleUse = connections === "single"
      ? createSingleUseConnection(call.address, connectTimeoutMs)
      : undefined;
    try {
      const dispatcher: Dispatcher = singleUse?.dispatcher ??
        kept.getPool(call.address);
      const { statusCode, headers, body } = await dispatcher.request(
        createRequestOptions(call),
      );
      return Result.ok({
        status: statusCode,
        headers,
        body: singleUse === undefined ? body : singleUse.wrapBody(body),
      });
    } catch (error) {
      void singleUse?.dispatcher.destroy();
      if (call.signal?.reason === TIMED_OUT) kept.discard(call.address);
      return Result.err(classifyError(error, call.signal));
    }
  }

  async function call(
    options: HttpCall,
  ): Promise<Result<HttpReply, HttpFault>> {
    const reply = await callStream(options);
    if (reply.isErr) return Result.err(reply.error);
    const { status, headers, body } = reply.value;
    const text = await readText(body, {
      maxReplyBytes,
      signal: options.signal,
    });
    return text.map((complete) => ({ status, headers, text: complete }));
  }

  return { call, callStream, close: kept.close };
}

/** A connection for one call, which detects a reset. */
interface SingleUseConnection {
  dispatcher: Client;
  /** Wraps the body so that it fails if the connection was reset. */
  wrapBody(body: Readable): Readable;
}

/**
 * Creates a connection that detects truncated answers. An answer without a
 * length ends with its connection, so after a reset a part of it would look
 * complete. undici treats a reset as the end if the connection is not
 * persistent, and libuv reports a normal end if the reset arrives together
 * with the last bytes. So this listens to the socket before undici does, and
 * when the socket ends it writes two bytes, which succeeds only if the
 * connection was closed normally.
 */
function createSingleUseConnection(
  address: string,
  timeout: Millis,
): SingleUseConnection {
  const connect = buildConnector({ timeout });
  let isReset = false;
  let probe: Promise<void> | undefined;

  function watchSocket(socket: Socket): void {
    // Without this the socket closes its own side and the probe fails.
    socket.allowHalfOpen = true;
    socket.on("error", recordError);
    socket.once("end", () => {
      probe = new Promise((resolve) =>
        socket.write(PROBE, (error) => {
          if (error) recordError(error);
          resolve();
        })
      );
    });
  }

  function recordError(error: Error): void {
    // Errors that undici raises itself, such as for a normal close, come from
    // no system call.
    if ("syscall" in error) isReset = true;
  }

  const dispatcher = new Client(`http://${address}`, {
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(options, callback) {
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        // Absent after a failure, although the types do not say so.
        if (socket) watchSocket(socket);
        callback(...outcome);
      });
    },
  });

  async function* read(body: Readable) {
    try {
      yield* body as AsyncIterable<Buffer>;
      await probe;
      if (isReset) throw new Error("the connection was reset");
    } finally {
      void dispatcher.destroy();
    }
  }

  function wrapBody(body: Readable): Readable {
    const wrapped = NodeReadable.from(read(body), { objectMode: false });
    // If nobody reads the body, the generator and its `finally` never run.
    wrapped.once("close", () => {
      body.on("error", () => {});
      body.destroy();
      void dispatcher.destroy();
    });
    return wrapped;
  }

  return { dispatcher, wrapBody };
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

/** Reads a complete body; undefined if it is truncated or too large. */
export async function readBodyBytes(
  body: AsyncIterable<Buffer>,
  limit: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of body) {
      length += chunk.length;
      if (length > limit) return undefined;
      chunks.push(chunk);
    }
    return NodeBuffer.concat(chunks);
  } catch {
    // Whether it was truncated or aborted, the body is not complete.
    return undefined;
  }
}

async function readText(
  body: Readable,
  { maxReplyBytes, signal }: {
    maxReplyBytes: number;
    signal: AbortSignal | undefined;
  },
): Promise<Result<string, HttpFault>> {
  let text = "";
  let length = 0;
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maxReplyBytes) {
        body.destroy();
        return Result.err({
          kind: "too_large",
          sent: "maybe",
          message: `the answer is larger than ${maxReplyBytes} bytes`,
        });
      }
      text += decoder.decode(chunk, { stream: true });
    }
    return Result.ok(text + decoder.decode());
  } catch (error) {
    const fault = classifyError(error, signal);
    return Result.err({ ...fault, sent: "maybe" });
  }
}

function classifyError(
  error: unknown,
  signal: AbortSignal | undefined,
): HttpFault {
  if (signal?.aborted) {
    return { kind: "aborted", sent: "maybe", message: "given up" };
  }
  const code = readErrorCode(error);
  const message = error instanceof Error ? error.message : String(error);
  if (code === CONNECT_TIMEOUT_CODE || isConnectError(error, code)) {
    return { kind: "unreachable", sent: "no", message };
  }
  // The call may have been sent before the connection was reset.
  return { kind: "cut", sent: "maybe", message };
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

/** Parses the JSON body of an answer; undefined if it is malformed. */
export function readReplyJson(reply: HttpReply): unknown {
  return parseJson(reply.text);
}
