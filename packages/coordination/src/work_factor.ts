/**
 * Ranks the endpoints of plain services by how long work takes on their
 * machines at the moment, as they report it.
 *
 * Entries that read the same figure must not all send to the same endpoint. So
 * an entry draws one by chance, less often the more it costs. The better of two
 * drawn uniformly would give the second best of three a third of the requests,
 * whatever it costs.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { LoadReport } from "./endpoint.ts";

/** The figure changes many times a second; an older one is no information. */
const MAX_FACTOR_AGE: Millis = 250;
/** Bounds the effect of a wrong figure, which could attract all requests. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/** Whether a report has a work factor that is still valid. */
export function hasWorkFactor(
  report: LoadReport | undefined,
  now: Millis,
): boolean {
  return report?.workFactor !== undefined &&
    now - report.takenAt < MAX_FACTOR_AGE;
}

/** Returns the work factor of a report; it shrinks towards 1 with age. */
export function readWorkFactor(
  report: LoadReport | undefined,
  now: Millis,
): number {
  if (report?.workFactor === undefined || !hasWorkFactor(report, now)) return 1;
  const { workFactor, takenAt } = report;
  const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, workFactor));
  const weight = 1 - (now - takenAt) / MAX_FACTOR_AGE;
  return 1 + (bounded - 1) * Math.min(1, weight);
}

/**
 * An endpoint of cost c is drawn with weight 1 / c^1.5. The larger the exponent,
 * the more entries move to one endpoint at once.
 */
const COST_EXPONENT = 1.5;

/** Options of {@linkcode listDrawnFirst}. */
export interface DrawnFirstOptions<E> {
  /** Returns a number above 0. */
  estimateCost: (endpoint: E) => number;
  /** Returns a number from 0 up to 1. */
  random: () => number;
}

/**
 * Moves one endpoint, drawn with a chance that falls with its cost, to the front
 * of a list in order of cost.
 */
export function listDrawnFirst<E>(
  ranked: readonly E[],
  { estimateCost, random }: DrawnFirstOptions<E>,
): E[] {
  const weights = ranked.map((each) => estimateCost(each) ** -COST_EXPONENT);
  const first = chooseIndex(weights, random);
  return [
    ...ranked.slice(first, first + 1),
    ...ranked.filter((_, index) => index !== first),
  ];
}

/** Chooses an index at random, in proportion to its weight. */
function chooseIndex(weights: readonly number[], random: () => number): number {
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = weights.findIndex((weight) => (left -= weight) < 0);
  // Rounding can leave a remainder after the last weight.
  return Math.max(0, drawn);
}
