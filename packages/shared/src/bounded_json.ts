/**
 * Parses JSON of other processes. Text of some megabytes can hold values that
 * take twenty times as much memory, which is more than a process has.
 *
 * @module
 */
import { parseJson } from "./http_server.ts";

/** Shorter text is parsed without an estimate, whatever it holds. */
const MIN_ESTIMATED_LENGTH = 16_384;
/**
 * A ninth of the heap: values may take three times their estimate, and several
 * may be parsed before memory is reclaimed.
 */
const MAX_VALUES_BYTES = 16_777_216;

const QUOTE = 34;
const ZERO = 48;
const NINE = 57;
const COMMA = 44;
const COLON = 58;
const BRACKET = 91;
const BACKSLASH = 92;
const CLOSING_BRACKET = 93;
const BRACE = 123;
const CLOSING_BRACE = 125;

/** What values take in V8's heap, about. */
const OBJECT_BYTES = 56;
const ARRAY_BYTES = 32;
const ELEMENT_BYTES = 8;
/** The entry in the table of an object whose names occur only once. */
const PROPERTY_BYTES = 24;
const STRING_BYTES = 24;
/** V8 allocates a list up to an index that is the name of a property. */
const INDEX_NAME_BYTES = 6_144;
const MAX_INDEX_DIGITS = 10;
/** A digit has six characters if it is escaped. */
const MAX_ESCAPED_LENGTH = 6 * MAX_INDEX_DIGITS;

/** Whether the values of a text take little enough memory to be parsed. */
export function isBoundedJson(text: string): boolean {
  return text.length <= MIN_ESTIMATED_LENGTH ||
    estimateValueBytes(text) <= MAX_VALUES_BYTES;
}

/**
 * Parses JSON; undefined if it is malformed, or if its values would take too
 * much memory.
 */
export function parseBoundedJson(text: string): unknown {
  return isBoundedJson(text) ? parseJson(text) : undefined;
}

/**
 * Whether all lists and objects of a text are closed at its end and not before,
 * without parsing it. A part from the start of valid JSON that is a list or an
 * object never is; whether the text is valid is not checked.
 */
export function hasJsonEnd(text: string): boolean {
  let depth = 0;
  for (let at = 0; at < text.length; at++) {
    switch (text.charCodeAt(at)) {
      case QUOTE:
        at = findStringEnd(text, at + 1);
        if (at === text.length) return false;
        break;
      case BRACKET:
      case BRACE:
        depth++;
        break;
      case CLOSING_BRACKET:
      case CLOSING_BRACE:
        depth--;
        if (depth <= 0) return depth === 0 && text.slice(at + 1).trim() === "";
        break;
    }
  }
  return false;
}

/** Estimates the memory of the values, without the characters of strings. */
function estimateValueBytes(text: string): number {
  let bytes = 0;
  /** Whether the last string may be an index; before a colon it is a name. */
  let isIndex = false;
  for (let at = 0; at < text.length; at++) {
    switch (text.charCodeAt(at)) {
      case QUOTE: {
        const end = findStringEnd(text, at + 1);
        bytes += STRING_BYTES;
        isIndex = mayBeIndex(text, at + 1, end);
        at = end;
        break;
      }
      case COMMA:
        bytes += ELEMENT_BYTES;
        break;
      case COLON:
        bytes += isIndex ? INDEX_NAME_BYTES : PROPERTY_BYTES;
        break;
      case BRACKET:
        bytes += ARRAY_BYTES;
        break;
      case BRACE:
        bytes += OBJECT_BYTES;
        break;
    }
  }
  return bytes;
}

/** Whether a string may be an index, of which digits may be escaped. */
function mayBeIndex(text: string, start: number, end: number): boolean {
  const first = text.charCodeAt(start);
  const maxLength = first === BACKSLASH ? MAX_ESCAPED_LENGTH : MAX_INDEX_DIGITS;
  return end > start && end - start <= maxLength &&
    (first === BACKSLASH || isDigit(first)) &&
    isDigit(text.charCodeAt(end - 1));
}

function isDigit(code: number): boolean {
  return code >= ZERO && code <= NINE;
}

/** Returns the index of the quote that ends a string, or the text's length. */
function findStringEnd(text: string, start: number): number {
  let end = text.indexOf('"', start);
  while (end >= 0) {
    let backslashes = 0;
    while (text.charCodeAt(end - 1 - backslashes) === BACKSLASH) backslashes++;
    if (backslashes % 2 === 0) return end;
    end = text.indexOf('"', end + 1);
  }
  return text.length;
}
