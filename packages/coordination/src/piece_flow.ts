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
}

/** The waits behind the pieces that wait now. */
export interface FlowForecast {
  /** For an on-time piece of a priority behind `ahead` others. */
  estimateOnTime(ahead: number, priority: number): Millis;
  /** For a late piece behind `ahead` others. */
  estimateLate(ahead: number): Millis;
}

/** What comes to a pool and what it takes. */
export interface PieceFlow {
  /** Pieces of one priority came that can meet their objective. */
  recordArrival(priority: number, pieces: number): void;
  /** Pieces went into a call. */
  recordCall(pieces: number): void;
  /** Notes whether pieces wait because all endpoints are busy. */
  noteBacklog(isBacklogged: boolean): void;
  /** Whether all endpoints have been busy for a while with pieces waiting. */
  isStrained(): boolean;
  forecast(spec: BatchSpec, endpointCount: number): FlowForecast;
}

/**
 * Arrivals are counted over this time. Bursts last for about as long: what waits
 * behind one can be served after it, so its height alone would refuse too many.
 */
const ARRIVAL_TIME: Millis = 5_000;
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

/** Creates the flow of a pool that nothing has come to. */
export function createPieceFlow(clock: Clock): PieceFlow {
  const arrivals = new Map<number, EventRate>();
  const called = createEventRate(clock);
  let backlogSince: Millis | undefined;

  function findArrivals(priority: number): EventRate {
    const known = arrivals.get(priority) ??
      createEventRate(clock, ARRIVAL_TIME);
    arrivals.set(priority, known);
    return known;
  }

  /** Pieces a second that come before a priority. */
  function readArrivals(before: number): number {
    return [...arrivals]
      .filter(([priority]) => priority < before)
      .reduce((sum, [, rate]) => sum + rate.read(), 0);
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

  function forecast(spec: BatchSpec, endpointCount: number): FlowForecast {
    const capacity = readCapacity(spec, endpointCount);
    const estimate = (ahead: number, before: number) => {
      if (ahead === 0) return 0;
      const spare = capacity - readArrivals(before);
      const rate = Math.max(spare, SPARE_SHARE * capacity);
      return Math.min(LONGEST_WAIT, 1_000 * ahead / rate);
    };
    return {
      estimateOnTime: estimate,
      estimateLate: (ahead) => estimate(ahead, Infinity),
    };
  }

  return {
    recordArrival(priority, pieces) {
      findArrivals(priority).record(pieces);
    },
    recordCall: (pieces) => called.record(pieces),
    noteBacklog(isBacklogged) {
      if (!isBacklogged) backlogSince = undefined;
      else backlogSince ??= clock.now();
    },
    isStrained,
    forecast,
  };
}
