/**
 * Follows a stream of server-sent events byte by byte, to tell whether it ended
 * between two events or inside one (WHATWG HTML, section 9.2.5: a line ends
 * with LF, CR or both, an event with an empty line).
 *
 * @module
 */
import type { Buffer } from "node:buffer";

/** Where a stream of events stands. */
export type EventPosition =
  /** No event is complete, and none has begun. */
  | "before_events"
  /** All events that began are complete. */
  | "between_events"
  /** Inside an event, or inside a comment or an unfinished line. */
  | "inside_event";

/** Follows one stream. */
export interface EventBoundary {
  /** Reads the next bytes of the stream. */
  push(chunk: Buffer): void;
  readPosition(): EventPosition;
}

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
/** Optional at the start of a stream. */
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];

/** Creates the follower of a stream of which nothing was read. */
export function createEventBoundary(): EventBoundary {
  let offset = 0;
  let isLineEmpty = true;
  let isComment = false;
  /** Whether the current event has a complete line that is no comment. */
  let hasFields = false;
  let hasEvents = false;
  let wasCr = false;

  function endLine(): void {
    if (isLineEmpty) {
      hasEvents ||= hasFields;
      hasFields = false;
    } else if (!isComment) hasFields = true;
    isLineEmpty = true;
    isComment = false;
  }

  function pushByte(byte: number): void {
    const isSecondOfLineEnd = byte === LF && wasCr;
    wasCr = byte === CR;
    if (isSecondOfLineEnd) return;
    if (byte === LF || byte === CR) return endLine();
    if (isLineEmpty) isComment = byte === COLON;
    isLineEmpty = false;
  }

  return {
    push(chunk) {
      for (const byte of chunk) {
        // A part of the mark is no line either.
        const isMark = byte === BYTE_ORDER_MARK[offset];
        offset = isMark ? offset + 1 : BYTE_ORDER_MARK.length;
        if (!isMark) pushByte(byte);
      }
    },
    readPosition() {
      if (hasFields || !isLineEmpty) return "inside_event";
      return hasEvents ? "between_events" : "before_events";
    },
  };
}
