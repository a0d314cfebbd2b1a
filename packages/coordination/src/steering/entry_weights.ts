/**
 * Weights of the entries that callers are sent to: capacity that is left for
 * requests, reduced slightly by present use.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { MIN_CAPACITY_SHARE } from "../high_capacity_members.ts";
import type { PeerRecord } from "../membership.ts";

/** What is known about an entry that a caller may be sent to. */
export interface SteeredEntry {
  record: PeerRecord;
  /** Age of `record.inFlight`; without it, the use is unknown. */
  age?: Millis | undefined;
}

/** Cores that an idle entry uses. */
const IDLE_CORES = 0.06;
/** Cores for dispatching and relaying, which only entries of high capacity do. */
const DUTY_CORES = 0.1;
/** Small entries keep at least this share of their capacity for requests. */
const MIN_USABLE_SHARE = 0.25;
/**
 * Capacities count as alike up to this ratio. Smaller differences come from
 * the rounding of core shares.
 */
const MAX_ALIKE_RATIO = 1.1;
/** A report of this age counts half; in-flight requests last about as long. */
const USE_HALF_LIFE: Millis = 2_000;
/** Requests per mean capacity below which use says little. */
const USE_SMOOTHING = 8;
/** Capacities above this are errors of a record, and count as unknown. */
const MAX_CAPACITY = 10_000;
/** Small entries have at least this weight relative to the largest. */
const MIN_WEIGHT_SHARE = 0.001;
/** The lowest factor by use, so that one wrong report removes no entry. */
const MIN_USE_FACTOR = 0.5;

/**
 * Computes the weights of entries by free capacity, with a mean of about 1.
 * Returns `undefined` if all capacities are alike. Runs for every address
 * query, hence the plain loops.
 */
export function computeEntryWeights(
  entries: readonly SteeredEntry[],
): Float64Array | undefined {
  const capacities = readCapacities(entries);
  let least = Infinity;
  let largest = 0;
  for (const capacity of capacities) {
    if (capacity < least) least = capacity;
    if (capacity > largest) largest = capacity;
  }
  if (!(largest > MAX_ALIKE_RATIO * least)) return undefined;
  const weights = computeUsableShares(capacities, largest);
  applyUse(weights, entries);
  return weights;
}

/** A missing or unusable capacity counts as the mean of the others. */
function readCapacities(entries: readonly SteeredEntry[]): Float64Array {
  const capacities = new Float64Array(entries.length);
  let sum = 0;
  let known = 0;
  for (let index = 0; index < entries.length; index++) {
    const { capacity } = entries[index]!.record;
    if (!(capacity > 0 && capacity <= MAX_CAPACITY)) continue;
    capacities[index] = capacity;
    sum += capacity;
    known++;
  }
  if (known === entries.length) return capacities;
  const mean = known > 0 ? sum / known : 1;
  return capacities.map((capacity) => capacity > 0 ? capacity : mean);
}

/** Returns the capacities left for requests, as shares of their mean. */
function computeUsableShares(
  capacities: Float64Array,
  largest: number,
): Float64Array {
  const onDuty = MIN_CAPACITY_SHARE * largest;
  const usable = new Float64Array(capacities.length);
  let sum = 0;
  for (let index = 0; index < usable.length; index++) {
    const capacity = capacities[index]!;
    const spent = capacity >= onDuty ? IDLE_CORES + DUTY_CORES : IDLE_CORES;
    usable[index] = Math.max(
      MIN_WEIGHT_SHARE * largest,
      MIN_USABLE_SHARE * capacity,
      capacity - spent,
    );
    sum += usable[index]!;
  }
  const mean = sum / usable.length;
  for (let index = 0; index < usable.length; index++) usable[index]! /= mean;
  return usable;
}

/**
 * Lowers the weights of entries with more requests in flight per weight than
 * the mean. Reports lose their effect with age. The factor is the square root
 * of the relative use: reports reach this entry after seconds and callers keep
 * answers for seconds more, and a loop gain below 1 is stable at any delay.
 */
function applyUse(
  weights: Float64Array,
  entries: readonly SteeredEntry[],
): void {
  const confidences = new Float64Array(weights.length);
  let requests = 0;
  let capacity = 0;
  for (let index = 0; index < weights.length; index++) {
    const { record, age } = entries[index]!;
    if (age === undefined || !(record.inFlight >= 0)) continue;
    const confidence = Math.exp(-Math.LN2 * age / USE_HALF_LIFE);
    confidences[index] = confidence;
    requests += confidence * record.inFlight;
    capacity += confidence * weights[index]!;
  }
  if (requests === 0) return;
  const mean = requests / capacity;
  for (let index = 0; index < weights.length; index++) {
    const confidence = confidences[index]!;
    if (confidence === 0) continue;
    const excess = entries[index]!.record.inFlight / weights[index]! - mean;
    if (excess <= 0) continue;
    const ratio = (mean + USE_SMOOTHING) /
      (mean + USE_SMOOTHING + excess * confidence);
    weights[index]! *= Math.max(MIN_USE_FACTOR, Math.sqrt(ratio));
  }
}
