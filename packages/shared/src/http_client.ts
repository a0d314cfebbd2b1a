/**
 * HTTP calls by undici with a typed outcome that says whether the call can
 * have reached the other side.
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

/** Why a call got no usable answer. */
export type HttpFaultKind =
  /** No connection: the call was never sent. */
  | "unreachable"
  /** Given up by this side. */
  | "aborted"
  /** The connection ended before the whole answer was there. */
  | "cut"
  /** The answer is larger than allowed. */
  | "too_large";

/** A call without a usable answer. */
export interface HttpFault {
  kind: HttpFaultKind;
  /** Whether any byte of the call can have reached the other side. */
  sent: "no" | "maybe";
  message: string;
}

/** Headers by lower-case name, as undici gives them. */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** A whole answer. */
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
  /** By name, or names and values in turn. */
  headers?: Record<string, string> | string[];
  body?: string | Buffer;
  signal?: AbortSignal;
}

/** Options of {@linkcode createHttpClient}. */
export interface HttpClientOptions {
  /** Answers larger than this are a fault, in bytes. */
  maxReplyBytes: number;
  connectTimeoutMs: Millis;
  /**
   * Whether connections serve more than one call. One that serves a single call
   * cannot hand a late or doubled answer to the next.
   */
  connections: "kept" | "single";
}

/** Makes calls. */
export interface HttpClient {
  call(call: HttpCall): Promise<Result<HttpReply, HttpFault>>;
  callStream(call: HttpCall): Promise<Result<HttpStreamReply, HttpFault>>;
  close(): Promise<void>;
}

/** An empty line between requests, which servers pass over. */
const PROBE = "\r\n";
const KEEP_ALIVE: Millis = 4_000;
/** Error codes that are raised before anything is written. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);
const DEFAULT_MAX_REPLY_BYTES = 4_194_304;
const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000;

/** Creates a client; one for each kind of peer. */
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
    const link = connections === "single"
      ? createSingleUseConnection(call.address, connectTimeoutMs)
      : undefined;
    try {
      const dispatcher: Dispatcher = link?.dispatcher ??
        kept.getPool(call.address);
      const { statusCode, headers, body } = await dispatcher.request(
        createRequestOptions(call),
      );
      return Result.ok({
        status: statusCode,
        headers,
        body: link === undefined ? body : link.wrapBody(body),
      });
    } catch (error) {
      void link?.dispatcher.destroy();
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
    return text.map((whole) => ({ status, headers, text: whole }));
  }

  return { call, callStream, close: kept.close };
}

/** A connection for one call, which knows how it ended. */
interface SingleUseConnection {
  dispatcher: Client;
  /** The body, which fails if the connection was reset. */
  wrapBody(body: Readable): Readable;
}

/**
 * An answer without a length ends with its connection, and half of it would look
 * whole after a reset. undici takes a reset for the end where the connection is
 * not to be kept; and libuv tells a plain end if the reset is there with the
 * last bytes. So the socket is watched from before undici sees it, and at its
 * end two bytes are written, which only a connection that was closed in order
 * still takes.
 */
function createSingleUseConnection(
  address: string,
  timeout: Millis,
): SingleUseConnection {
  const connect = buildConnector({ timeout });
  let isReset = false;
  let probe: Promise<void> | undefined;

  function watchSocket(socket: Socket): void {
    // Or the socket's own end would refuse the probe.
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
    // undici's own errors, such as for a plain close, come from no call of the
    // system.
    if ("syscall" in error) isReset = true;
  }

  const dispatcher = new Client(`http://${address}`, {
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(options, callback) {
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        // Absent after a failure, whatever the types say.
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
    const guarded = NodeReadable.from(read(body), { objectMode: false });
    // A body that nobody begins to read never enters the generator.
    guarded.once("close", () => {
      body.on("error", () => {});
      body.destroy();
      void dispatcher.destroy();
    });
    return guarded;
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

/** Reads a body to its end; undefined when it broke off or is too large. */
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
    // Whether it broke off or was given up, there is no whole body.
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
  if (NOT_SENT_CODES.has(code)) {
    return { kind: "unreachable", sent: "no", message };
  }
  // A reset connection may have carried the call before it broke.
  return { kind: "cut", sent: "maybe", message };
}

function readErrorCode(error: unknown): string {
  if (!(error instanceof Error) || !("code" in error)) return "";
  return String(error.code);
}

/** Parses the JSON body of an answer; undefined when it is malformed. */
export function readReplyJson(reply: HttpReply): unknown {
  return parseJson(reply.text);
}
