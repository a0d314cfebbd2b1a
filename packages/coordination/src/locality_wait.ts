/**
 * Delay scheduling: decides which pieces wait for an endpoint in their own
 * place, where their inputs are or their results will be fetched to.
 *
 * Transferring megabytes between places costs more than a short wait. The queue
 * of a place counts, however: with half of the pieces bound to one place, its
 * endpoint would have a queue of a second while others are idle, and requests
 * would be late.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { BatchEndpoint, WaitingPiece } from "./piece_batcher.ts";
import type { BatchSpec } from "./serving_config.ts";
import { computeFullCall } from "./serving_config.ts";

/**
 * Transfers of at least this many bytes justify waiting for a local endpoint.
 */
export const LARGE_TRANSFER = 200_000;

interface PlaceQueue {
  freeAt: Millis;
  endpoints: number;
  /** Pieces that wait for this place ahead of the next one. */
  ahead: number;
  /** Ratio of measured to expected call time of its fastest endpoint. */
  timeRatio: number;
}

/**
 * Returns the pieces that may wait for their own place; `waiting` is in order.
 */
export function listLocalityWaiting<P extends WaitingPiece>(
  waiting: readonly P[],
  { endpoints, now, spec, isPoolUneven }: {
    endpoints: readonly BatchEndpoint[];
    now: Millis;
    spec: BatchSpec;
    /** Whether the endpoints differ in speed; otherwise ratios are ignored. */
    isPoolUneven: boolean;
  },
): Set<P> {
  const places = createPlaceQueues(endpoints);
  const chosen = new Set<P>();
  for (const piece of waiting) {
    const queue = places.get(piece.place ?? "");
    if (queue === undefined || piece.movedBytes < LARGE_TRANSFER) continue;
    const fullCall = (isPoolUneven ? queue.timeRatio : 1) *
      computeFullCall(spec);
    const perRound = queue.endpoints * spec.slots * spec.maxPieces;
    const rounds = Math.floor(queue.ahead / perRound);
    const startsAt = Math.max(now, queue.freeAt) + rounds * fullCall;
    if (startsAt + fullCall >= piece.objectiveAt) continue;
    queue.ahead++;
    chosen.add(piece);
  }
  return chosen;
}

function createPlaceQueues(
  endpoints: readonly BatchEndpoint[],
): Map<string, PlaceQueue> {
  const places = new Map<string, PlaceQueue>();
  for (const { info, freeAt, timeRatio = 1 } of endpoints) {
    const known = places.get(info.place);
    places.set(info.place, {
      freeAt: Math.min(known?.freeAt ?? Infinity, freeAt),
      endpoints: (known?.endpoints ?? 0) + 1,
      ahead: 0,
      timeRatio: Math.min(known?.timeRatio ?? Infinity, timeRatio),
    });
  }
  return places;
}
