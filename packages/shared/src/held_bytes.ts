/**
 * Bounds the bytes of answers that one process holds at a time. Each answer has a
 * limit of its own, but many at once may exceed the memory of an instance.
 *
 * @module
 */

/** The bytes of one answer. */
export interface HeldPart {
  /** Adds bytes that were read; may end this part or others. */
  add(bytes: number): void;
  /** Whoever holds the bytes now cannot be ended. */
  keep(): void;
  /** Gives the bytes back. */
  release(): void;
}

/** The bytes of all answers that are held. */
export interface HeldBytes {
  /** The bytes held now. */
  readonly size: number;
  /** Opens a part; `onEnded` is called if it has to give its bytes back. */
  open(onEnded: () => void): HeldPart;
}

interface Part {
  bytes: number;
  isKept: boolean;
  onEnded: () => void;
}

/** Creates the account of a process that holds nothing. */
export function createHeldBytes(max: number): HeldBytes {
  const parts = new Set<Part>();
  let size = 0;

  function remove(part: Part): void {
    if (parts.delete(part)) size -= part.bytes;
  }

  /** The largest one is the least likely to be an answer. */
  function endLargest(adding: Part): void {
    let largest = adding;
    for (const part of parts) {
      if (!part.isKept && part.bytes > largest.bytes) largest = part;
    }
    remove(largest);
    largest.onEnded();
  }

  return {
    get size() {
      return size;
    },
    open(onEnded) {
      const part: Part = { bytes: 0, isKept: false, onEnded };
      parts.add(part);
      return {
        add(bytes) {
          if (!parts.has(part)) return;
          part.bytes += bytes;
          size += bytes;
          while (size > max && parts.has(part)) endLargest(part);
        },
        keep() {
          part.isKept = true;
        },
        release: () => remove(part),
      };
    },
  };
}
