/**
 * Parses amounts in headers.
 *
 * @module
 */

/** Parses a non-negative decimal number; undefined for any other text. */
export function parseAmount(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const amount = Number(text);
  return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}
