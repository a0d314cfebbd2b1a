/**
 * Decides which pieces run at which endpoint of a pool whose endpoints differ
 * in speed.
 *
 * A piece that would miss its latency objective at a slow endpoint waits for a
 * faster one that still meets it; the slow endpoint runs pieces that have the
 * time. The fast endpoints have only so many positions in their next calls, so
 * pieces are assigned to them in order, and those without a position do not
 * wait.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { LARGE_TRANSFER } from "../locality_wait.ts";
import type {
  BatchEndpoint,
  PieceGroup,
  WaitingPiece,
} from "../piece_batcher.ts";
import type { BatchSpec } from "../serving_config.ts";
import { EQUAL_FACTOR } from "./endpoint_speeds.ts";

/** The choices for the next call of a pool whose endpoints differ in speed. */
export interface SpeedPlan<P, E> {
  /** Whether a piece waits for a faster endpoint rather than run at this one. */
  isWaiting(piece: P, endpoint: BatchEndpoint): boolean;
  /**
   * Lists the endpoints that serve a piece best: the fastest, or slower ones if
   * a piece with less time needs the fastest. A large transfer stays in its own
   * place where that meets the objective.
   */
  listSuitable(piece: P, endpoints: readonly E[]): readonly E[];
  /**
   * Whether a piece may be added to a call at a slow endpoint: not if the call
   * would then take too long for its pieces, and the others can be served
   * elsewhere soon.
   */
  mayAdd(
    piece: P,
    call: { endpoint: BatchEndpoint; chosen: ReadonlySet<P> },
  ): boolean;
}

/** What a plan is made for. */
export interface SpeedPlanOptions<E> {
  endpoints: readonly E[];
  now: Millis;
  spec: BatchSpec;
  isBacklogged: boolean;
}

/** Expected call times are multiplied by this, since calls vary by a tenth. */
const TIME_MARGIN = 1.1;
/**
 * Rounds of calls for which pieces are assigned. Those further back are ordered
 * again before their turn.
 */
const MAX_ROUNDS = 2;
/**
 * Calls are cut short only if the pieces left over are fewer than this share of
 * the positions in the next calls of the other endpoints.
 */
const MAX_LEFT_SHARE = 0.5;

/** Whether the endpoints differ in speed by more than calls vary. */
export function isUneven(endpoints: readonly BatchEndpoint[]): boolean {
  const ratios = endpoints.map(readRatio);
  return Math.max(...ratios) > EQUAL_FACTOR * Math.min(...ratios);
}

/** Returns the specification with the call times of the fastest endpoint. */
export function scaleToFastest(
  spec: BatchSpec,
  endpoints: readonly BatchEndpoint[],
): BatchSpec {
  const fastest = Math.min(...endpoints.map(readRatio));
  return {
    ...spec,
    callTime: fastest * spec.callTime,
    pieceTime: fastest * spec.pieceTime,
  };
}

function readRatio({ timeRatio = 1 }: BatchEndpoint): number {
  return timeRatio;
}

/** Positions of an endpoint in its next calls. */
interface EndpointQueue<E> {
  endpoint: E;
  startsAt: Millis;
  isFree: boolean;
  taken: number;
}

/** Creates the plan for `waiting`, which is in order. */
export function createSpeedPlan<
  P extends WaitingPiece,
  E extends BatchEndpoint,
>(
  waiting: readonly P[],
  { endpoints, now, spec, isBacklogged }: SpeedPlanOptions<E>,
): SpeedPlan<P, E> {
  const fastest = Math.min(...endpoints.map(readRatio));
  const perCall = Math.min(spec.maxPieces, waiting.length);
  const queues = endpoints.map((endpoint) =>
    createQueue(endpoint, { now, spec })
  );
  const groupBytes = sumGroupBytes(waiting);
  const assigned = listAssigned();

  function estimateTime(endpoint: BatchEndpoint, pieces: number): Millis {
    return TIME_MARGIN * readRatio(endpoint) *
      (spec.callTime + pieces * spec.pieceTime);
  }

  function isMet(
    { objectiveAt }: WaitingPiece,
    endpoint: BatchEndpoint,
    { pieces, startsAt }: { pieces: number; startsAt: Millis },
  ): boolean {
    return startsAt + estimateTime(endpoint, pieces) <= objectiveAt;
  }

  function isMetNow(piece: WaitingPiece, endpoint: BatchEndpoint): boolean {
    return isMet(piece, endpoint, { pieces: perCall, startsAt: now });
  }

  /** Lists the pieces for which an endpoint meets the objective. */
  function listAssigned(): Set<P> {
    const chosen = new Set<P>();
    let left = MAX_ROUNDS * endpoints.length * spec.slots * spec.maxPieces;
    for (const piece of waiting) {
      if (left-- <= 0) break;
      const queue = chooseQueue(piece);
      if (queue === undefined) continue;
      queue.taken++;
      chosen.add(piece);
    }
    return chosen;
  }

  /**
   * Chooses the slowest free endpoint that meets the piece's objective, or else
   * the endpoint that meets it first.
   */
  function chooseQueue(piece: P): EndpointQueue<E> | undefined {
    let slowestFree: EndpointQueue<E> | undefined;
    let first: EndpointQueue<E> | undefined;
    let firstEnd = piece.objectiveAt;
    for (const queue of queues) {
      const { endpoint, taken, isFree } = queue;
      if (!hasRoom(piece, endpoint)) continue;
      const rounds = Math.floor(taken / (spec.slots * spec.maxPieces));
      const time = estimateTime(endpoint, spec.maxPieces);
      const own = estimateTime(endpoint, perCall);
      const end = queue.startsAt + rounds * time + own;
      if (end > piece.objectiveAt) continue;
      if (end <= firstEnd) {
        first = queue;
        firstEnd = end;
      }
      if (!isFree || rounds > 0) continue;
      const isSlower = slowestFree === undefined ||
        readRatio(endpoint) > readRatio(slowestFree.endpoint);
      if (isSlower) slowestFree = queue;
    }
    return slowestFree ?? first;
  }

  /** A group begins only where there is storage for all its results. */
  function hasRoom(
    { excluded, group, resultBytes }: P,
    { info, roomTaken }: BatchEndpoint,
  ): boolean {
    const isAlone = group.started > 0 || roomTaken === 0;
    const needed = isAlone ? resultBytes : groupBytes.get(group) ?? 0;
    return !excluded.has(info.id) && roomTaken + needed <= spec.storageBytes;
  }

  function isWaiting(piece: P, endpoint: BatchEndpoint): boolean {
    return assigned.has(piece) && !isMetNow(piece, endpoint);
  }

  function listSuitable(piece: P, candidates: readonly E[]): readonly E[] {
    const anywhere = candidates.filter((endpoint) => isMetNow(piece, endpoint));
    if (anywhere.length === 0) return listFastest(candidates);
    const local = piece.movedBytes < LARGE_TRANSFER
      ? []
      : anywhere.filter(({ info }) => info.place === piece.place);
    const meeting = local.length > 0 ? local : anywhere;
    const slowest = Math.max(...meeting.map(readRatio));
    const isFastNeeded = waiting.some((other) =>
      other.objectiveAt < piece.objectiveAt &&
      meeting.some((endpoint) =>
        isMetNow(other, endpoint) && readRatio(endpoint) < slowest
      ) &&
      meeting.some((endpoint) => !isMetNow(other, endpoint))
    );
    return isFastNeeded
      ? meeting.filter((endpoint) =>
        EQUAL_FACTOR * readRatio(endpoint) >= slowest
      )
      : listFastest(meeting);
  }

  function mayAdd(
    piece: P,
    { endpoint, chosen }: { endpoint: BatchEndpoint; chosen: ReadonlySet<P> },
  ): boolean {
    const isSlow = readRatio(endpoint) > EQUAL_FACTOR * fastest;
    if (!isSlow || isBacklogged) return true;
    const positions = (endpoints.length - 1) * spec.slots * spec.maxPieces;
    const left = waiting.length - chosen.size;
    if (left > MAX_LEFT_SHARE * positions) return true;
    const size = chosen.size + 1;
    return [...chosen, piece].every((member) =>
      isMet(member, endpoint, { pieces: size, startsAt: now }) ||
      !isMet(member, endpoint, { pieces: 1, startsAt: now })
    );
  }

  return { isWaiting, listSuitable, mayAdd };
}

function sumGroupBytes(
  waiting: readonly WaitingPiece[],
): Map<PieceGroup, number> {
  const sums = new Map<PieceGroup, number>();
  for (const { group, resultBytes } of waiting) {
    sums.set(group, (sums.get(group) ?? 0) + resultBytes);
  }
  return sums;
}

function createQueue<E extends BatchEndpoint>(
  endpoint: E,
  { now, spec }: { now: Millis; spec: BatchSpec },
): EndpointQueue<E> {
  const isFree = endpoint.calls < spec.slots;
  // A call that is overdue is expected to take as long again as it is overdue.
  const startsAt = isFree ? now : now + Math.abs(endpoint.freeAt - now);
  return { endpoint, startsAt, isFree, taken: 0 };
}

function listFastest<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const fastest = Math.min(...endpoints.map(readRatio));
  return endpoints.filter((endpoint) =>
    readRatio(endpoint) <= EQUAL_FACTOR * fastest
  );
}
