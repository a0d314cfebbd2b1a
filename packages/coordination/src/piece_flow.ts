/**
 * How fast a pool takes pieces of stage work, how fast they come, and how long a
 * new piece waits therefore.
 *
 * The load it answers: a pool that lost an endpoint, or a burst, gets a third
 * more than it can do for ten seconds and longer. By the length of the queue
 * alone the wait seems short, but whoever comes later and is more urgent goes
 * before: what is late would wait for most of its time and then be refused.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { createEventRate } from "./event_rate.ts";
import type { EventRate } from "./event_rate.ts";
import type { BatchSpec } from "./serving_config.ts";
import { computeFullCall } from "./serving_config.ts";

/** Expected times until a new piece is in a call. */
export interface PieceWaits {
  /** For one that can still meet its objective. */
  onTime: Millis;
  /** For one that cannot, and goes behind all that can. */
  late: Millis;
  /** How much longer `onTime` gets with each millisecond from now. */
  growth: number;
}

/** The waits behind the pieces that wait now. */
export interface FlowForecast {
  /** For an on-time piece of a priority behind `ahead` others. */
  estimateOnTime(ahead: number, priority: number): Millis;
  /** For a late piece behind `ahead` others. */
  estimateLate(ahead: number): Millis;
  /** How the wait of on-time pieces of a priority changes with time. */
  estimateGrowth(priority: number): number;
}

/** What waits in front of a pool. */
export interface PieceQueue {
  waiting: number;
  /** Whether all endpoints have as many calls as they work on at once. */
  isBusy: boolean;
  spec: BatchSpec;
  endpointCount: number;
}

/** What comes to a pool and what it takes. */
export interface PieceFlow {
  /** Pieces of one priority came that can meet their objective. */
  recordArrival(priority: number, pieces: number): void;
  /** Pieces went into a call. */
  recordCall(pieces: number): void;
  /** Notes how many pieces wait, and whether all endpoints are busy. */
  noteQueue(queue: PieceQueue): void;
  /** Whether more has waited for a while than the next calls can nearly take. */
  isStrained(): boolean;
  forecast(spec: BatchSpec, endpointCount: number): FlowForecast;
}

/**
 * A burst falls back to what comes in the long run within some seconds: what
 * waits behind one can be served after it. Its height alone would refuse callers
 * who can wait for twenty seconds.
 */
const BURST_TIME: Millis = 5_000;
const LONG_RUN: Millis = 30_000;
/** Waits of late pieces are reckoned in steps of this. */
const STEP: Millis = 250;
/** Before this the queue may have been empty in between. */
const BACKLOG_TIME: Millis = 1_000;
/** A measured rate below this share of what calls can hold is a hiccup. */
const LOWEST_SHARE = 0.4;
/**
 * The share of a pool that is left to whoever has to wait for all others. With
 * 0 a burst would refuse late requests for as long as it lasts although calls
 * have free places at times.
 */
const SPARE_SHARE = 0.05;
/** Longer waits are all alike: nobody waits that long. */
const LONGEST_WAIT: Millis = 60_000;

/**
 * Of what the next calls can hold. With less waiting, endpoints are busy only
 * because calls are not full: their rate is no limit, and places left free in a
 * call cost nobody anything.
 */
const BACKLOG_SHARE = 0.5;

interface Arrivals {
  lately: EventRate;
  longer: EventRate;
}

/** Creates the flow of a pool that nothing has come to. */
export function createPieceFlow(clock: Clock): PieceFlow {
  const arrivals = new Map<number, Arrivals>();
  const called = createEventRate(clock);
  const startedAt = clock.now();
  let backlogSince: Millis | undefined;

  function findArrivals(priority: number): Arrivals {
    const known = arrivals.get(priority) ?? {
      lately: createEventRate(clock),
      longer: createEventRate(clock, LONG_RUN),
    };
    arrivals.set(priority, known);
    return known;
  }

  /** Pieces a second that come before a priority. */
  function readArrivals(before: number, span: keyof Arrivals): number {
    return [...arrivals]
      .filter(([priority]) => priority < before)
      .reduce((sum, [, rates]) => sum + rates[span].read(), 0);
  }

  /** Pieces a second: by its specification, or less if that was measured. */
  function readCapacity(spec: BatchSpec, endpointCount: number): number {
    const perRound = endpointCount * spec.slots * spec.maxPieces;
    const nominal = 1_000 * perRound / computeFullCall(spec);
    if (!isStrained()) return nominal;
    const lowest = LOWEST_SHARE * nominal;
    return Math.min(nominal, Math.max(lowest, called.read()));
  }

  function isStrained(): boolean {
    return backlogSince !== undefined &&
      clock.now() - backlogSince >= BACKLOG_TIME;
  }

  /** When what on-time arrivals leave over has sufficed for `ahead` pieces. */
  function estimateBehindAll(ahead: number, capacity: number): Millis {
    const now = readArrivals(Infinity, "lately");
    const later = readArrivals(Infinity, "longer") / computeSeenShare();
    let left = ahead;
    for (let time = 0; time < LONGEST_WAIT; time += STEP) {
      if (left <= 0) return time;
      const arriving = later + (now - later) * Math.exp(-time / BURST_TIME);
      const spare = Math.max(capacity - arriving, SPARE_SHARE * capacity);
      left -= spare * STEP / 1_000;
    }
    return LONGEST_WAIT;
  }

  /** A rate over the long run has seen only this share of it so far. */
  function computeSeenShare(): number {
    const age = Math.max(BACKLOG_TIME, clock.now() - startedAt);
    return 1 - Math.exp(-age / LONG_RUN);
  }

  function forecast(spec: BatchSpec, endpointCount: number): FlowForecast {
    const capacity = readCapacity(spec, endpointCount);
    const readSpare = (before: number) =>
      Math.max(
        capacity - readArrivals(before, "lately"),
        SPARE_SHARE * capacity,
      );
    const estimate = (ahead: number, spare: number) =>
      ahead === 0 ? 0 : Math.min(LONGEST_WAIT, 1_000 * ahead / spare);
    return {
      estimateOnTime: (ahead, priority) => estimate(ahead, readSpare(priority)),
      estimateLate: (ahead) => estimateBehindAll(ahead, capacity),
      estimateGrowth(priority) {
        if (capacity === 0) return 0;
        const excess = readArrivals(priority + 1, "lately") - capacity;
        return excess / readSpare(priority);
      },
    };
  }

  /** Whether more waits than the calls to come have places to spare for. */
  function isBacklogged(
    { waiting, isBusy, spec, endpointCount }: PieceQueue,
  ): boolean {
    const perRound = endpointCount * spec.slots * spec.maxPieces;
    return isBusy && waiting > BACKLOG_SHARE * perRound;
  }

  return {
    recordArrival(priority, pieces) {
      const { lately, longer } = findArrivals(priority);
      lately.record(pieces);
      longer.record(pieces);
    },
    recordCall: (pieces) => called.record(pieces),
    noteQueue(queue) {
      if (!isBacklogged(queue)) backlogSince = undefined;
      else backlogSince ??= clock.now();
    },
    isStrained,
    forecast,
  };
}
