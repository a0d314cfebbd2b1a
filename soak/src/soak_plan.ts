/**
 * Which faults happen when in one run of the soak, from its seed alone.
 *
 * @module
 */
import { MersenneTwister19937, Random } from "random-js";

/** What goes wrong; all but `key_revoked` and `endpoint_leaves` end by themselves. */
export type FaultKind =
  | "entry_killed"
  | "entry_paused"
  | "entry_stopped"
  | "store_silent"
  | "store_failing"
  | "store_slow"
  | "link_delayed"
  | "link_reset"
  | "link_one_way"
  | "link_silent"
  | "endpoint_killed"
  | "endpoint_leaves"
  | "key_revoked"
  | "config_changed"
  /** An endpoint crashes and starts again under its id. */
  | "endpoint_restarted"
  /** Another writer puts records of its own beside the endpoints'. */
  | "foreign_records"
  /** The store is away and comes back from a copy of some seconds before. */
  | "store_from_copy"
  /** A place is to get nothing new for some seconds. */
  | "place_evacuated"
  /** An endpoint says that it is cold, and bears little. */
  | "endpoint_cold"
  /** An endpoint names a limit in its answers. */
  | "endpoint_limited"
  /** An endpoint turns all away and says for how long it wants nothing. */
  | "endpoint_paused"
  /** An endpoint says that it leaves in its answers only, and ends later. */
  | "endpoint_says_leaving";

/** One fault. */
export interface PlannedFault {
  kind: FaultKind;
  /** Milliseconds after the run's start. */
  at: number;
  /** How long it lasts, in milliseconds. */
  duration: number;
  /** Number of the entry, endpoint or link that it hits, before a modulus. */
  target: number;
}

/** Kinds of which the seeds that are kept were planned. */
const FIRST_KINDS: readonly FaultKind[] = [
  "entry_killed",
  "entry_paused",
  "entry_stopped",
  "store_silent",
  "store_failing",
  "store_slow",
  "link_delayed",
  "link_reset",
  "link_one_way",
  "link_silent",
  "endpoint_killed",
  "endpoint_leaves",
  "key_revoked",
  "config_changed",
];
/** Planned apart from the others, so that kept seeds stay what they were. */
const LATER_KINDS: readonly FaultKind[] = [
  "endpoint_restarted",
  "foreign_records",
];
/** Planned apart again. */
const NEWEST_KINDS: readonly FaultKind[] = [
  "store_from_copy",
  "place_evacuated",
  "endpoint_cold",
];
/** Planned apart once more. */
const SIGNAL_KINDS: readonly FaultKind[] = [
  "endpoint_limited",
  "endpoint_paused",
  "endpoint_says_leaving",
];
const LATER_SEED_OFFSET = 1_000_003;
const NEWEST_SEED_OFFSET = 2_000_003;
const SIGNAL_SEED_OFFSET = 3_000_003;
/** Faults come in series: about one each half second, so that they overlap. */
const MEAN_GAP = 500;
const LATER_MEAN_GAP = 1_500;
const NEWEST_MEAN_GAP = 2_000;
const SIGNAL_MEAN_GAP = 1_500;
const SHORTEST = 200;
const LONGEST = 1_800;
/** Kinds that must not happen twice: there is one key and one spare endpoint. */
const ONCE: ReadonlySet<FaultKind> = new Set([
  "key_revoked",
  "endpoint_leaves",
  "place_evacuated",
  "endpoint_says_leaving",
]);

/** Which kinds of faults a run has. */
export type SoakKinds = "first" | "second" | "third" | "all";

/** Plans the faults of a run, in order of time. */
export function createSoakPlan(
  seed: number,
  length: number,
  { kinds = "all" }: { kinds?: SoakKinds } = {},
): PlannedFault[] {
  const first = planKinds(FIRST_KINDS, { seed, length, meanGap: MEAN_GAP });
  if (kinds === "first") return first;
  const later = planKinds(LATER_KINDS, {
    seed: seed + LATER_SEED_OFFSET,
    length,
    meanGap: LATER_MEAN_GAP,
  });
  const newest = kinds === "second" ? [] : planKinds(NEWEST_KINDS, {
    seed: seed + NEWEST_SEED_OFFSET,
    length,
    meanGap: NEWEST_MEAN_GAP,
  });
  const signals = kinds !== "all" ? [] : planKinds(SIGNAL_KINDS, {
    seed: seed + SIGNAL_SEED_OFFSET,
    length,
    meanGap: SIGNAL_MEAN_GAP,
  });
  return [...first, ...later, ...newest, ...signals]
    .sort((a, b) => a.at - b.at);
}

function planKinds(
  kinds: readonly FaultKind[],
  { seed, length, meanGap }: { seed: number; length: number; meanGap: number },
): PlannedFault[] {
  const random = new Random(MersenneTwister19937.seed(seed));
  const faults: PlannedFault[] = [];
  const seen = new Set<FaultKind>();
  let at = 0;
  for (;;) {
    at += random.integer(1, 2 * meanGap);
    const duration = random.integer(SHORTEST, LONGEST);
    const kind = random.pick([...kinds]);
    const target = random.integer(0, 1_000);
    if (at + duration >= length) return faults;
    if (ONCE.has(kind) && seen.has(kind)) continue;
    seen.add(kind);
    faults.push({ kind, at, duration, target });
  }
}
