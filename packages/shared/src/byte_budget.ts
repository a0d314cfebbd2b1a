/**
 * Bounds the bytes that many tasks of one process hold together.
 *
 * @module
 */

/** A budget of bytes. */
export interface ByteBudget {
  /**
   * Takes bytes, and returns whether there were enough; whoever comes first takes
   * any number.
   */
  acquire(bytes: number): boolean;
  release(bytes: number): void;
}

/** Creates a budget of which nothing is in use. */
export function createByteBudget(max: number): ByteBudget {
  let used = 0;
  return {
    acquire(bytes) {
      if (used > 0 && used + bytes > max) return false;
      used += bytes;
      return true;
    },
    release(bytes) {
      used -= bytes;
    },
  };
}
