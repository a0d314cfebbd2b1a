/**
 * Bounds the bytes of answers, or of bodies, that one process holds at a time.
 * Each has a limit of its own, but many at once may exceed the memory of an
 * instance.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** The bytes of one answer. */
export interface HeldPart {
  /** Adds bytes that were read; may end this part or others. */
  add(bytes: number): void;
  /** Replaces the bytes held so far; may end this part or others. */
  set(bytes: number): void;
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
  addedAt: Millis;
  onEnded: () => void;
}

/** Options of {@linkcode createHeldBytes}. */
export interface HeldBytesOptions {
  clock: Clock;
  /** Parts without new bytes for this long are ended first. */
  stallTime: Millis;
  /** Whether a part may exceed the bound while it is the only one. */
  mayExceedAlone: boolean;
}

/** Creates the account of a process that holds nothing. */
export function createHeldBytes(
  max: number,
  options?: HeldBytesOptions,
): HeldBytes {
  const parts = new Set<Part>();
  let size = 0;

  function remove(part: Part): void {
    if (parts.delete(part)) size -= part.bytes;
  }

  /** The largest one is the least likely to be an answer. */
  function endLargest(adding: Part): void {
    const largest = findStalled() ?? findLargest(adding);
    remove(largest);
    largest.onEnded();
  }

  function findLargest(adding: Part): Part {
    let largest = adding;
    for (const part of parts) {
      if (!part.isKept && part.bytes > largest.bytes) largest = part;
    }
    return largest;
  }

  /** The largest one without new bytes. */
  function findStalled(): Part | undefined {
    if (options === undefined) return undefined;
    const since = options.clock.now() - options.stallTime;
    let stalled: Part | undefined;
    for (const part of parts) {
      if (part.isKept || part.addedAt > since) continue;
      if (part.bytes > (stalled?.bytes ?? 0)) stalled = part;
    }
    return stalled;
  }

  function mayExceed(part: Part): boolean {
    return options?.mayExceedAlone === true && part.bytes === size;
  }

  function updatePart(part: Part, bytes: number): void {
    if (!parts.has(part)) return;
    part.bytes += bytes;
    part.addedAt = options?.clock.now() ?? 0;
    size += bytes;
    while (size > max && parts.has(part) && !mayExceed(part)) endLargest(part);
  }

  return {
    get size() {
      return size;
    },
    open(onEnded) {
      const part: Part = { bytes: 0, isKept: false, addedAt: 0, onEnded };
      parts.add(part);
      return {
        add: (bytes) => updatePart(part, bytes),
        set: (bytes) => updatePart(part, bytes - part.bytes),
        keep() {
          part.isKept = true;
        },
        release: () => remove(part),
      };
    },
  };
}
