/**
 * Finds where the head or the trailers of an HTTP message end: at an empty line,
 * which may come in several parts.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

const END = "\r\n\r\n";
/** How many bytes of the end follow in order, after each count of them. */
const BYTES = [13, 10, 13, 10];

const [CR, LF] = BYTES;
/** Bytes of the end that a line before it has, such as that of the last chunk. */
export const MATCHED_BY_LINE = 2;

/** Searches one message. */
export interface HeadEnd {
  /** Returns the offset behind the end, or -1 if it is not in this part. */
  find(part: Buffer, from: number): number;
}

/**
 * Creates the search. `matched` bytes of the end have been read: two behind a
 * line, none at the begin of a head.
 */
export function createHeadEnd(matched = 0): HeadEnd {
  let count = matched;

  /** Matches the first bytes, which may complete an end from the part before. */
  function processByte(byte: number): void {
    if (byte === BYTES[count]) count++;
    else count = byte === BYTES[0] ? 1 : 0;
  }

  function find(part: Buffer, from: number): number {
    let at = from;
    while (count > 0 && at < part.length) {
      processByte(part[at++]!);
      if (count === BYTES.length) return at;
    }
    const found = part.indexOf(END, at, "latin1");
    if (found >= 0) return found + END.length;
    const tail = Math.max(at, part.length - END.length + 1);
    for (let index = tail; index < part.length; index++) {
      processByte(part[index]!);
    }
    return -1;
  }

  return { find };
}

/** Returns the offset behind empty lines, which may precede a message. */
export function findNonEmptyLine(part: Buffer, from: number): number {
  let at = from;
  while (part[at] === CR || part[at] === LF) at++;
  return at;
}
