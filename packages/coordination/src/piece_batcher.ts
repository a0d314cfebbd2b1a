/**
 * Decides which pieces of stage work go together into one call, when, and to
 * which endpoint.
 *
 * A call costs a fixed time whatever it holds, so under load calls must be full.
 * While an endpoint is free nothing waits for company: pieces gather by
 * themselves while all endpoints are busy. Pieces go by priority, then by what
 * is due first. An endpoint holds results until they are freed; a call that
 * would not fit its room is not sent, and pieces with small results overtake.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import type { BatchSpec } from "./serving_config.ts";

/** One piece of work that waits for a call. */
export interface WaitingPiece {
  /** 0 is the highest. */
  priority: number;
  /** After this time its result is of no use. */
  dueAt: Millis;
  /** Where its result will be fetched to, if that is known. */
  place: string | undefined;
  resultBytes: number;
  /** Endpoints that failed it already. */
  avoid: ReadonlySet<string>;
}

/** What the batcher knows of an endpoint. */
export interface BatchEndpoint {
  readonly info: EndpointInfo;
  /** Calls in progress there. */
  readonly calls: number;
  /** Bytes of results that it holds or is about to. */
  readonly roomTaken: number;
  /** How slow it is against what is expected; 1 is normal. */
  readonly slowness: number;
}

/** One call to make. */
export interface PlannedCall<P, E> {
  endpoint: E;
  pieces: P[];
}

/** The pieces that wait at one feeder for endpoints of one pool. */
export interface PieceBatcher<P extends WaitingPiece> {
  readonly size: number;
  add(piece: P): void;
  remove(piece: P): void;
  /** Takes out the pieces that no call started now could finish in time. */
  dropLate(now: Millis): P[];
  /** Takes out the pieces of the next call, if one can be made now. */
  planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
  ): PlannedCall<P, E> | undefined;
  /** Expected time until a new piece of this priority is in a call. */
  estimateWait(priority: number, endpointCount: number): Millis;
}

/** An endpoint this many times slower than the fastest free one waits. */
const SLOW_FACTOR = 2.5;

/** Creates an empty batcher; the specification is read anew for each call. */
export function createPieceBatcher<P extends WaitingPiece>(
  readSpec: () => BatchSpec,
): PieceBatcher<P> {
  /** In the order in which they go. */
  let waiting: P[] = [];

  function add(piece: P): void {
    const index = waiting.findIndex((other) => comparePieces(piece, other) < 0);
    if (index < 0) waiting.push(piece);
    else waiting.splice(index, 0, piece);
  }

  function remove(piece: P): void {
    const index = waiting.indexOf(piece);
    if (index >= 0) waiting.splice(index, 1);
  }

  function dropLate(now: Millis): P[] {
    const { callTime, pieceTime } = readSpec();
    const isLate = (piece: P) => now + callTime + pieceTime > piece.dueAt;
    const late = waiting.filter(isLate);
    if (late.length > 0) waiting = waiting.filter((piece) => !isLate(piece));
    return late;
  }

  function planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
  ): PlannedCall<P, E> | undefined {
    const spec = readSpec();
    const free = listFast(endpoints.filter(({ calls }) => calls < spec.slots));
    for (const first of waiting) {
      const endpoint = chooseEndpoint(first, { free, spec });
      if (endpoint === undefined) continue;
      const pieces = choosePieces(first, { endpoint, spec });
      const chosen = new Set(pieces);
      waiting = waiting.filter((piece) => !chosen.has(piece));
      return { endpoint, pieces };
    }
    return undefined;
  }

  function choosePieces(
    first: P,
    { endpoint, spec }: { endpoint: BatchEndpoint; spec: BatchSpec },
  ): P[] {
    const chosen = [first];
    let roomLeft = spec.roomBytes - endpoint.roomTaken - first.resultBytes;
    for (const piece of waiting) {
      if (chosen.length >= spec.maxPieces) break;
      if (piece === first || piece.resultBytes > roomLeft) continue;
      if (piece.avoid.has(endpoint.info.id)) continue;
      roomLeft -= piece.resultBytes;
      chosen.push(piece);
    }
    return chosen;
  }

  function estimateWait(priority: number, endpointCount: number): Millis {
    if (endpointCount === 0) return Infinity;
    const { callTime, pieceTime, maxPieces, slots } = readSpec();
    const ahead = waiting.filter((piece) => piece.priority <= priority).length;
    const fullCall = callTime + maxPieces * pieceTime;
    return ahead * fullCall / (maxPieces * slots * endpointCount);
  }

  return {
    get size() {
      return waiting.length;
    },
    add,
    remove,
    dropLate,
    planCall,
    estimateWait,
  };
}

function comparePieces(a: WaitingPiece, b: WaitingPiece): number {
  return a.priority - b.priority || a.dueAt - b.dueAt;
}

/** Leaves out what is far slower than the fastest; never leaves nothing. */
function listFast<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const fastest = Math.min(...endpoints.map(({ slowness }) => slowness));
  return endpoints.filter(({ slowness }) => slowness <= SLOW_FACTOR * fastest);
}

/** Results travel to the engine: its own place first, then the most room. */
function chooseEndpoint<E extends BatchEndpoint>(
  piece: WaitingPiece,
  { free, spec }: { free: readonly E[]; spec: BatchSpec },
): E | undefined {
  const fitting = free.filter(({ info, roomTaken }) =>
    roomTaken + piece.resultBytes <= spec.roomBytes && !piece.avoid.has(info.id)
  );
  const near = fitting.filter(({ info }) => info.place === piece.place);
  return findEmptiest(near.length > 0 ? near : fitting);
}

function findEmptiest<E extends BatchEndpoint>(
  endpoints: readonly E[],
): E | undefined {
  return endpoints.reduce<E | undefined>(
    (best, endpoint) =>
      best === undefined || endpoint.roomTaken < best.roomTaken
        ? endpoint
        : best,
    undefined,
  );
}
