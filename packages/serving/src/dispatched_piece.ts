/**
 * Pieces in a dispatcher, from the run that submits them to their outcome.
 *
 * @module
 */
import type { PieceGroup, WaitingPiece } from "@mangoreach/coordination";
import type { PieceOrder, PieceOutcome, PieceRun } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import type { CalledPiece } from "./platform_interfaces.ts";

/** The pieces of one stage of one request in a dispatcher. */
export interface DispatchedGroup extends PieceGroup {
  readonly pieces: DispatchedPiece[];
  /** Start of the last call with pieces of the group. */
  lastCallAt: Millis;
  readonly ownsInputs: boolean;
  freedInputs: boolean;
  /** Endpoint crashes during calls with pieces of the group. */
  readonly ends: ObservedCrash[];
}

/** An endpoint that crashed during a call with pieces of a group. */
export interface ObservedCrash {
  endpointKey: string;
  sentAt: Millis;
  endedAt: Millis;
}

/**
 * Crashes after which a group is isolated, that is, called without pieces of
 * other requests. A single crash can have any cause, and isolating its groups
 * would cost the pool one call for each request in the failed call. A second
 * crash during calls with the same pieces is attributed to them.
 */
const MIN_CRASHES_TO_ISOLATE = 2;

/** Why a piece failed. */
export type FailureReason = Extract<PieceOutcome, { kind: "failed" }>["reason"];

/** A piece in a dispatcher. */
export interface DispatchedPiece extends WaitingPiece {
  readonly group: DispatchedGroup;
  order: CalledPiece;
  excluded: Set<string>;
  attempts: number;
  isCancelled: boolean;
  /** Address of the result once the piece is computed. */
  result: string | undefined;
  /** Resolves the outcome of the piece; later outcomes are ignored. */
  resolve(outcome: PieceOutcome): void;
}

/** Creates the empty group of a run. */
export function createDispatchedGroup(
  { ownsInputs }: PieceRun,
): DispatchedGroup {
  return {
    started: 0,
    pieces: [],
    lastCallAt: 0,
    ownsInputs,
    freedInputs: false,
    ends: [],
  };
}

/** Adds a piece to a group; returns it with the promise of its outcome. */
export function createDispatchedPiece(
  group: DispatchedGroup,
  { request, order, now }: {
    request: PieceRun;
    order: PieceOrder;
    now: Millis;
  },
): { piece: DispatchedPiece; outcome: Promise<PieceOutcome> } {
  let resolve: (outcome: PieceOutcome) => void = () => {};
  const outcome = new Promise<PieceOutcome>((done) => resolve = done);
  const piece: DispatchedPiece = {
    account: request.account,
    priority: request.priority,
    group,
    objectiveAt: now + request.onTime,
    deadlineAt: now + request.remaining,
    place: request.place,
    resultBytes: request.resultBytes,
    movedBytes: request.movedBytes,
    excluded: new Set(),
    order: { ...order, requestId: request.requestId, remaining: 0 },
    attempts: 0,
    isCancelled: false,
    result: undefined,
    get isIsolated() {
      return group.ends.length >= MIN_CRASHES_TO_ISOLATE;
    },
    resolve,
  };
  group.pieces.push(piece);
  return { piece, outcome };
}

/** Lists the distinct groups in a call with the source of their inputs. */
export function listGroups(pieces: readonly DispatchedPiece[]) {
  const sources = new Map(
    pieces.map(({ group, order }) => [group, order.source]),
  );
  return [...sources].map(([group, source]) => ({ group, source }));
}
