/**
 * The members that do what many others need: on the smallest instances of a
 * mixed fleet it would take all of their processor, and make everybody late.
 *
 * @module
 */

/** Members with this share of the largest capacity do as well. */
const STRONG_SHARE = 0.6;

/** The members whose capacity is near the largest. */
export function listStrong<T>(
  members: readonly T[],
  readCapacity: (member: T) => number,
): T[] {
  const largest = Math.max(0, ...members.map(readCapacity));
  return members.filter((member) =>
    readCapacity(member) >= STRONG_SHARE * largest
  );
}
