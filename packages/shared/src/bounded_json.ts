/**
 * Parses JSON of other processes. Text of some megabytes can hold values that
 * take twenty times as much memory, which is more than a process has.
 *
 * @module
 */

/** Shorter text is parsed without an estimate, whatever it holds. */
const MIN_ESTIMATED_LENGTH = 524_288;
/** A fifth of the heap, as several may be parsed before memory is reclaimed. */
const MAX_VALUES_BYTES = 33_554_432;

const QUOTE = 34;
const COMMA = 44;
const COLON = 58;
const BRACKET = 91;
const BACKSLASH = 92;
const BRACE = 123;

/** What values take in V8's heap, about. */
const OBJECT_BYTES = 56;
const ARRAY_BYTES = 32;
const ELEMENT_BYTES = 8;
/** The entry in the table of an object whose names occur only once. */
const PROPERTY_BYTES = 24;
const STRING_BYTES = 24;

/**
 * Parses JSON; undefined if it is malformed, or if its values would take too
 * much memory.
 */
export function parseBoundedJson(text: string): unknown {
  const isLong = text.length > MIN_ESTIMATED_LENGTH;
  if (isLong && estimateValueBytes(text) > MAX_VALUES_BYTES) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Estimates the memory of the values, without the characters of strings. */
function estimateValueBytes(text: string): number {
  let bytes = 0;
  for (let at = 0; at < text.length; at++) {
    switch (text.charCodeAt(at)) {
      case QUOTE:
        bytes += STRING_BYTES;
        at = findStringEnd(text, at + 1);
        break;
      case COMMA:
        bytes += ELEMENT_BYTES;
        break;
      case COLON:
        bytes += PROPERTY_BYTES;
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
