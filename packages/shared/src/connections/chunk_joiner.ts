/**
 * Decodes the chunks of a request's body and joins them. The HTTP parser creates
 * an object for each chunk, so that many small ones would take hundreds of times
 * their size.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** What was decoded from a part of a body. */
export interface JoinedChunks {
  /** The data of the chunks up to there; may be empty. */
  data: Buffer;
  /** Where the decoder stopped; the rest of the part is to be read next. */
  at: number;
  /** Whether the last chunk has been read; trailers follow. */
  isLast: boolean;
}

/** Decodes one body. */
export interface ChunkJoiner {
  /** Decodes a part from an offset; undefined if it is malformed. */
  read(part: Buffer, from: number): JoinedChunks | undefined;
}

/** Marks the end of a body; trailers and an empty line follow. */
export const LAST_CHUNK = Buffer.from("0\r\n");

type State =
  | "size_start"
  | "size"
  | "extension"
  | "size_end"
  | "data"
  | "data_cr"
  | "data_lf";

const CR = 13;
const LF = 10;
const TAB = 9;
const SPACE = 32;
const SEMICOLON = 59;
const MAX_SIZE = 0xffff_ffff;
/** Data of a chunk from this size on is not copied. */
const MIN_LARGE_BYTES = 4_096;
/** Of one body, as in the HTTP parser. */
const MAX_EXTENSION_BYTES = 16_384;

/** Creates the decoder of one body. */
export function createChunkJoiner(): ChunkJoiner {
  let state: State = "size_start";
  /** Of the current chunk, or what is left of it. */
  let size = 0;
  let extensionBytes = 0;

  /** Returns whether the byte may come here. */
  function readByte(byte: number): boolean {
    switch (state) {
      case "size_start":
      case "size":
        return readSizeByte(byte);
      case "extension":
        if (byte === CR) state = "size_end";
        else if (byte < SPACE && byte !== TAB) return false;
        return ++extensionBytes <= MAX_EXTENSION_BYTES;
      case "size_end":
        state = "data";
        return byte === LF;
      case "data_cr":
        state = "data_lf";
        return byte === CR;
      default:
        state = "size_start";
        return byte === LF;
    }
  }

  function readSizeByte(byte: number): boolean {
    const digit = readHexDigit(byte);
    if (digit >= 0) {
      size = (state === "size_start" ? 0 : size * 16) + digit;
      state = "size";
      return size <= MAX_SIZE;
    }
    if (state === "size_start") return false;
    if (byte === CR) state = "size_end";
    else if (byte === SEMICOLON) state = "extension";
    else return false;
    return true;
  }

  /** Large data is passed on as it is. */
  function readLargeData(part: Buffer, from: number): JoinedChunks | undefined {
    const at = Math.min(part.length, from + size);
    if (state !== "data" || at - from < MIN_LARGE_BYTES) return undefined;
    size -= at - from;
    if (size === 0) state = "data_cr";
    return { data: part.subarray(from, at), at, isLast: false };
  }

  function read(part: Buffer, from: number): JoinedChunks | undefined {
    const large = readLargeData(part, from);
    if (large !== undefined) return large;
    const data = Buffer.allocUnsafe(part.length - from);
    let length = 0;
    let at = from;
    while (at < part.length) {
      if (state === "size_start") {
        const short = readShortChunks(part, { at, data, length });
        at = short.at;
        length = short.length;
        if (at === part.length) break;
      }
      if (state === "data") {
        const end = Math.min(part.length, at + size);
        if (end - at >= MIN_LARGE_BYTES) break;
        length += part.copy(data, length, at, end);
        size -= end - at;
        at = end;
        if (size === 0) state = "data_cr";
        continue;
      }
      if (!readByte(part[at]!)) return undefined;
      at++;
      if (isAtData() && size === 0) {
        return { data: data.subarray(0, length), at, isLast: true };
      }
    }
    return { data: data.subarray(0, length), at, isLast: false };
  }

  function isAtData(): boolean {
    return state === "data";
  }

  return { read };
}

/** A size of one or two digits. */
const MAX_SHORT_LINE = 4;
const LINE_END_BYTES = 2;

/**
 * Reads short chunks that are whole, up to the first that is not: the bytes of
 * their data are cheaper to copy one by one than by a call for each chunk.
 */
function readShortChunks(
  part: Buffer,
  position: { at: number; data: Buffer; length: number },
): { at: number; length: number } {
  const { data } = position;
  let { at, length } = position;
  while (at + MAX_SHORT_LINE <= part.length) {
    let size = readHexDigit(part[at]!);
    let begin = at + 1;
    if (part[begin] !== CR) {
      const digit = readHexDigit(part[begin]!);
      if (digit < 0) break;
      size = size * 16 + digit;
      begin++;
    }
    if (part[begin] !== CR || part[begin + 1] !== LF || size <= 0) break;
    begin += LINE_END_BYTES;
    const end = begin + size;
    if (end + LINE_END_BYTES > part.length) break;
    if (part[end] !== CR || part[end + 1] !== LF) break;
    for (let index = begin; index < end; index++) {
      data[length++] = part[index]!;
    }
    at = end + LINE_END_BYTES;
  }
  return { at, length };
}

/** Returns -1 for another character. */
function readHexDigit(byte: number): number {
  if (byte >= 48 && byte <= 57) return byte - 48;
  const letter = byte | 32;
  return letter >= 97 && letter <= 102 ? letter - 87 : -1;
}
