/**
 * Expected time to the first answer of endpoints that work on many requests at
 * once, by the size of the request.
 *
 * The load it answers: prompts of very different sizes share an engine, and one
 * of fifty thousand tokens holds up all others there for seconds. So what an
 * answer takes beyond its own work is a delay that others cause, of the same
 * length for a small request as for a large one. Taken as a factor, the delays
 * of small requests would make every large one look hopeless, and an engine that
 * reads one large prompt look many times too slow.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { createLatencyModel } from "./latency_model.ts";

/** Learns what work of a size takes and how long others hold it up. */
export interface DelayModel {
  /**
   * Adds a measurement; returns its ratio to what is expected, where delays of
   * the usual length count little.
   */
  record(size: number, latency: Millis): number;
  /** The time that work of `size` takes alone. */
  estimateUnloaded(size: number): Millis;
  /** The same with the mean delay at present. */
  estimateUsual(size: number): Millis;
}

/** Follows a change of the load within some thirty answers. */
const MEAN_WEIGHT = 0.05;

/** Creates a model that has seen nothing. */
export function createDelayModel(): DelayModel {
  const latencies = createLatencyModel();
  let meanDelay: Millis = 0;
  let meanLatency: Millis | undefined;

  function record(size: number, latency: Millis): number {
    latencies.record(size, latency);
    const unloaded = latencies.estimateUnloaded(size);
    const delay = Math.max(0, latency - unloaded);
    meanDelay += MEAN_WEIGHT * (delay - meanDelay);
    meanLatency ??= latency;
    meanLatency += MEAN_WEIGHT * (latency - meanLatency);
    return (latency + meanLatency) / (unloaded + meanLatency);
  }

  return {
    record,
    estimateUnloaded: latencies.estimateUnloaded,
    estimateUsual: (size) => latencies.estimateUnloaded(size) + meanDelay,
  };
}
