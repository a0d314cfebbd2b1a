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
  /**
   * Whether a piece waits for a faster endpoint rather than run at this one,
   * where it would miss its objective, or even its deadline.
   */
  isWaiting(piece: P, endpoint: BatchEndpoint): boolean;
  /**
   * Lists the endpoints that serve a piece best: the fastest, or slower ones if
   * a piece with less time needs the fastest. A large transfer stays in its own
   * place where that meets the objective.
   */
  listSuitable(piece: P, endpoints: readonly E[]): readonly E[];
  /**
   * Whether a piece may be added to a call at a slow endpoint: not if it would
   * miss its deadline there, nor if the call would then take too long for its
   * pieces, and the others can be served elsewhere soon.
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

/**
 * Returns the specification with the call times of the fastest endpoint, or
 * unchanged if that one is faster than specified: `dropInfeasible` orders by the
 * specification, and a piece that is late for one order and on time for the
 * other would be dropped although the next call has a position for it.
 */
export function computeFastestSpec(
  spec: BatchSpec,
  endpoints: readonly BatchEndpoint[],
): BatchSpec {
  const fastest = Math.max(1, Math.min(...endpoints.map(readRatio)));
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
  readonly endpoint: E;
  /** Time of a call of the expected size, and of a full one. */
  readonly callTime: Millis;
  readonly fullTime: Millis;
  /** Start of the next call with positions left. */
  startsAt: Millis;
  isFree: boolean;
  left: number;
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
  const perRound = spec.slots * spec.maxPieces;
  const queues = endpoints.map(createQueue);
  const groupBytes = sumGroupBytes(waiting);
  const assigned = listAssigned();

  function estimateTime(endpoint: BatchEndpoint, pieces: number): Millis {
    return TIME_MARGIN * readRatio(endpoint) *
      (spec.callTime + pieces * spec.pieceTime);
  }

  function createQueue(endpoint: E): EndpointQueue<E> {
    const isFree = endpoint.calls < spec.slots;
    return {
      endpoint,
      callTime: estimateTime(endpoint, perCall),
      fullTime: estimateTime(endpoint, spec.maxPieces),
      // An overdue call is expected to take as long again as it is overdue.
      startsAt: isFree ? now : now + Math.abs(endpoint.freeAt - now),
      isFree,
      left: perRound,
    };
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
    for (
      const piece of waiting.slice(0, MAX_ROUNDS * perRound * queues.length)
    ) {
      const queue = chooseQueue(piece);
      if (queue === undefined) continue;
      chosen.add(piece);
      if (--queue.left > 0) continue;
      queue.startsAt += queue.fullTime;
      queue.isFree = false;
      queue.left = perRound;
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
    for (const queue of queues) {
      const end = queue.startsAt + queue.callTime;
      if (end > piece.objectiveAt || !hasRoom(piece, queue.endpoint)) continue;
      if (first === undefined || end < first.startsAt + first.callTime) {
        first = queue;
      }
      const isSlowest = slowestFree === undefined ||
        queue.callTime > slowestFree.callTime;
      if (queue.isFree && isSlowest) slowestFree = queue;
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

  function isSlow(endpoint: BatchEndpoint): boolean {
    return readRatio(endpoint) > EQUAL_FACTOR * fastest;
  }

  function isWaiting(piece: P, endpoint: BatchEndpoint): boolean {
    if (assigned.has(piece)) return !isMetNow(piece, endpoint);
    return isUseless(piece, endpoint);
  }

  /** Whether its result would miss the deadline at a slow endpoint. */
  function isUseless(piece: P, endpoint: BatchEndpoint): boolean {
    return isSlow(endpoint) &&
      now + estimateTime(endpoint, 1) > piece.deadlineAt;
  }

  function listSuitable(piece: P, candidates: readonly E[]): readonly E[] {
    const anywhere = candidates.filter((endpoint) => isMetNow(piece, endpoint));
    if (anywhere.length === 0) return listFastest(candidates);
    const local = piece.movedBytes < LARGE_TRANSFER
      ? []
      : anywhere.filter(({ info }) => info.place === piece.place);
    const meeting = local.length > 0 ? local : anywhere;
    const times = meeting.map((endpoint) => estimateTime(endpoint, perCall));
    const fastestEnd = now + Math.min(...times);
    const slowestEnd = now + Math.max(...times);
    const isFastNeeded = waiting.some(({ objectiveAt }) =>
      objectiveAt >= fastestEnd && objectiveAt < slowestEnd
    );
    return isFastNeeded ? listSlowest(meeting) : listFastest(meeting);
  }

  function mayAdd(
    piece: P,
    { endpoint, chosen }: { endpoint: BatchEndpoint; chosen: ReadonlySet<P> },
  ): boolean {
    if (isUseless(piece, endpoint)) return false;
    if (!isSlow(endpoint) || isBacklogged) return true;
    const positions = (endpoints.length - 1) * perRound;
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

function listFastest<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const fastest = Math.min(...endpoints.map(readRatio));
  return endpoints.filter((endpoint) =>
    readRatio(endpoint) <= EQUAL_FACTOR * fastest
  );
}

function listSlowest<E extends BatchEndpoint>(endpoints: readonly E[]): E[] {
  const slowest = Math.max(...endpoints.map(readRatio));
  return endpoints.filter((endpoint) =>
    EQUAL_FACTOR * readRatio(endpoint) >= slowest
  );
}
