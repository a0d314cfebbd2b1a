/**
 * Decides which pieces of stage work go together into one call, when, and to
 * which endpoint.
 *
 * A call costs a fixed time whatever it holds, so under load calls must be full.
 * While an endpoint is free nothing waits for company: pieces gather by
 * themselves while all endpoints are busy.
 *
 * What can still meet its objective goes first, then by priority, then what is
 * due first: in a burst, first come first served makes everybody late. An
 * endpoint holds results until they are freed, so room binds as often as time.
 * Requests of which some pieces are made go before others, and a request begins
 * only where all its pieces have room: half-made ones would fill the room with
 * results that nobody can use yet.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { listNearWaiting } from "./near_place.ts";
import type { FlowForecast, PieceWaits } from "./piece_flow.ts";
import type { BatchSpec } from "./serving_config.ts";

/** The pieces of one stage of one request. */
export interface PieceGroup {
  /** Pieces that are in a call or made. */
  started: number;
}

/** One piece of work that waits for a call. */
export interface WaitingPiece {
  readonly group: PieceGroup;
  /** 0 is the highest. */
  priority: number;
  /** After this time its request misses its latency objective. */
  onTimeAt: Millis;
  /** After this time its result is of no use. */
  dueAt: Millis;
  /** Where its inputs lie, or its result will be fetched to. */
  place: string | undefined;
  resultBytes: number;
  /** What crosses between places if it is made in another place than its own. */
  movedBytes: number;
  /** Endpoints that failed it already. */
  avoid: ReadonlySet<string>;
  /**
   * Endpoints ended under calls with it, so it shares its next call with pieces
   * of its own request only: either it completes there, or it is the cause.
   */
  readonly isAlone?: boolean;
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
  /** When its calls in progress are expected to end. */
  readonly freeAt: Millis;
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
  /**
   * Takes out the pieces that cannot be finished in time behind those before
   * them: whoever waits for them learns at once, and not at the deadline.
   */
  dropLate(now: Millis, forecast: FlowForecast): P[];
  /** Takes out the pieces of the next call, if one can be made now. */
  planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
    options: { now: Millis; isStrained: boolean },
  ): PlannedCall<P, E> | undefined;
  /** Expected times until a new piece of this priority is in a call. */
  estimateWaits(
    priority: number,
    { now, forecast }: { now: Millis; forecast: FlowForecast },
  ): PieceWaits;
}

/** An endpoint this many times slower than the fastest free one waits. */
const SLOW_FACTOR = 2.5;

/** Creates an empty batcher; the specification is read anew for each call. */
export function createPieceBatcher<P extends WaitingPiece>(
  readSpec: () => BatchSpec,
): PieceBatcher<P> {
  let waiting: P[] = [];

  function add(piece: P): void {
    waiting.push(piece);
  }

  /** Lateness and started groups change with time, so the order does. */
  function refreshOrder(now: Millis, spec: BatchSpec): void {
    const ranked = waiting.map((piece) => ({
      piece,
      late: isLate(piece, { now, spec }),
    }));
    ranked.sort((a, b) =>
      Number(a.late) - Number(b.late) || comparePieces(a.piece, b.piece)
    );
    waiting = ranked.map(({ piece }) => piece);
  }

  function remove(piece: P): void {
    const index = waiting.indexOf(piece);
    if (index >= 0) waiting.splice(index, 1);
  }

  function dropLate(now: Millis, forecast: FlowForecast): P[] {
    const spec = readSpec();
    const { callTime, pieceTime } = spec;
    refreshOrder(now, spec);
    const hopeless: P[] = [];
    const kept: P[] = [];
    for (const piece of waiting) {
      const wait = isLate(piece, { now, spec })
        ? forecast.estimateLate(kept.length)
        : forecast.estimateOnTime(kept.length, piece.priority);
      const isHopeless = now + wait + callTime + pieceTime > piece.dueAt;
      (isHopeless ? hopeless : kept).push(piece);
    }
    waiting = kept;
    return hopeless;
  }

  function planCall<E extends BatchEndpoint>(
    endpoints: readonly E[],
    { now, isStrained }: { now: Millis; isStrained: boolean },
  ): PlannedCall<P, E> | undefined {
    const spec = readSpec();
    const free = endpoints.filter(({ calls }) => calls < spec.slots);
    if (free.length === 0) return undefined;
    refreshOrder(now, spec);
    const nearWaiting = listNearWaiting(waiting, { endpoints, now, spec });
    for (const first of waiting) {
      const isNearFree = free.some(({ info }) => info.place === first.place);
      if (!isNearFree && nearWaiting.has(first)) continue;
      const endpoint = chooseEndpoint(first, { free, spec });
      if (endpoint === undefined) continue;
      const mayWait = (piece: P) =>
        piece.place !== endpoint.info.place && nearWaiting.has(piece);
      const pieces = choosePieces(first, {
        endpoint,
        mayWait,
        isStrained,
        spec,
      });
      const chosen = new Set(pieces);
      waiting = waiting.filter((piece) => !chosen.has(piece));
      for (const { group } of pieces) group.started++;
      return { endpoint, pieces };
    }
    return undefined;
  }

  /** Room for a piece: for all of its group if that has not begun. */
  function sumNeeded(piece: P): number {
    const { group, resultBytes } = piece;
    if (group.started > 0) return resultBytes;
    return waiting.filter((other) => other.group === group)
      .reduce((sum, other) => sum + other.resultBytes, 0);
  }

  function hasRoom(
    piece: P,
    { roomTaken, roomLeft }: { roomTaken: number; roomLeft: number },
  ): boolean {
    // A group that is larger than an empty endpoint begins all the same.
    if (roomTaken === 0) return piece.resultBytes <= roomLeft;
    return sumNeeded(piece) <= roomLeft;
  }

  /** Results travel to the engine: its own place first, then the most room. */
  function chooseEndpoint<E extends BatchEndpoint>(
    piece: P,
    { free, spec }: { free: readonly E[]; spec: BatchSpec },
  ): E | undefined {
    const fitting = listFast(
      free.filter(({ info, roomTaken }) =>
        !piece.avoid.has(info.id) &&
        hasRoom(piece, { roomTaken, roomLeft: spec.roomBytes - roomTaken })
      ),
    );
    const near = fitting.filter(({ info }) => info.place === piece.place);
    return findEmptiest(near.length > 0 ? near : fitting);
  }

  /**
   * Fills a call. What had better be made in its own place waits for that, but
   * not while all endpoints are busy: a place that stays free in a call is lost.
   */
  function choosePieces(
    first: P,
    { endpoint, mayWait, isStrained, spec }: {
      endpoint: BatchEndpoint;
      mayWait: (piece: P) => boolean;
      isStrained: boolean;
      spec: BatchSpec;
    },
  ): P[] {
    const chosen = new Set([first]);
    const begun = new Set([first.group]);
    let roomTaken = endpoint.roomTaken + first.resultBytes;

    function addFitting(pieces: readonly P[]): void {
      for (const piece of pieces) {
        if (chosen.size >= spec.maxPieces) return;
        if (!mayShareCall(first, piece)) continue;
        if (chosen.has(piece) || piece.avoid.has(endpoint.info.id)) continue;
        const roomLeft = spec.roomBytes - roomTaken;
        const fits = begun.has(piece.group)
          ? piece.resultBytes <= roomLeft
          : hasRoom(piece, { roomTaken, roomLeft });
        if (!fits) continue;
        begun.add(piece.group);
        roomTaken += piece.resultBytes;
        chosen.add(piece);
      }
    }

    addFitting(waiting.filter((piece) => !mayWait(piece)));
    if (isStrained) addFitting(waiting);
    return [...chosen];
  }

  function estimateWaits(
    priority: number,
    { now, forecast }: { now: Millis; forecast: FlowForecast },
  ): PieceWaits {
    const spec = readSpec();
    const ahead = waiting.filter((piece) =>
      piece.priority <= priority && !isLate(piece, { now, spec })
    );
    return {
      onTime: forecast.estimateOnTime(ahead.length, priority),
      late: forecast.estimateLate(waiting.length),
      growth: forecast.estimateGrowth(priority),
    };
  }

  return {
    get size() {
      return waiting.length;
    },
    add,
    remove,
    dropLate,
    planCall,
    estimateWaits,
  };
}

function mayShareCall(first: WaitingPiece, other: WaitingPiece): boolean {
  const isAnyAlone = first.isAlone === true || other.isAlone === true;
  return !isAnyAlone || first.group === other.group;
}

/** Whether a call that starts now is too late for the objective. */
function isLate(
  { onTimeAt }: WaitingPiece,
  { now, spec }: { now: Millis; spec: BatchSpec },
): boolean {
  return now + spec.callTime + spec.pieceTime > onTimeAt;
}

function comparePieces(a: WaitingPiece, b: WaitingPiece): number {
  const byStart = Number(b.group.started > 0) - Number(a.group.started > 0);
  return a.priority - b.priority || byStart || a.onTimeAt - b.onTimeAt;
}

/** Leaves out what is far slower than the fastest; never leaves nothing. */
function listFast<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const fastest = Math.min(...endpoints.map(({ slowness }) => slowness));
  return endpoints.filter(({ slowness }) => slowness <= SLOW_FACTOR * fastest);
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
