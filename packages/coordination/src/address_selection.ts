/**
 * Selects the entries that a caller should use, and how long it may cache them.
 *
 * There is no load balancer: one answer directs all of a caller's load until
 * the caller asks again. Entries are therefore sampled at random, weighted by
 * place and load, instead of every caller being sent to the entry that looked
 * best according to data that lags.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { PeerHealth, PeerState } from "./membership.ts";

/** An entry that may be included in an answer. */
export interface AddressCandidate {
  entry: string;
  incarnation: string;
  place: string;
  callerAddress: string;
  state: PeerState;
  health: PeerHealth;
  inFlight: number;
  /** Age of the data held about this entry. */
  age: Millis;
}

/** Options of {@linkcode chooseAddresses}. */
export interface AddressSelectionOptions {
  /** The place that the caller is in, if the caller reported it. */
  callerPlace: string | undefined;
  limit: number;
  random: () => number;
}

/** The order in which to try entries, and how long to cache it. */
export interface AddressSelection {
  ordered: AddressCandidate[];
  /** How long a caller may cache the answer. */
  keep: Millis;
}

const STABLE_TTL: Millis = 10_000;
/** Answers are cached for a shorter time while entries join and leave. */
const CHANGING_TTL: Millis = 2_000;
/**
 * Cache times are reduced by up to this share at random, so that callers do not
 * refresh at once.
 */
const TTL_JITTER = 0.25;
const OWN_PLACE_WEIGHT = 4;
/**
 * A load report of this age counts half; older reports say little about the
 * present.
 */
const LOAD_HALF_LIFE: Millis = 2_000;
const LOAD_SMOOTHING = 8;

/** Selects addresses for one caller. */
export function chooseAddresses(
  candidates: readonly AddressCandidate[],
  { callerPlace, limit, random }: AddressSelectionOptions,
): AddressSelection {
  const usable = candidates.filter(isUsable);
  const isChanging = usable.length < candidates.length;
  const keep = (isChanging ? CHANGING_TTL : STABLE_TTL) *
    (1 - TTL_JITTER * random());
  const meanLoad = computeMeanLoad(usable);
  const keyed = usable.map((candidate) => ({
    candidate,
    // Weighted sampling without replacement (Efraimidis and Spirakis, 2006).
    key: Math.pow(
      random(),
      1 / computeWeight(candidate, { callerPlace, meanLoad }),
    ),
  }));
  keyed.sort((a, b) => b.key - a.key);
  const ordered = keyed.slice(0, limit).map(({ candidate }) => candidate);
  return { ordered, keep: Math.round(keep) };
}

function isUsable({ state, health }: AddressCandidate): boolean {
  return state === "live" && health === "alive";
}

function computeMeanLoad(candidates: readonly AddressCandidate[]): number {
  if (candidates.length === 0) return 0;
  const total = candidates.reduce((sum, { inFlight }) => sum + inFlight, 0);
  return total / candidates.length;
}

function computeWeight(
  { place, inFlight, age }: AddressCandidate,
  { callerPlace, meanLoad }: {
    callerPlace: string | undefined;
    meanLoad: number;
  },
): number {
  const confidence = Math.pow(0.5, age / LOAD_HALF_LIFE);
  const load = meanLoad + (inFlight - meanLoad) * confidence;
  const placeWeight = place === callerPlace ? OWN_PLACE_WEIGHT : 1;
  return placeWeight * (meanLoad + LOAD_SMOOTHING) / (load + LOAD_SMOOTHING);
}
