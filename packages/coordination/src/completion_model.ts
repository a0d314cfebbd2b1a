/**
 * Estimates how long an answer takes until its last byte, from its size and
 * from the answers of its route that ended lately.
 *
 * A process that stops must know before it sends a request whether it can
 * forward all of the answer.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";

/** What is known of an answer before its request is sent. */
export interface ExpectedAnswer {
  /** Expected time until the first event, or until an answer without events. */
  firstAfter: Millis;
  /**
   * The most tokens that it may have. Answers whose callers do not say it count
   * as one token each, whatever their length.
   */
  tokens: number | undefined;
}

/** An answer that ended. */
export interface MeasuredAnswer extends ExpectedAnswer {
  /** Undefined if several endpoints took part. */
  endpoint?: EndpointInfo;
  /** Measured time until the first event; undefined if there was none. */
  first: Millis | undefined;
  /** Measured time until its end. */
  took: Millis;
  /** Otherwise it would have taken longer. */
  isWhole: boolean;
}

/** Learns how long the answers of one route take. */
export interface CompletionModel {
  record(answer: MeasuredAnswer): void;
  /**
   * Estimates the time of an answer; undefined if no answer of the route has
   * ended.
   */
  estimate(
    expected: ExpectedAnswer,
    options: EstimateOptions,
  ): Millis | undefined;
}

/** Options of an estimate. */
export interface EstimateOptions {
  /** Share of the recent answers that did not take longer; up to 1. */
  share: number;
  /** The endpoint, once that is chosen. */
  endpoint?: EndpointInfo | undefined;
}

/** Share of its weight that an answer keeps with each later one. */
const WEIGHT_DECAY = 0.97;
/** Answers that count. */
const RECENT_ANSWERS = 32;
/**
 * With fewer, the answers of one endpoint say less than those of all: answers
 * of a route differ more by their length than by their endpoint.
 */
const MIN_OWN_ANSWERS = 16;
/**
 * Pauses of an endpoint make a short stream look slow many times over. They
 * count as a delay there, and as a slower pace only in longer streams.
 */
const MIN_PACED: Millis = 500;
/** Ratio of the slowest to the mean pace while no long stream has ended. */
const UNKNOWN_PACE_RATIO = 1.5;
const MAX_ENDPOINTS = 64;
/** Routes whose models are kept. */
const MAX_ROUTES = 256;

/** Creates the model of a route without answers. */
export function createCompletionModel(): CompletionModel {
  let streamedTime = 0;
  let streamedTokens = 0;
  let count = 0;
  const delays: Millis[] = [];
  /** Milliseconds per token of recent long streams. */
  const paces: number[] = [];
  const pacesByEndpoint = new Map<string, number[]>();

  function readMeanPace(): number {
    return streamedTokens === 0 ? 0 : streamedTime / streamedTokens;
  }

  function readSlowPace({ endpoint, share }: EstimateOptions): number {
    const own = endpoint === undefined
      ? undefined
      : pacesByEndpoint.get(formatEndpointKey(endpoint));
    const known = own !== undefined && own.length >= MIN_OWN_ANSWERS
      ? own
      : paces;
    return known.length === 0
      ? UNKNOWN_PACE_RATIO * readMeanPace()
      : findQuantile(known, share);
  }

  function recordPace(endpoint: EndpointInfo | undefined, pace: number): void {
    putRecent(paces, pace);
    if (endpoint === undefined) return;
    const key = formatEndpointKey(endpoint);
    const own = pacesByEndpoint.get(key) ?? [];
    putBounded(pacesByEndpoint, [key, own], MAX_ENDPOINTS);
    putRecent(own, pace);
  }

  function recordWhole(answer: MeasuredAnswer): void {
    const { endpoint, firstAfter, tokens = 1, took, first = took } = answer;
    const streamed = Math.max(0, took - first);
    const usual = count === 0 ? streamed : tokens * readMeanPace();
    const isPaced = usual >= MIN_PACED;
    if (isPaced) recordPace(endpoint, streamed / tokens);
    const pause = isPaced ? 0 : Math.max(0, streamed - usual);
    putRecent(delays, Math.max(0, first - firstAfter) + pause);
    streamedTime = WEIGHT_DECAY * streamedTime + streamed;
    streamedTokens = WEIGHT_DECAY * streamedTokens + tokens;
    count++;
  }

  /** One that was cut off counts if it has shown already that it is slow. */
  function recordCut(answer: MeasuredAnswer): void {
    const { endpoint, firstAfter, tokens = 1, took, first } = answer;
    const delay = (first ?? took) - firstAfter;
    if (delay > Math.max(0, ...delays)) putRecent(delays, delay);
    if (first === undefined || tokens * readMeanPace() < MIN_PACED) return;
    const pace = (took - first) / tokens;
    if (pace > readSlowPace({ share: 1 })) recordPace(endpoint, pace);
  }

  return {
    record: (answer) =>
      answer.isWhole ? recordWhole(answer) : recordCut(answer),
    estimate({ firstAfter, tokens = 1 }, options) {
      if (count === 0) return undefined;
      const delay = findQuantile(delays, options.share);
      const streamed = tokens * readSlowPace(options);
      return Math.round(firstAfter + delay + streamed);
    },
  };
}

/** Returns a lookup that creates the model of each route on first use. */
export function createCompletionModels(): (route: string) => CompletionModel {
  const models = new Map<string, CompletionModel>();
  return (route) => {
    const model = models.get(route) ?? createCompletionModel();
    putBounded(models, [route, model], MAX_ROUTES);
    return model;
  };
}

/** Returns the smallest value that a share of the values does not exceed. */
function findQuantile(values: readonly number[], share: number): number {
  const index = Math.max(0, Math.ceil(share * values.length) - 1);
  return [...values].sort((a, b) => a - b)[index] ?? 0;
}

function putRecent(values: number[], value: number): void {
  values.push(value);
  if (values.length > RECENT_ANSWERS) values.shift();
}
