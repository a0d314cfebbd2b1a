/**
 * Pieces and endpoints for tests of the batcher.
 *
 * @module
 */
import type { BatchEndpoint, WaitingPiece } from "./piece_batcher.ts";
import type { BatchSpec } from "./serving_config.ts";

/** The specification of a pool in which a full call takes 300 ms. */
export const SPEC: BatchSpec = {
  slots: 1,
  maxPieces: 4,
  callTime: 200,
  pieceTime: 25,
  storageBytes: 1_000,
  resultLifetime: 4_000,
};

/** A piece that a test names in its expectations. */
export interface NamedPiece extends WaitingPiece {
  name: string;
}

/** Creates a piece with time to its objective and its deadline. */
export function createPiece(
  name: string,
  change: Partial<WaitingPiece> = {},
): NamedPiece {
  return {
    name,
    group: { started: 0 },
    priority: 1,
    objectiveAt: 5_000,
    deadlineAt: 10_000,
    place: undefined,
    resultBytes: 10,
    movedBytes: 0,
    excluded: new Set(),
    ...change,
  };
}

/** Creates a free endpoint, in a place of its own. */
export function createEndpoint(
  id: string,
  change: Partial<BatchEndpoint> = {},
): BatchEndpoint {
  const info = {
    id,
    incarnation: "1",
    pool: "p",
    place: id,
    address: id,
    state: "live",
  } as const;
  return { info, calls: 0, roomTaken: 0, slowdown: 1, freeAt: 0, ...change };
}
