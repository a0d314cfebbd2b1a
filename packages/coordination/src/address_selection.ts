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
import { sampleItems } from "./sampling.ts";
import type {
  PeerHealth,
  PeerRecord,
  PeerState,
  PeerView,
} from "./membership.ts";

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

/** Options of {@linkcode sampleEntries}. */
export interface EntrySampleOptions {
  limit: number;
  random: () => number;
  /**
   * Whether this entry has just started and has discovered few other entries.
   */
  isDiscovering: boolean;
}

/**
 * Samples the entries that are reported to a caller that balances its load
 * itself. The sample is new for each answer: a fleet is larger than an answer,
 * and a fixed subset in every answer would receive the load of the whole fleet.
 *
 * After a restart of the whole fleet, an entry has discovered few others. If
 * only those were reported, they would receive the load of the whole fleet.
 * During that time the other listed entries are reported as well, although some
 * may have ended.
 */
export function sampleEntries(
  views: readonly Pick<PeerView, "record" | "health">[],
  { limit, random, isDiscovering }: EntrySampleOptions,
): PeerRecord[] {
  const usable = views.filter(({ record, health }) =>
    record.state === "live" &&
    (health === "alive" || (isDiscovering && health === "suspected"))
  );
  return sampleItems(usable.map(({ record }) => record), {
    count: limit,
    random,
  });
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
