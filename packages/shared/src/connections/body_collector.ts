/**
 * Collects a body. Small parts are copied into blocks, as each would take
 * hundreds of bytes as an object of its own.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Collects one body. */
export interface BodyCollector {
  /** Adds a part; returns the bytes of memory that were taken for it. */
  add(part: Buffer): number;
  /** Returns the parts as one. */
  join(): Buffer;
  clear(): void;
}

/** Smaller parts are copied. */
const MIN_KEPT_BYTES = 4_096;
const BLOCK_BYTES = 16_384;
const EMPTY = Buffer.alloc(0);

/** Creates the collector of one body. */
export function createBodyCollector(): BodyCollector {
  let parts: Buffer[] = [];
  /** The unused rest of the last block. */
  let free: Buffer = EMPTY;
  /** Bytes at its begin that are not in the parts yet. */
  let used = 0;

  function closeBlock(): void {
    if (used === 0) return;
    parts.push(free.subarray(0, used));
    free = free.subarray(used);
    used = 0;
  }

  function storePart(part: Buffer): number {
    let taken = 0;
    if (free.length - used < part.length) {
      closeBlock();
      free = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      taken = BLOCK_BYTES;
    }
    used += part.copy(free, used);
    return taken;
  }

  return {
    add(part) {
      const isKept = part.length >= MIN_KEPT_BYTES ||
        (parts.length === 0 && used === 0);
      if (!isKept) return storePart(part);
      closeBlock();
      parts.push(part);
      return part.length;
    },
    join() {
      closeBlock();
      return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    },
    clear() {
      parts = [];
      free = EMPTY;
      used = 0;
    },
  };
}
