/**
 * The limit of streams of tokens, which could otherwise go on until their reader
 * has no memory left.
 *
 * @module
 */

/** More than models generate for a request. */
const MAX_TOKENS = 262_144;
/** As long as the largest response that is not streamed, in UTF-16 code units. */
const MAX_TEXT_LENGTH = 4_194_304;

/** Whether a stream is longer than any response. */
export function isTokenStreamTooLong(
  { tokens, textLength }: {
    tokens: number;
    /** Of all its tokens, in UTF-16 code units. */
    textLength: number;
  },
): boolean {
  return tokens > MAX_TOKENS || textLength > MAX_TEXT_LENGTH;
}
