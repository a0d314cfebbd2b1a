/**
 * The answer to a caller: an endpoint's answer passed through unchanged, or a
 * failure of our own. Nothing is joined, added or completed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Failure } from "@mangoreach/coordination";
import type { HeaderList } from "./serving_handles.ts";

/** How an answer ended. */
export type ResponseEnd = "complete" | "cut";

/** The answer to one request; exactly one of its ways is taken. */
export interface CallerResponse {
  readonly isStarted: boolean;
  /** Aborts when the caller goes away before the answer is complete. */
  readonly gone: AbortSignal;
  /** Sends a whole answer. */
  sendWhole(answer: WholeAnswer): void;
  /** Begins an answer that comes piece by piece. */
  startStream(head: Omit<WholeAnswer, "body">): void;
  /** Passes on bytes; resolves when the caller can take more. */
  write(chunk: Buffer): Promise<void>;
  /** Ends a stream; one that is cut must not look complete. */
  endStream(end: ResponseEnd): void;
  /** Sends a failure of our own. */
  refuse(failure: Failure): void;
}

/** A whole answer. */
export interface WholeAnswer {
  status: number;
  headers: HeaderList;
  body: Buffer;
}

/** How failures are told to callers: status and headers. */
export type EncodeFailure = (
  failure: Failure,
) => { status: number; headers: HeaderList };

/** Options of {@linkcode createCallerResponse}. */
export interface CallerResponseOptions {
  encodeFailure: EncodeFailure;
  /** Whether the connection must end with this answer. */
  isClosing: () => boolean;
}

/** Wraps the response of Node's server. */
export function createCallerResponse(
  response: ServerResponse,
  { encodeFailure, isClosing }: CallerResponseOptions,
): CallerResponse {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort("caller_gone");
  });
  response.on("error", () => controller.abort("caller_gone"));
  // The endpoint's own date goes on; a second one would change its answer.
  response.sendDate = false;

  function writeHead(status: number, headers: HeaderList): void {
    const list = headers.flat();
    if (isClosing()) list.push("Connection", "close");
    response.writeHead(status, list);
  }

  function sendWhole({ status, headers, body }: WholeAnswer): void {
    if (response.headersSent || response.destroyed) return;
    const length = ["Content-Length", String(body.length)] as const;
    writeHead(status, [...headers, length]);
    response.end(body);
  }

  function write(chunk: Buffer): Promise<void> {
    if (response.destroyed || response.write(chunk)) return Promise.resolve();
    return new Promise((resolve) => {
      response.once("drain", resolve);
      response.once("close", resolve);
    });
  }

  return {
    get isStarted() {
      return response.headersSent;
    },
    gone: controller.signal,
    sendWhole,
    startStream({ status, headers }) {
      if (response.headersSent || response.destroyed) return;
      writeHead(status, headers);
      response.flushHeaders();
    },
    write,
    endStream(end) {
      if (end === "complete") response.end();
      else response.destroy();
    },
    refuse(failure) {
      const { status, headers } = encodeFailure(failure);
      const body = Buffer.from(JSON.stringify({ reason: failure.message }));
      const type = ["Content-Type", "application/json"] as const;
      sendWhole({ status, headers: [...headers, type], body });
    },
  };
}
