/**
 * HTTP calls that each use a connection of their own, by node:http.
 *
 * An undici client for each connection costs more: its WebAssembly parser and
 * its set-up run interpreted in a process that makes only a few calls per second.
 *
 * @module
 */
import { Buffer as NodeBuffer } from "node:buffer";
import type { ClientRequest, IncomingMessage } from "node:http";
import { request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { Readable as NodeReadable } from "node:stream";
import { Result } from "true-myth";
import type { Millis } from "./clock.ts";
import { classifyAnswerError, createMalformedFault } from "./answer_fault.ts";
import { readAnswerHead } from "./answer_head.ts";
import type { Connect, ConnectFault } from "./connection.ts";
import { confirmEnd, probeEnd } from "./connection.ts";
import type {
  HttpCall,
  HttpFault,
  HttpHeaders,
  HttpStreamReply,
} from "./http_client.ts";
import type { AnswerMeter } from "./answer_meter.ts";
import { createAnswerFraming } from "./answers/answer_framing.ts";
import { openMeteredInput } from "./answers/answer_input.ts";
import { watchHead } from "./head_guard.ts";
import { endWithBody } from "./message_body.ts";

/** Methods whose requests announce an empty body. */
const METHODS_WITH_BODY = new Set(["POST", "PUT", "PATCH"]);

/** A connection and what is known about its end. */
interface WatchedSocket {
  socket: Socket;
  /** Whether a system call failed, as after a reset. */
  isReset: boolean;
  /** Set when the connection ended; whether it did so in order. */
  probe: Promise<boolean> | undefined;
}

/** Options of {@linkcode sendSingleUseCall}. */
export interface SingleUseCallOptions {
  connect: Connect;
  connectTimeout: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/**
 * Sends a call on a new connection, which is never reused; resolves with the
 * head of the answer.
 */
export async function sendSingleUseCall(
  call: HttpCall,
  { connect, connectTimeout: timeout, meter }: SingleUseCallOptions,
): Promise<Result<HttpStreamReply, HttpFault>> {
  const { address, signal } = call;
  const connection = await connect(address, { timeout, signal });
  if (connection.isErr) {
    return Result.err(classifyConnectFault(connection.error));
  }
  if (call.maySend?.() === false) {
    connection.value.destroy();
    return Result.err({
      kind: "withheld",
      sent: "no",
      message: "not sent after the connection was open",
    });
  }
  return await sendOnConnection(call, watchSocket(connection.value), meter);
}

function classifyConnectFault({ failure, message }: ConnectFault): HttpFault {
  if (failure === "aborted") return { kind: "aborted", sent: "no", message };
  // The fault lies with the call: the address must not count as unreachable.
  if (failure === "malformed_address") {
    return { kind: "cut", sent: "maybe", message };
  }
  return { kind: "unreachable", sent: "no", message, connectFailure: failure };
}

function sendOnConnection(
  call: HttpCall,
  watched: WatchedSocket,
  meter: AnswerMeter | undefined,
): Promise<Result<HttpStreamReply, HttpFault>> {
  return new Promise((resolve) => {
    const { signal } = call;
    let request: ClientRequest | undefined;
    let body: NodeReadable | undefined;
    let stopWatching = () => {};
    const input = openMeteredInput(watched.socket, {
      address: call.address,
      framing: createAnswerFraming({ method: call.method, isSingle: true }),
      meter,
      // The error of the socket would reach neither of them.
      onExceeded: (error) => (body ?? request)?.destroy(error),
    });

    function settleFault(fault: HttpFault): void {
      finish();
      resolve(Result.err(fault));
    }

    function fail(error: Error): void {
      settleFault(classifyAnswerError(error, signal));
    }

    function finish(): void {
      stopWatching();
      signal?.removeEventListener("abort", handleAbort);
    }

    function handleAbort(): void {
      finish();
      // Destroying the request would discard what is left of a body that was
      // received completely, and then end it as if it had been read.
      (body ?? request)?.destroy(new Error("given up"));
    }

    try {
      request = sendRequest({
        method: call.method,
        path: call.path,
        headers: createHeaders(call) as never,
        createConnection: () => watched.socket,
      });
      request.on("error", fail);
      stopWatching = watchHead(request, (error) => request?.destroy(error));
      // Answers 101 and others that node:http drops without an error.
      request.once("close", () => {
        if (body === undefined) fail(new Error("the connection was cut"));
      });
      request.once("response", (response: IncomingMessage) => {
        stopWatching();
        const status = response.statusCode ?? 0;
        const headers = listHeaders(response.rawHeaders);
        const head = readAnswerHead({
          method: call.method,
          version: response.httpVersion,
          status,
          headers,
        });
        if (head.isErr) {
          request?.destroy();
          return settleFault(createMalformedFault(head.error));
        }
        const delimiter = head.value;
        if (delimiter === "connection") {
          body = createVerifiedBody(response, watched);
        } else {
          body = response;
          // node:http would first send what is left of the request, and shut
          // down its side of the connection by a system call of its own.
          response.prependOnceListener("end", () => watched.socket.destroy());
        }
        body.once("close", finish);
        const reader = body;
        reader.on("pause", () => input.pause());
        // The event comes a tick late; it may be paused again by then.
        reader.on("resume", () => reader.isPaused() || input.resume());
        resolve(Result.ok({
          status,
          headers,
          body,
          delimiter,
        }));
      });
      signal?.addEventListener("abort", handleAbort, { once: true });
      if (signal?.aborted) handleAbort();
      if (call.body instanceof NodeBuffer) endWithBody(request, call.body);
      else request.end(call.body);
    } catch (error) {
      // A name or value that HTTP does not permit. The fault lies with the call,
      // so the address must not count as unreachable.
      request?.destroy();
      watched.socket.destroy();
      fail(error instanceof Error ? error : new Error(String(error)));
    }
  });
}

/**
 * Watches a connection to detect truncated answers. An answer without a length
 * ends with its connection, so after a reset a part of it would look complete:
 * node:http ends the body in both cases, and libuv reports a normal end if the
 * reset arrives together with the last bytes. So this listens to the socket
 * before node:http does, and probes the connection when the socket ends.
 */
function watchSocket(socket: Socket): WatchedSocket {
  const watched: WatchedSocket = { socket, isReset: false, probe: undefined };
  socket.on("error", (error) => {
    // Errors that node:http raises itself come from no system call.
    if ("syscall" in error) watched.isReset = true;
  });
  socket.once("end", () => watched.probe = probeEnd(socket));
  return watched;
}

/** Creates alternating names and values, which node:http sends unchanged. */
function createHeaders(
  { method, address, headers = [], createLateHeaders, body }: HttpCall,
): string[] {
  const list = Array.isArray(headers)
    ? headers.slice()
    : Object.entries(headers).flat();
  if (createLateHeaders !== undefined) list.push(...createLateHeaders());
  let hasHost = false;
  for (let index = 0; index < list.length && !hasHost; index += 2) {
    hasHost = list[index]!.toLowerCase() === "host";
  }
  if (!hasHost) list.push("host", address);
  list.push("connection", "close");
  const length = body === undefined ? 0 : NodeBuffer.byteLength(body);
  if (length > 0 || METHODS_WITH_BODY.has(method)) {
    list.push("content-length", String(length));
  }
  return list;
}

/** Lists headers by lower-case name; a repeated one has several values. */
function listHeaders(raw: readonly string[]): HttpHeaders {
  // Without a prototype, as `constructor` is a permitted name of a header.
  const headers = Object.create(null) as HttpHeaders;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    const value = raw[index + 1]!;
    const present = headers[name];
    if (present === undefined) headers[name] = value;
    else if (Array.isArray(present)) present.push(value);
    else headers[name] = [present, value];
  }
  return headers;
}

/** Creates a body that fails if the connection did not end in order. */
function createVerifiedBody(
  response: IncomingMessage,
  watched: WatchedSocket,
): NodeReadable {
  const body = new NodeReadable({
    read: () => void response.resume(),
    destroy(error, callback) {
      response.destroy();
      watched.socket.destroy();
      callback(error);
    },
  });
  // An abort before anyone listens must not end the process.
  body.on("error", () => {});
  response.on("data", (chunk) => {
    if (!body.push(chunk)) response.pause();
  });
  response.pause();
  response.once("end", async () => {
    const isOrderly = await watched.probe ?? true;
    if (watched.isReset || !isOrderly) {
      return void body.destroy(new Error("the connection was cut"));
    }
    const isConfirmed = await confirmEnd(watched.socket);
    if (body.destroyed) return;
    if (isConfirmed) body.push(null);
    else body.destroy(new Error("the relay of the connection ended"));
  });
  response.on("error", (error) => body.destroy(error));
  response.once("close", () => {
    if (!response.readableEnded) {
      body.destroy(new Error("the connection was cut"));
    }
  });
  return body;
}
