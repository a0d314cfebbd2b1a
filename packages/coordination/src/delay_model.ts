/**
 * Estimates the time to the first answer of endpoints that work on many
 * requests concurrently, by request size.
 *
 * Prompts of very different sizes share an engine, and one of fifty thousand
 * tokens blocks all others there for seconds. The latency beyond a request's
 * own work is therefore a delay caused by other requests, and is as long for a
 * small request as for a large one. Modeled as a factor, the delays of small
 * requests would make every large one look infeasible, and an engine that
 * processes one large prompt look many times too slow.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { createLatencyModel } from "./latency_model.ts";

/**
 * Learns the latency of work by size, and the delay that other requests add.
 */
export interface DelayModel {
  /**
   * Adds a measurement; returns its ratio to the expected latency, on which
   * delays of the usual length have little effect.
   */
  record(size: number, latency: Millis): number;
  /** Latency of work of `size` without other requests. */
  estimateUnloaded(size: number): Millis;
  /** The same plus the current mean delay. */
  estimateUsual(size: number): Millis;
}

/** Adapts to a change of the load within about thirty answers. */
const MEAN_WEIGHT = 0.05;

/** Creates a model without measurements. */
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
