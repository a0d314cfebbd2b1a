/**
 * Follows the framing of the answers on a connection, and joins the chunks of
 * what was read at once. The HTTP parsers create an object and call back for each
 * chunk, so that small ones would take hundreds of times their size.
 *
 * Heads are only searched for what delimits their bodies: whether they are valid
 * is left to the parser, which gets them unchanged.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ChunkJoiner } from "../connections/chunk_joiner.ts";
import { createChunkJoiner, LAST_CHUNK } from "../connections/chunk_joiner.ts";
import type { HeadEnd } from "../connections/head_end.ts";
import {
  createHeadEnd,
  findNonEmptyLine,
  MATCHED_BY_LINE,
} from "../connections/head_end.ts";

/** A limit that an answer exceeds. */
export type AnswerLimit =
  /** Bytes of a head. */
  | "head"
  /** Bytes that are no data of the body. */
  | "framing"
  | "provisional_answers";

/** The framing of the answers on one connection. */
export interface AnswerFraming {
  /** Bytes that were no data, of all answers so far. */
  readonly framingBytes: number;
  /** Answers of which all was read. */
  readonly answers: number;
  /** The limit that the current answer exceeds. */
  readonly exceeded: AnswerLimit | undefined;
  /** Returns what the parser is to get of a part; may be empty. */
  read(part: Buffer): Buffer;
}

/** Options of {@linkcode createAnswerFraming}. */
export interface AnswerFramingOptions {
  /** Method of the request, as some answers have no body. */
  method: string;
  /** Whether the connection carries one answer only. */
  isSingle: boolean;
}

type State =
  | "head"
  | "length"
  | "chunks"
  | "trailers"
  /** The body ends with the connection, or is not followed. */
  | "unframed"
  /** What follows belongs to no answer and is dropped. */
  | "ended";

/** Provisional answers to one call; servers send one, if any. */
const MAX_PROVISIONAL = 4;
/** As much as the largest answer, and enough for one in chunks of six bytes. */
const MAX_FRAMING_BYTES = 8_388_608;
/** The parsers permit 16 KiB, but do not count blanks and separators. */
const MAX_HEAD_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);
/** No parser takes it for the size of a chunk. */
const MALFORMED_SIZE = Buffer.from("\r\n");
const STATUS_LINE = /^HTTP\/\d\.\d (\d{3})/;
const TRANSFER_CODING = /[\r\n]transfer-encoding[ \t]*:([^\r\n]*)/gi;
const CONTENT_LENGTH = /[\r\n]content-length[ \t]*:([^\r\n]*)/i;
const STATUS_SWITCHING = 101;
const FIRST_FINAL_STATUS = 200;
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Creates the framing of a connection on which nothing was received. */
export function createAnswerFraming(
  { method, isSingle }: AnswerFramingOptions,
): AnswerFraming {
  let state: State = "head";
  let headEnd: HeadEnd | undefined;
  /** The head as far as it was received. */
  let head = "";
  /** Of the body that is being read, if it has chunks. */
  let joiner: ChunkJoiner | undefined;
  /** Of a body with a length. */
  let bytesLeft = 0;
  let provisional = 0;
  /** Of the current answer. */
  let framing = 0;
  let framingBytes = 0;
  let answers = 0;
  /** Whether the parser gets other bytes than those of the current part. */
  let isChanged = false;
  let exceeded: AnswerLimit | undefined;

  function addFraming(count: number): void {
    framing += count;
    framingBytes += count;
    if (framing > MAX_FRAMING_BYTES) exceeded = "framing";
  }

  function endAnswer(): void {
    state = isSingle ? "ended" : "head";
    provisional = 0;
    framing = 0;
    answers++;
  }

  function startBody(): void {
    const status = Number(STATUS_LINE.exec(head)?.[1] ?? 0);
    const codings = [...head.matchAll(TRANSFER_CODING)];
    const length = CONTENT_LENGTH.exec(head)?.[1]?.trim() ?? "";
    head = "";
    if (status === STATUS_SWITCHING) state = "unframed";
    else if (status < FIRST_FINAL_STATUS) {
      if (++provisional > MAX_PROVISIONAL) exceeded = "provisional_answers";
    } else if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(status)) {
      endAnswer();
    } else if (codings.length > 0 && !isChunked(codings)) {
      // Whoever reads the head refuses it.
      state = "ended";
    } else if (codings.length > 0) {
      state = "chunks";
      joiner = createChunkJoiner();
    } else if (/^\d+$/.test(length)) {
      bytesLeft = Number(length);
      if (bytesLeft > 0) state = "length";
      else endAnswer();
    } else state = "unframed";
  }

  function readHead(part: Buffer, from: number): number {
    const end = headEnd!.find(part, from);
    const until = end < 0 ? part.length : end;
    addFraming(until - from);
    head += part.toString("latin1", from, until);
    if (head.length > MAX_HEAD_BYTES) exceeded = "head";
    else if (end >= 0) startBody();
    return until;
  }

  /** Reads what follows the last chunk. */
  function readTrailers(part: Buffer, from: number): number {
    const end = headEnd!.find(part, from);
    const until = end < 0 ? part.length : end;
    addFraming(until - from);
    if (end >= 0) endAnswer();
    return until;
  }

  function readLength(part: Buffer, from: number): number {
    const until = Math.min(part.length, from + bytesLeft);
    bytesLeft -= until - from;
    if (bytesLeft === 0) endAnswer();
    return until;
  }

  /** Reads chunks; adds what the parser is to get instead to `output`. */
  function readChunks(part: Buffer, from: number, output: Buffer[]): number {
    isChanged = true;
    const joined = joiner!.read(part, from);
    if (joined === undefined) {
      output.push(MALFORMED_SIZE);
      state = "ended";
      return part.length;
    }
    const { data, at, isLast } = joined;
    addFraming(at - from - data.length);
    if (data.length > 0) output.push(formatChunk(data));
    if (isLast) {
      output.push(LAST_CHUNK);
      state = "trailers";
      headEnd = createHeadEnd(MATCHED_BY_LINE);
    }
    return at;
  }

  function readState(part: Buffer, from: number, output: Buffer[]): number {
    if (state === "chunks") return readChunks(part, from, output);
    let begin = from;
    if (state === "head" && head === "") {
      headEnd = createHeadEnd();
      begin = findNonEmptyLine(part, from);
      addFraming(begin - from);
      if (begin > from) output.push(part.subarray(from, begin));
      if (begin === part.length) return begin;
    }
    const until = readUnchanged(part, begin);
    if (until > begin) output.push(part.subarray(begin, until));
    return until;
  }

  function readUnchanged(part: Buffer, from: number): number {
    switch (state) {
      case "head":
        return readHead(part, from);
      case "trailers":
        return readTrailers(part, from);
      case "length":
        return readLength(part, from);
      default:
        return part.length;
    }
  }

  function read(part: Buffer): Buffer {
    // Most parts are of a body that needs no change.
    if (state === "unframed") return part;
    const output: Buffer[] = [];
    isChanged = false;
    let at = 0;
    while (at < part.length && exceeded === undefined) {
      if (state === "ended") {
        addFraming(part.length - at);
        isChanged = true;
        break;
      }
      at = readState(part, at, output);
    }
    if (!isChanged) return part;
    if (output.length === 0) return EMPTY;
    return output.length === 1 ? output[0]! : Buffer.concat(output);
  }

  return {
    get framingBytes() {
      return framingBytes;
    },
    get answers() {
      return answers;
    },
    get exceeded() {
      return exceeded;
    },
    read,
  };
}

function isChunked(codings: readonly RegExpExecArray[]): boolean {
  return codings.length === 1 &&
    codings[0]?.[1]?.trim().toLowerCase() === "chunked";
}

/** Copies the data: the joiner's may be a view of a larger block. */
function formatChunk(data: Buffer): Buffer {
  const size = `${data.length.toString(16)}\r\n`;
  const chunk = Buffer.allocUnsafe(size.length + data.length + 2);
  chunk.write(size, 0, "latin1");
  data.copy(chunk, size.length);
  chunk.write("\r\n", size.length + data.length, "latin1");
  return chunk;
}
