/**
 * The room for results at the endpoints of one stage pool, as its feeder counts
 * it: what was reserved for calls in progress, and the results that are kept.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** A result at its maker. */
export interface HeldResult {
  /** The key of the endpoint's incarnation: its results end with it. */
  maker: string;
  bytes: number;
  /** When it was made. */
  madeAt: Millis;
  /** When its maker drops it if nobody frees it. */
  lapsesAt: Millis;
}

/** The room that is taken at each endpoint, in bytes. */
export interface MakerRoom {
  /** Changes what is reserved for calls in progress. */
  addTaken(maker: string, bytes: number): void;
  /** A reserved piece was made: its bytes stay until they are dropped. */
  hold(result: string, held: HeldResult): void;
  drop(result: string): void;
  /** An entry that died frees nothing; its results lapse at their makers. */
  dropLapsed(now: Millis): void;
  readTaken(maker: string): number;
  /** The age of the oldest result that is kept at an endpoint. */
  readOldest(maker: string, now: Millis): Millis;
}

/** Creates the room of endpoints that keep nothing. */
export function createMakerRoom(): MakerRoom {
  const taken = new Map<string, number>();
  const held = new Map<string, HeldResult>();

  function addTaken(maker: string, bytes: number): void {
    const left = readTaken(maker) + bytes;
    if (left > 0) taken.set(maker, left);
    else taken.delete(maker);
  }

  function drop(result: string): void {
    const known = held.get(result);
    if (known === undefined) return;
    held.delete(result);
    addTaken(known.maker, -known.bytes);
  }

  function dropLapsed(now: Millis): void {
    for (const [result, { lapsesAt }] of held) {
      if (lapsesAt <= now) drop(result);
    }
  }

  function readTaken(maker: string): number {
    return taken.get(maker) ?? 0;
  }

  function readOldest(maker: string, now: Millis): Millis {
    const times = [...held.values()]
      .filter((result) => result.maker === maker)
      .map(({ madeAt }) => madeAt);
    return now - Math.min(now, ...times);
  }

  return {
    addTaken,
    hold: (result, kept) => void held.set(result, kept),
    drop,
    dropLapsed,
    readTaken,
    readOldest,
  };
}
