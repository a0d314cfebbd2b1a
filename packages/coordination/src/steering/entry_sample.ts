/**
 * Samples the entries that are reported to a caller that balances its load
 * itself.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import type { PeerRecord, PeerView } from "../membership.ts";
import { sampleItems } from "../sampling.ts";
import type { AnswerSize } from "./answer_size.ts";
import { computeAnswerSize } from "./answer_size.ts";
import type { SteeredEntry } from "./entry_weights.ts";
import { computeEntryWeights } from "./entry_weights.ts";

/** Options of {@linkcode sampleEntries}. */
export interface EntrySampleOptions {
  limit: number;
  random: () => number;
  /**
   * Whether this entry has just started and has discovered few other entries.
   */
  isDiscovering: boolean;
  /** Called for each sample that is drawn by capacity. */
  onSized?: (size: AnswerSize) => void;
}

/** An entry that may be included in an answer. */
export type SampledView = Pick<PeerView, "record" | "health"> & {
  /** Age of its record; without it, the use of the entry is unknown. */
  age?: Millis | undefined;
};

/**
 * Entries in an answer at least, or all. A caller still connects when half of
 * them have failed, and does not depend on a few small ones.
 */
const MIN_ANSWER = 16;
/**
 * Detached entries are left out up to this share of all. Beyond it, the others
 * would be overloaded by their callers: to pass bytes on for a detached entry
 * takes much less than to serve its callers.
 */
const MAX_DETACHED_SHARE = 1 / 4;
/** Above the rounding error of the sum of all chances. */
const ROUNDING_ERROR = 1e-9;

/**
 * Samples the entries that are reported to a caller that balances its load
 * itself. The sample is new for each answer: a fleet is larger than an answer,
 * and a fixed subset in every answer would receive the load of the whole fleet.
 *
 * Entries of different capacity are sampled by the capacity that is left for
 * requests. If all capacities are alike, the sample is uniform.
 *
 * After a restart of the whole fleet, an entry has discovered few others. If
 * only those were reported, they would receive the load of the whole fleet.
 * During that time the other listed entries are reported as well, although some
 * may have ended.
 */
export function sampleEntries(
  views: readonly SampledView[],
  { limit, random, isDiscovering, onSized = () => {} }: EntrySampleOptions,
): PeerRecord[] {
  const usable = listUsable(views, isDiscovering);
  const records = usable.map(({ record }) => record);
  const weights = records.length > MIN_ANSWER
    ? computeEntryWeights(usable)
    : undefined;
  const named = weights === undefined
    ? records
    : sampleByWeight(records, { weights, limit, random, onSized });
  return sampleItems(named, { count: limit, random });
}

function listUsable(
  views: readonly SampledView[],
  isDiscovering: boolean,
): SteeredEntry[] {
  const live: SteeredEntry[] = [];
  const detached: SteeredEntry[] = [];
  for (const { record, health, age } of views) {
    const { state } = record;
    if (state !== "live" && state !== "detached") continue;
    const list = state === "live" ? live : detached;
    if (health === "alive") list.push({ record, age });
    // The use of an entry that is only listed is unknown.
    else if (isDiscovering && health === "suspected") list.push({ record });
  }
  const total = live.length + detached.length;
  return detached.length <= MAX_DETACHED_SHARE * total
    ? live
    : [...live, ...detached];
}

/**
 * Systematic sampling: items are laid end to end by their chance of being
 * drawn, and those at a random offset plus whole numbers are taken. The chances
 * hold exactly, no item is drawn twice, and the size is fixed.
 */
function sampleByWeight<T>(
  items: readonly T[],
  { weights, limit, random, onSized }: {
    weights: Float64Array;
    limit: number;
    random: () => number;
    onSized: (size: AnswerSize) => void;
  },
): T[] {
  const size = computeAnswerSize(weights, { min: MIN_ANSWER, max: limit });
  onSized(size);
  const { count, scale } = size;
  const drawn: T[] = [];
  let end = ROUNDING_ERROR + random();
  for (let index = 0; index < items.length; index++) {
    const begin = end;
    end += Math.min(1, scale * weights[index]!);
    if (Math.floor(end) > Math.floor(begin)) drawn.push(items[index]!);
  }
  return drawn.slice(0, count);
}
