/**
 * Result storage of the endpoints of one stage pool, as its dispatcher accounts
 * for it: bytes reserved for calls in progress, and bytes of stored results.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** A result that is stored at the endpoint that computed it. */
export interface StoredResult {
  /** Key of the endpoint's incarnation; the result is lost when that ends. */
  producer: string;
  bytes: number;
  createdAt: Millis;
  /** Time at which the endpoint discards the result if it is not released. */
  expiresAt: Millis;
}

/** Bytes of result storage in use at each endpoint. */
export interface ResultStorage {
  /** Changes the bytes in use by reserved pieces; negative to cancel them. */
  addUsed(producer: string, bytes: number): void;
  /** Records the result of a reserved piece; its bytes stay in use. */
  add(result: string, stored: StoredResult): void;
  /** Removes a result and its bytes. Idempotent. */
  remove(result: string): void;
  /**
   * Removes expired results. An entry that crashed releases nothing, so its
   * results are stored until they expire.
   */
  removeExpired(now: Millis): void;
  readUsed(producer: string): number;
  /** Returns the age of the oldest result stored at an endpoint. */
  readOldestAge(producer: string, now: Millis): Millis;
}

/** Creates the accounts of endpoints that store nothing. */
export function createResultStorage(): ResultStorage {
  const used = new Map<string, number>();
  const stored = new Map<string, StoredResult>();

  function addUsed(producer: string, bytes: number): void {
    const left = readUsed(producer) + bytes;
    if (left > 0) used.set(producer, left);
    else used.delete(producer);
  }

  function remove(result: string): void {
    const known = stored.get(result);
    if (known === undefined) return;
    stored.delete(result);
    addUsed(known.producer, -known.bytes);
  }

  function removeExpired(now: Millis): void {
    for (const [result, { expiresAt }] of stored) {
      if (expiresAt <= now) remove(result);
    }
  }

  function readUsed(producer: string): number {
    return used.get(producer) ?? 0;
  }

  function readOldestAge(producer: string, now: Millis): Millis {
    const times = [...stored.values()]
      .filter((result) => result.producer === producer)
      .map(({ createdAt }) => createdAt);
    return now - Math.min(now, ...times);
  }

  return {
    addUsed,
    add(result, details) {
      // An endpoint that restarted may name a result like one before; the bytes
      // of that one would never be subtracted.
      if (stored.get(result)?.producer !== details.producer) remove(result);
      stored.set(result, details);
    },
    remove,
    removeExpired,
    readUsed,
    readOldestAge,
  };
}
