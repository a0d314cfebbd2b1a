/**
 * Amounts in headers.
 *
 * @module
 */

/** A decimal number that is not negative; undefined for any other text. */
export function parseAmount(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const amount = Number(text);
  return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}
