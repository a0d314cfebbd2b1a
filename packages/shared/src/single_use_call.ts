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
import { connect } from "node:net";
import { Readable as NodeReadable } from "node:stream";
import { Result } from "true-myth";
import { parseAddress } from "./address.ts";
import type { Millis } from "./clock.ts";
import type {
  HttpCall,
  HttpFault,
  HttpHeaders,
  HttpStreamReply,
} from "./http_client.ts";
import { endWithBody } from "./message_body.ts";

/** An empty line between requests, which servers ignore. */
const PROBE = "\r\n";
/** Methods whose requests announce an empty body. */
const METHODS_WITH_BODY = new Set(["POST", "PUT", "PATCH"]);

/** Lower ones are provisional. */
const FIRST_FINAL_STATUS = 200;
/** Whether `chunked` is the last transfer coding. */
const CHUNKED_LAST = /(?:^|[\s,])chunked\s*$/i;

/** A connection and what is known about its end. */
interface WatchedSocket {
  socket: Socket;
  isConnected: boolean;
  /** Whether it was not opened in time. */
  isTimedOut: boolean;
  /** Whether a system call failed, as after a reset. */
  isReset: boolean;
  /** Set when the connection ended; resolves when `isReset` is known. */
  probe: Promise<void> | undefined;
}

/**
 * Sends a call on a new connection, which is never reused; resolves with the
 * head of the answer.
 */
export function sendSingleUseCall(
  call: HttpCall,
  connectTimeout: Millis,
): Promise<Result<HttpStreamReply, HttpFault>> {
  return new Promise((resolve) => {
    const { signal } = call;
    let watched: WatchedSocket | undefined;
    let request: ClientRequest | undefined;
    let body: NodeReadable | undefined;

    function fail(error: Error): void {
      finish();
      resolve(Result.err(classifyFailure(error, watched, signal)));
    }

    function finish(): void {
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
        createConnection: () => {
          watched = openSocket(call.address, connectTimeout);
          return watched.socket;
        },
      });
      request.on("error", fail);
      // Answers 101 and others that node:http drops without an error.
      request.once("close", () => {
        if (body === undefined) fail(new Error("the connection was cut"));
      });
      request.once("response", (response: IncomingMessage) => {
        const status = response.statusCode ?? 0;
        // node:http accepts 000 to 099, but throws when one is forwarded.
        if (status < FIRST_FINAL_STATUS) {
          request?.destroy();
          fail(new Error(`the status ${status} is invalid`));
          return;
        }
        if (isConnectionDelimited(response) && watched !== undefined) {
          body = createVerifiedBody(response, watched);
        } else {
          body = response;
          // node:http would first send what is left of the request, and shut
          // down its side of the connection by a system call of its own.
          response.prependOnceListener("end", () => watched?.socket.destroy());
        }
        body.once("close", finish);
        resolve(Result.ok({
          status,
          headers: listHeaders(response.rawHeaders),
          body,
        }));
      });
      signal?.addEventListener("abort", handleAbort, { once: true });
      if (call.body instanceof NodeBuffer) endWithBody(request, call.body);
      else request.end(call.body);
    } catch (error) {
      // A name or value that HTTP does not permit. The fault lies with the call,
      // so the address must not count as unreachable.
      request?.destroy();
      fail(error instanceof Error ? error : new Error(String(error)));
    }
  });
}

/**
 * Opens a connection that detects truncated answers. An answer without a length
 * ends with its connection, so after a reset a part of it would look complete:
 * node:http ends the body in both cases, and libuv reports a normal end if the
 * reset arrives together with the last bytes. So this listens to the socket
 * before node:http does, and when the socket ends it writes two bytes, which
 * succeeds only if the connection was closed normally.
 */
function openSocket(address: string, timeout: Millis): WatchedSocket {
  const parts = parseAddress(address);
  if (parts === undefined) throw new Error("the address is malformed");
  const socket = connect({
    ...parts,
    noDelay: true,
    // Without this the socket closes its own side and the probe fails.
    allowHalfOpen: true,
  });
  const watched: WatchedSocket = {
    socket,
    isConnected: false,
    isTimedOut: false,
    isReset: false,
    probe: undefined,
  };
  const recordError = (error: Error) => {
    // Errors that node:http raises itself come from no system call.
    if ("syscall" in error) watched.isReset = true;
  };
  const timer = setTimeout(
    () => {
      watched.isTimedOut = true;
      socket.destroy(new Error("the connection was not made in time"));
    },
    timeout,
  );
  socket.once("connect", () => {
    watched.isConnected = true;
    clearTimeout(timer);
  });
  socket.once("close", () => clearTimeout(timer));
  socket.on("error", recordError);
  socket.once("end", () => {
    watched.probe = new Promise((resolve) =>
      socket.write(PROBE, (error) => {
        if (error) recordError(error);
        resolve();
      })
    );
  });
  return watched;
}

/** Creates alternating names and values, which node:http sends unchanged. */
function createHeaders(
  { method, address, headers = [], body }: HttpCall,
): string[] {
  const list = Array.isArray(headers)
    ? headers.slice()
    : Object.entries(headers).flat();
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

/**
 * Whether only the end of the connection delimits the body, which is so for
 * transfer codings that do not end with `chunked` too (RFC 9112, section 6.3).
 */
function isConnectionDelimited({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    !CHUNKED_LAST.test(headers["transfer-encoding"] ?? "");
}

/** Creates a body that fails if the connection was reset. */
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
    await watched.probe;
    if (watched.isReset) body.destroy(new Error("the connection was reset"));
    else if (!body.destroyed) body.push(null);
  });
  response.on("error", (error) => body.destroy(error));
  response.once("close", () => {
    if (!response.readableEnded) {
      body.destroy(new Error("the connection was cut"));
    }
  });
  return body;
}

function classifyFailure(
  { message }: Error,
  watched: WatchedSocket | undefined,
  signal: AbortSignal | undefined,
): HttpFault {
  // Bytes are buffered in this process until the connection is established, and
  // are discarded with it.
  const isUnsent = watched !== undefined && !watched.isConnected;
  if (signal?.aborted) {
    return {
      kind: "aborted",
      sent: isUnsent ? "no" : "maybe",
      message: "given up",
    };
  }
  if (!isUnsent) return { kind: "cut", sent: "maybe", message };
  const connectFailure = watched.isTimedOut ? "silent" : "refused";
  return { kind: "unreachable", sent: "no", message, connectFailure };
}
