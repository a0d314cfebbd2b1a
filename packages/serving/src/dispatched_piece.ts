/**
 * Pieces as their feeder keeps them, from the run that brings them to their
 * outcome.
 *
 * @module
 */
import type { PieceGroup, WaitingPiece } from "@mangoreach/coordination";
import type { PieceOrder, PieceOutcome, PieceRun } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import type { CalledPiece } from "./serving_handles.ts";

/** The pieces of one stage of one request at its feeder. */
export interface FeederGroup extends PieceGroup {
  readonly pieces: FeederPiece[];
  /** When the last call with pieces of it began. */
  lastCallAt: Millis;
  readonly ownsInputs: boolean;
  freedInputs: boolean;
  /** Endpoints that ended during calls with its pieces. */
  readonly ends: GroupEnd[];
}

/** An endpoint that ended during a call with pieces of a group. */
export interface GroupEnd {
  endpointKey: string;
  sentAt: Millis;
  endedAt: Millis;
}

/**
 * One end may have any cause, and calls of one request each would cost the pool
 * a call's time for every request that was there; a second end under the same
 * pieces has its cause among them.
 */
const ENDS_TO_PART = 2;

/** Why a piece is not made. */
export type FailReason = Extract<PieceOutcome, { kind: "failed" }>["reason"];

/** One of them. */
export interface FeederPiece extends WaitingPiece {
  readonly group: FeederGroup;
  order: CalledPiece;
  avoid: Set<string>;
  attempts: number;
  isCancelled: boolean;
  /** Where its result lies once it is made. */
  result: string | undefined;
  /** Tells who asked for it; later outcomes are left out. */
  settle(outcome: PieceOutcome): void;
}

/** Creates the group of a run, without pieces. */
export function createFeederGroup({ ownsInputs }: PieceRun): FeederGroup {
  return {
    started: 0,
    pieces: [],
    lastCallAt: 0,
    ownsInputs,
    freedInputs: false,
    ends: [],
  };
}

/** Adds a piece to its group; the outcome comes when it is settled. */
export function createFeederPiece(
  group: FeederGroup,
  { request, order, now }: {
    request: PieceRun;
    order: PieceOrder;
    now: Millis;
  },
): { piece: FeederPiece; outcome: Promise<PieceOutcome> } {
  let settle: (outcome: PieceOutcome) => void = () => {};
  const outcome = new Promise<PieceOutcome>((resolve) => settle = resolve);
  const piece: FeederPiece = {
    priority: request.priority,
    group,
    onTimeAt: now + request.onTime,
    dueAt: now + request.remaining,
    place: request.place,
    resultBytes: request.resultBytes,
    movedBytes: request.movedBytes,
    avoid: new Set(),
    order: { ...order, requestId: request.requestId, remaining: 0 },
    attempts: 0,
    isCancelled: false,
    result: undefined,
    get isAlone() {
      return group.ends.length >= ENDS_TO_PART;
    },
    settle,
  };
  group.pieces.push(piece);
  return { piece, outcome };
}

/** Each request in a call once, with what its pieces are made from. */
export function listGroups(pieces: readonly FeederPiece[]) {
  const sources = new Map(
    pieces.map(({ group, order }) => [group, order.source]),
  );
  return [...sources].map(([group, source]) => ({ group, source }));
}
