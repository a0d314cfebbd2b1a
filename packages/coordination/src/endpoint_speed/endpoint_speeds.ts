/**
 * Learns the speeds of the endpoints of a stage pool partition from the times
 * of their calls.
 *
 * Endpoints share their machines with other work, so their speeds differ and
 * change. The dispatcher of a partition sees all calls to its endpoints, so no
 * messages are needed.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "../endpoint.ts";
import { formatEndpointKey } from "../endpoint.ts";

/** The speeds of the endpoints of one partition. */
export interface EndpointSpeeds {
  /** Records a call by the ratio of its measured to its expected time. */
  record(endpoint: EndpointInfo, ratio: number): void;
  /**
   * Estimates for each endpoint, in order, the ratio of measured to expected
   * time of its calls. All are 1 while they are about equal.
   */
  estimateRatios(endpoints: readonly EndpointInfo[]): number[];
}

/**
 * Time ratios within this factor of each other count as equal. Calls vary by
 * about a tenth on an undisturbed endpoint.
 */
export const EQUAL_FACTOR = 1.1;
/**
 * From this factor on, the estimates are used in full. Between the two factors
 * they are used in part: otherwise noise would switch an even pool between two
 * sets of decisions.
 */
const UNEVEN_FACTOR = 1.3;
/**
 * Half-life of what a call says. Disturbances of endpoints last for seconds,
 * and after 10 s a call counts for 3%.
 */
const HALF_LIFE: Millis = 2_000;
/** Upper bound of the weight of what is known of an endpoint, in calls. */
const MAX_WEIGHT = 6;
/**
 * Weight of the pool's median, in calls: the first call of an endpoint counts
 * for two thirds.
 */
const MEDIAN_WEIGHT = 0.5;
/**
 * A call that differs from the estimate by more than this factor counts as
 * differing by this factor, until a second call confirms it. Endpoints of a
 * pool differ by up to 2.4 times, so the first call of an endpoint counts.
 */
const OUTLIER_FACTOR = 2.5;
/** Below this weight, in calls, nothing is known of an endpoint. */
const MIN_WEIGHT = 0.05;
/** Bounds of the ratios that are recorded. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 20;
/** Above this many endpoints, the one with the oldest call is evicted. */
const MAX_TRACKED = 256;

/** The mean logarithm of the ratios of an endpoint's calls. */
interface WeightedMean {
  readonly mean: number;
  /** In calls. */
  readonly weight: number;
}

/** What is known of an endpoint as of its last call. */
interface SpeedState extends WeightedMean {
  updatedAt: Millis;
  /** The previous call, if it was an outlier. */
  outlier: number | undefined;
}

const UNKNOWN: SpeedState = {
  mean: 0,
  weight: 0,
  updatedAt: 0,
  outlier: undefined,
};

/** Creates the speeds of endpoints that have not been called yet. */
export function createEndpointSpeeds(clock: Clock): EndpointSpeeds {
  // In the order of their last call. The key includes the incarnation, so a
  // restarted endpoint begins without history.
  const states = new Map<string, SpeedState>();

  /** Reads a state as of now. */
  function readMean({ mean, weight, updatedAt }: SpeedState): WeightedMean {
    const age = clock.now() - updatedAt;
    return { mean, weight: weight * Math.pow(2, -age / HALF_LIFE) };
  }

  function updateState(state: SpeedState, value: number): SpeedState {
    const updatedAt = clock.now();
    const limit = Math.log(OUTLIER_FACTOR);
    const before = readMean(state);
    const median = computeMedian([...states.values()].map(readMean));
    const expected = estimateMean(before, median);
    const limited = Math.min(
      expected + limit,
      Math.max(expected - limit, value),
    );
    const isOutlier = limited !== value;
    const { outlier } = state;
    if (
      isOutlier && outlier !== undefined && Math.abs(outlier - value) <= limit
    ) {
      const mean = (outlier + value) / 2;
      return { mean, weight: 2, updatedAt, outlier: undefined };
    }
    const weight = before.weight + 1;
    return {
      mean: (before.weight * before.mean + limited) / weight,
      weight: Math.min(MAX_WEIGHT, weight),
      updatedAt,
      outlier: isOutlier ? value : undefined,
    };
  }

  function record(endpoint: EndpointInfo, ratio: number): void {
    if (!Number.isFinite(ratio) || ratio < 0) return;
    const value = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
    const key = formatEndpointKey(endpoint);
    const state = updateState(states.get(key) ?? UNKNOWN, value);
    states.delete(key);
    states.set(key, state);
    const [oldest] = states.keys();
    if (states.size > MAX_TRACKED && oldest !== undefined) {
      states.delete(oldest);
    }
  }

  function estimateRatios(endpoints: readonly EndpointInfo[]): number[] {
    const known = endpoints.map((endpoint) =>
      readMean(states.get(formatEndpointKey(endpoint)) ?? UNKNOWN)
    );
    const median = computeMedian(known);
    const estimates = known.map((state) => estimateMean(state, median));
    const spread = Math.exp(Math.max(...estimates) - Math.min(...estimates));
    const share = (spread - EQUAL_FACTOR) / (UNEVEN_FACTOR - EQUAL_FACTOR);
    const used = Math.min(1, Math.max(0, share));
    return estimates.map((estimate) => Math.exp(used * estimate));
  }

  return { record, estimateRatios };
}

/**
 * Returns the median of what is known, which tends to the expected time when
 * there are no recent calls.
 */
function computeMedian(known: readonly WeightedMean[]): number {
  const means = known.filter(({ weight }) => weight >= MIN_WEIGHT)
    .map((state) => estimateMean(state, 0))
    .sort((a, b) => a - b);
  const middle = (means.length - 1) / 2;
  const low = means[Math.floor(middle)] ?? 0;
  const high = means[Math.ceil(middle)] ?? 0;
  return (low + high) / 2;
}

function estimateMean({ mean, weight }: WeightedMean, median: number): number {
  return (weight * mean + MEDIAN_WEIGHT * median) / (weight + MEDIAN_WEIGHT);
}
