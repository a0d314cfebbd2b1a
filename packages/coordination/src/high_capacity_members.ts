/**
 * Selects the members that take shared duties. On the smallest instances of a
 * mixed fleet these would use up the CPU and delay all requests.
 *
 * @module
 */

/** Minimum capacity, as a share of the largest. */
export const MIN_CAPACITY_SHARE = 0.6;

/** Returns the members whose capacity is near the largest. */
export function listHighCapacity<T>(
  members: readonly T[],
  readCapacity: (member: T) => number,
): T[] {
  const largest = Math.max(0, ...members.map(readCapacity));
  return members.filter((member) =>
    readCapacity(member) >= MIN_CAPACITY_SHARE * largest
  );
}
