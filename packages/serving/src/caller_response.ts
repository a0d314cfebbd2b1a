/**
 * The response to a caller: an endpoint's answer forwarded unchanged, or a
 * failure of this entry. Answers are never merged, extended or completed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Failure } from "@mangoreach/coordination";
import { endWithBody } from "@mangoreach/shared";
import type { HeaderList } from "./platform_interfaces.ts";

/** How a response ended. */
export type ResponseEnd = "complete" | "cut";

/** The response to one request, either buffered, streamed or refused. */
export interface CallerResponse {
  readonly isStarted: boolean;
  /** Aborts if the caller disconnects before the response is complete. */
  readonly disconnected: AbortSignal;
  /** Calls back once the connection took the response, or has closed. */
  onceClosed(callback: () => void): void;
  /** Sends a response with its complete body. */
  sendBuffered(answer: BufferedAnswer): void;
  /** Starts a streamed response; its head is sent with the first chunk. */
  startStream(head: AnswerHead): void;
  /**
   * Writes a chunk. Returns nothing if the caller can receive more, otherwise a
   * promise that resolves once it can.
   */
  write(chunk: Buffer): Promise<void> | undefined;
  /** Ends a stream; a cut one must not look complete, so it is disconnected. */
  endStream(end: ResponseEnd): void;
  /** Sends a failure of this entry. */
  refuse(failure: Failure): void;
}

/** The head of a response. */
export interface AnswerHead {
  status: number;
  headers: HeaderList;
  /**
   * Whether it is not known that the body is whole when it ends in an orderly
   * way. Only the connection delimits it then, as it did for this entry.
   */
  isUnproven?: boolean;
}

/** A response with its complete body. */
export interface BufferedAnswer extends AnswerHead {
  body: Buffer;
}

/** Encodes a failure as status and headers for callers. */
export type EncodeFailure = (
  failure: Failure,
) => { status: number; headers: HeaderList };

/** Options of {@linkcode createCallerResponse}. */
export interface CallerResponseOptions {
  encodeFailure: EncodeFailure;
  /** Whether the connection must end with this answer. */
  isClosing: () => boolean;
}

const LAST_CHUNK = "0\r\n\r\n";

/** Frames a chunk for `Transfer-Encoding: chunked`, as a latin1 string. */
function formatChunk(chunk: Buffer): string {
  return `${chunk.length.toString(16)}\r\n${chunk.toString("latin1")}\r\n`;
}

/** Wraps a response of Node's HTTP server. */
export function createCallerResponse(
  response: ServerResponse,
  { encodeFailure, isClosing }: CallerResponseOptions,
): CallerResponse {
  const controller = new AbortController();
  let isChunked = false;
  response.once("close", () => {
    if (!response.writableFinished) controller.abort("caller_gone");
  });
  response.on("error", () => controller.abort("caller_gone"));
  // The endpoint's Date header is forwarded; a second one would change the
  // answer.
  response.sendDate = false;

  function writeHead(status: number, headers: HeaderList): void {
    if (isClosing()) response.shouldKeepAlive = false;
    response.writeHead(status, headers.flat());
  }

  /** Leaves the end of the body to the end of the connection. */
  function disableFraming(): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }

  function sendBuffered(
    { status, headers, body, isUnproven = false }: BufferedAnswer,
  ): void {
    if (response.headersSent || response.destroyed) return;
    const length = ["Content-Length", String(body.length)] as const;
    if (isUnproven) disableFraming();
    writeHead(status, isUnproven ? headers : [...headers, length]);
    endWithBody(response, body);
  }

  function write(chunk: Buffer): Promise<void> | undefined {
    if (response.destroyed || chunk.length === 0) return undefined;
    const isWritable = isChunked
      ? response.write(formatChunk(chunk), "latin1")
      : response.write(chunk);
    if (isWritable) return undefined;
    return new Promise((resolve) => {
      const onWritable = () => {
        response.off("drain", onWritable);
        response.off("close", onWritable);
        resolve();
      };
      response.on("drain", onWritable);
      response.on("close", onWritable);
    });
  }

  return {
    get isStarted() {
      return response.headersSent;
    },
    disconnected: controller.signal,
    onceClosed(callback) {
      if (response.closed) callback();
      else response.once("close", callback);
    },
    sendBuffered,
    startStream({ status, headers, isUnproven = false }) {
      if (response.headersSent || response.destroyed) return;
      if (isUnproven) disableFraming();
      writeHead(status, headers);
      // The chunks are framed here instead: node:http passes the length, the
      // chunk and two line ends to the socket one by one.
      isChunked = response.chunkedEncoding;
      response.chunkedEncoding = false;
    },
    write,
    endStream(end) {
      if (end === "complete") response.end(isChunked ? LAST_CHUNK : "");
      else if (isChunked) response.destroy();
      // Without chunks, only a reset tells the caller that a part is missing.
      else response.socket?.resetAndDestroy();
    },
    refuse(failure) {
      const { status, headers } = encodeFailure(failure);
      const body = Buffer.from(JSON.stringify({ reason: failure.message }));
      const type = ["Content-Type", "application/json"] as const;
      sendBuffered({ status, headers: [...headers, type], body });
    },
  };
}
