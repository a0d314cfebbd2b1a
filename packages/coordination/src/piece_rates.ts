/**
 * Measures the arrival and service rates of a pool for pieces of stage work,
 * and forecasts from them how long a new piece waits.
 *
 * In a burst, or after the loss of an endpoint, a pool may get a third more
 * work than it can do for ten seconds or longer. By the length of the queue
 * alone the wait seems short, but later arrivals with a higher urgency
 * overtake: late pieces would wait for most of their time and then be refused.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { createEventRate } from "./event_rate.ts";
import type { EventRate } from "./event_rate.ts";
import { YIELDED_SHARE } from "./fairness/yielded_share.ts";
import type { BatchSpec } from "./serving_config.ts";
import { computeFullCall } from "./serving_config.ts";

/** Expected times until a new piece is in a call. */
export interface PieceWaits {
  /** For a piece that can still meet its objective. */
  onTime: Millis;
  /** For a piece that cannot, and waits behind all that can. */
  late: Millis;
  /** Change of `onTime` with each millisecond from now. */
  growth: number;
  /**
   * The waits regardless of the client account, if the others are those of one
   * account; they are never shorter.
   */
  overall?: Omit<PieceWaits, "overall"> | undefined;
}

/** A forecast of the waits in the current queue. */
export interface WaitForecast {
  /**
   * Estimates the wait of an on-time piece of a priority behind `ahead` others.
   */
  estimateOnTime(ahead: number, priority: number): Millis;
  /** Estimates the wait of a late piece behind `ahead` others. */
  estimateLate(ahead: number): Millis;
  /**
   * Estimates the wait of a late piece behind `ahead` late ones that are at
   * least as urgent, in the positions that less urgent classes yield.
   */
  estimateYielded(ahead: number, priority: number): Millis;
  /**
   * Estimates the rate at which the wait of on-time pieces of a priority grows.
   */
  estimateGrowth(priority: number): number;
}

/** The state of a pool's queue. */
export interface PieceQueueState {
  waiting: number;
  /** Whether all endpoints have as many calls as they have slots. */
  isBusy: boolean;
  spec: BatchSpec;
  endpointCount: number;
}

/** The arrival and service rates of a pool. */
export interface PieceRates {
  /** Records the arrival of pieces that can still meet their objective. */
  recordArrival(priority: number, pieces: number): void;
  /** Records that pieces were sent in a call. */
  recordCall(pieces: number): void;
  /** Records the state of the queue. */
  recordQueue(queue: PieceQueueState): void;
  /** Whether there has been a backlog for some time. */
  isBacklogged(): boolean;
  /**
   * Forecasts the waits. `speedSum` is the sum of the endpoints' speeds relative
   * to the specification: their number, where all run as specified.
   */
  forecast(spec: BatchSpec, speedSum: number): WaitForecast;
}

/**
 * Time constant with which a burst is assumed to decay to the long-term rate.
 * Late pieces can be served after a burst: with its peak rate as the forecast,
 * callers who can wait for twenty seconds would be refused.
 */
const BURST_TIME_CONSTANT: Millis = 5_000;
const LONG_WINDOW: Millis = 30_000;
/** Step of the simulation that estimates the waits of late pieces. */
const FORECAST_STEP: Millis = 250;
/** A backlog counts after this time; a shorter one may clear by itself. */
const MIN_BACKLOG_TIME: Millis = 1_000;
/**
 * Lower measured rates, as a share of the nominal rate, are taken for outliers.
 */
const MIN_RATE_SHARE = 0.4;
/**
 * The share of the capacity that is assumed to be left for pieces behind all
 * others. With 0, late requests would be refused during a whole burst although
 * calls have unused positions at times.
 */
const MIN_SPARE_SHARE = 0.05;
/** Upper bound of the forecasts; no caller waits that long. */
const MAX_WAIT: Millis = 60_000;

/**
 * A queue is a backlog above this share of what the next calls can hold. With a
 * shorter queue, endpoints are busy only because calls are not full: the
 * measured rate is not their limit, and unused positions in a call cost
 * nothing.
 */
const MIN_BACKLOG_SHARE = 0.5;

interface ArrivalRates {
  recent: EventRate;
  longTerm: EventRate;
}

/** Creates the rates of a pool without arrivals. */
export function createPieceRates(clock: Clock): PieceRates {
  const arrivals = new Map<number, ArrivalRates>();
  const callRate = createEventRate(clock);
  const startedAt = clock.now();
  let backlogSince: Millis | undefined;

  function findArrivals(priority: number): ArrivalRates {
    const known = arrivals.get(priority) ?? {
      recent: createEventRate(clock),
      longTerm: createEventRate(clock, LONG_WINDOW),
    };
    arrivals.set(priority, known);
    return known;
  }

  /**
   * Returns the arrivals a second of all priorities more urgent than `before`.
   */
  function readArrivals(before: number, span: keyof ArrivalRates): number {
    return [...arrivals]
      .filter(([priority]) => priority < before)
      .reduce((sum, [, rates]) => sum + rates[span].read(), 0);
  }

  /**
   * Returns the capacity in pieces a second: nominal, or as measured if lower.
   */
  function readCapacity(spec: BatchSpec, speedSum: number): number {
    const perRound = speedSum * spec.slots * spec.maxPieces;
    const nominal = 1_000 * perRound / computeFullCall(spec);
    if (!isBacklogged()) return nominal;
    const lowest = MIN_RATE_SHARE * nominal;
    return Math.min(nominal, Math.max(lowest, callRate.read()));
  }

  function isBacklogged(): boolean {
    return backlogSince !== undefined &&
      clock.now() - backlogSince >= MIN_BACKLOG_TIME;
  }

  /**
   * Estimates when the capacity left by on-time arrivals has served `ahead`
   * pieces.
   */
  function estimateLateWait(ahead: number, capacity: number): Millis {
    const now = readArrivals(Infinity, "recent");
    const later = readArrivals(Infinity, "longTerm") / computeObservedShare();
    let left = ahead;
    for (let time = 0; time < MAX_WAIT; time += FORECAST_STEP) {
      if (left <= 0) return time;
      const arriving = later +
        (now - later) * Math.exp(-time / BURST_TIME_CONSTANT);
      const spare = Math.max(capacity - arriving, MIN_SPARE_SHARE * capacity);
      left -= spare * FORECAST_STEP / 1_000;
    }
    return MAX_WAIT;
  }

  /** Returns the share of the long window that has been observed so far. */
  function computeObservedShare(): number {
    const age = Math.max(MIN_BACKLOG_TIME, clock.now() - startedAt);
    return 1 - Math.exp(-age / LONG_WINDOW);
  }

  function forecast(spec: BatchSpec, speedSum: number): WaitForecast {
    const capacity = readCapacity(spec, speedSum);
    const readSpare = (before: number) =>
      Math.max(
        capacity - readArrivals(before, "recent"),
        MIN_SPARE_SHARE * capacity,
      );
    const estimate = (ahead: number, spare: number) =>
      ahead === 0 ? 0 : Math.min(MAX_WAIT, 1_000 * ahead / spare);
    return {
      estimateOnTime: (ahead, priority) => estimate(ahead, readSpare(priority)),
      estimateLate: (ahead) => estimateLateWait(ahead, capacity),
      estimateYielded(ahead, priority) {
        const lessUrgent = readArrivals(Infinity, "recent") -
          readArrivals(priority + 1, "recent");
        const yielded = Math.min(YIELDED_SHARE * capacity, lessUrgent);
        return yielded <= 0
          ? MAX_WAIT
          : Math.min(MAX_WAIT, 1_000 * (ahead + 1) / yielded);
      },
      estimateGrowth(priority) {
        if (capacity === 0) return 0;
        const excess = readArrivals(priority + 1, "recent") - capacity;
        return excess / readSpare(priority);
      },
    };
  }

  /**
   * Whether all endpoints are busy and the queue exceeds its backlog threshold.
   */
  function isQueueLong(
    { waiting, isBusy, spec, endpointCount }: PieceQueueState,
  ): boolean {
    const perRound = endpointCount * spec.slots * spec.maxPieces;
    return isBusy && waiting > MIN_BACKLOG_SHARE * perRound;
  }

  return {
    recordArrival(priority, pieces) {
      const { recent, longTerm } = findArrivals(priority);
      recent.record(pieces);
      longTerm.record(pieces);
    },
    recordCall: (pieces) => callRate.record(pieces),
    recordQueue(queue) {
      if (!isQueueLong(queue)) backlogSince = undefined;
      else backlogSince ??= clock.now();
    },
    isBacklogged,
    forecast,
  };
}
