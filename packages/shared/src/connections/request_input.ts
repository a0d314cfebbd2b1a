/**
 * Passes the bytes of a connection to the HTTP parser, one request at a time.
 *
 * The parser of node:http reads all requests of a segment at once, and creates
 * an object for each request and for each chunk of a body, however many there
 * are. Here the rest of the segment waits until the next request may begin, and
 * the chunks of a body are joined first.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ChunkJoiner } from "./chunk_joiner.ts";
import { createChunkJoiner, LAST_CHUNK } from "./chunk_joiner.ts";
import type { HeadEnd } from "./head_end.ts";
import {
  createHeadEnd,
  findNonEmptyLine,
  MATCHED_BY_LINE,
} from "./head_end.ts";

/** Options of {@linkcode createRequestInput}. */
export interface RequestInputOptions {
  /** Whether the next request may begin. */
  mayBegin: () => boolean;
  /** Called when bytes wait; `resume` is to be called later. */
  onWaiting: () => void;
  /** Called when the bytes that wait, or those of a head, have changed. */
  onHeld: () => void;
  /** Called for chunks that are malformed. */
  onMalformed: () => void;
  /** Called after a part of a body; its message may be paused. */
  onBody: (bytes: number, message: IncomingMessage) => void;
  /** Called after bytes that belong to no request. */
  onDropped: (bytes: number) => void;
}

/** The input of one connection. */
export interface RequestInput {
  /** Bytes that wait for the end of other requests. */
  readonly waitingBytes: number;
  /** Bytes of the head that is being read. */
  readonly headBytes: number;
  /** Begins the next request if it may. */
  resume(): void;
  /** Records the request that the parser has found. */
  begin(message: IncomingMessage, response: ServerResponse): void;
  /** Leaves the connection and the bytes that wait to another protocol. */
  detach(): void;
}

type State =
  /** Between requests. */
  | "between"
  | "head"
  | "length"
  | "chunks"
  | "trailers"
  /** The connection ends with its last answer; what follows is ignored. */
  | "ended";

const LINE_END = Buffer.from("\r\n");

/** Puts the input between a connection and its HTTP parser. */
export function createRequestInput(
  socket: Socket,
  { mayBegin, onWaiting, onHeld, onMalformed, onBody, onDropped }:
    RequestInputOptions,
): RequestInput {
  const [parse] = socket.listeners("data") as ((part: Buffer) => void)[];
  let state: State = "between";
  let waiting: Buffer | undefined;
  let headBytes = 0;
  /** Of the head or the trailers that are being read. */
  let headEnd: HeadEnd | undefined;
  /** Of the body that is being read, if it has chunks. */
  let joiner: ChunkJoiner | undefined;
  /** Of a body with a length. */
  let bytesLeft = 0;
  let current:
    | { message: IncomingMessage; response: ServerResponse }
    | undefined;
  let isAttached = true;
  /** What follows the head that is being parsed. */
  let rest: Buffer | undefined;

  socket.off("data", parse!);
  // Takes the socket back from the parser, which would read its handle.
  socket.on("data", handlePart);

  function handlePart(part: Buffer): void {
    if (waiting !== undefined) {
      waiting = Buffer.concat([waiting, part]);
      socket.pause();
      return onHeld();
    }
    read(part);
  }

  function forwardPart(part: Buffer): void {
    if (part.length > 0) parse!.call(socket, part);
  }

  function isOpen(): boolean {
    return isAttached && !socket.destroyed;
  }

  /** Keeps what cannot be read yet. */
  function wait(part: Buffer, at: number): void {
    if (at === part.length) return;
    waiting = part.subarray(at);
    socket.pause();
    onHeld();
    onWaiting();
  }

  function read(part: Buffer): void {
    let at = 0;
    let hasBegun = false;
    while (at < part.length && isOpen()) {
      if (state === "between") {
        const begin = findNonEmptyLine(part, at);
        if (begin > at) onDropped(begin - at);
        at = begin;
        if (at === part.length) return;
        // One request in a turn, so that other connections are read meanwhile.
        if (hasBegun || !mayBegin()) return wait(part, at);
        hasBegun = true;
        state = "head";
        headEnd = createHeadEnd();
        current = undefined;
      }
      at = readState(part, at);
    }
  }

  /** Reads what the current state allows; returns the offset behind it. */
  function readState(part: Buffer, at: number): number {
    switch (state) {
      case "head":
        return readHead(part, at);
      case "length":
        return readLength(part, at);
      case "chunks":
        return readChunks(part, at);
      case "trailers":
        return readTrailers(part, at);
      default:
        onDropped(part.length - at);
        return part.length;
    }
  }

  function readHead(part: Buffer, at: number): number {
    const end = headEnd!.find(part, at);
    const until = end < 0 ? part.length : end;
    headBytes += until - at;
    onHeld();
    rest = part.subarray(until);
    forwardPart(part.subarray(at, until));
    rest = undefined;
    if (!isAttached) return part.length;
    if (end >= 0) startBody();
    else if (current !== undefined) endMalformed();
    return until;
  }

  function startBody(): void {
    headBytes = 0;
    // The server has refused the request itself, and closes the connection.
    if (current === undefined) return void (state = "ended");
    const { headers } = current.message;
    if (headers["transfer-encoding"] !== undefined) {
      state = "chunks";
      joiner = createChunkJoiner();
      return;
    }
    bytesLeft = Number(headers["content-length"] ?? 0);
    if (bytesLeft > 0) state = "length";
    else endRequest();
  }

  function endRequest(): void {
    state = current?.response.shouldKeepAlive ? "between" : "ended";
  }

  function endMalformed(): void {
    state = "ended";
    onMalformed();
  }

  function readLength(part: Buffer, at: number): number {
    const until = Math.min(part.length, at + bytesLeft);
    bytesLeft -= until - at;
    if (bytesLeft === 0) endRequest();
    forwardPart(part.subarray(at, until));
    onBody(until - at, current!.message);
    return until;
  }

  function readChunks(part: Buffer, from: number): number {
    const joined = joiner!.read(part, from);
    if (joined === undefined) {
      endMalformed();
      return part.length;
    }
    const { data, at, isLast } = joined;
    if (data.length > 0) {
      forwardPart(Buffer.from(`${data.length.toString(16)}\r\n`, "latin1"));
      forwardPart(data);
      forwardPart(LINE_END);
    }
    if (isLast) {
      state = "trailers";
      headEnd = createHeadEnd(MATCHED_BY_LINE);
      forwardPart(LAST_CHUNK);
    }
    onBody(at - from, current!.message);
    return at;
  }

  function readTrailers(part: Buffer, at: number): number {
    const end = headEnd!.find(part, at);
    const until = end < 0 ? part.length : end;
    if (end >= 0) endRequest();
    forwardPart(part.subarray(at, until));
    return until;
  }

  return {
    get waitingBytes() {
      return waiting?.length ?? 0;
    },
    get headBytes() {
      return headBytes;
    },
    resume() {
      if (waiting === undefined || !isOpen() || !mayBegin()) return;
      const part = waiting;
      waiting = undefined;
      read(part);
      if (!isOpen()) return;
      onHeld();
      if (waiting === undefined) socket.resume();
    },
    begin(message, response) {
      current = { message, response };
    },
    detach() {
      isAttached = false;
      socket.off("data", handlePart);
      if (rest !== undefined && rest.length > 0) socket.unshift(rest);
      rest = undefined;
    },
  };
}
