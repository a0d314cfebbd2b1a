/**
 * The fault schedule of one soak run, derived from its seed alone.
 *
 * @module
 */
import { MersenneTwister19937, Random } from "random-js";

/** Kinds of injected faults; all except `key_revoked` and `endpoint_leaves` are temporary. */
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
  /** An endpoint crashes and restarts under the same id. */
  | "endpoint_restarted"
  /** Another writer adds its own records to the endpoints' topic. */
  | "foreign_records"
  /** The store fails, then is restored from a copy that is some seconds old. */
  | "store_from_copy"
  /** A place is evacuated for some seconds: it must get no new work. */
  | "place_evacuated"
  /** An endpoint reports that it is cold and can handle little load. */
  | "endpoint_cold"
  /** An endpoint reports a rate limit in its responses. */
  | "endpoint_limited"
  /** An endpoint refuses all requests with a retry-after time. */
  | "endpoint_paused"
  /** An endpoint reports only in its responses that it is leaving, and exits later. */
  | "endpoint_says_leaving"
  /** An entry reaches no endpoint, but callers, the store and its peers. */
  | "endpoints_cut"
  /** All entries but one reach no endpoint. */
  | "endpoints_cut_most"
  /** An endpoint reports that it falls over if it rejects too many requests. */
  | "endpoint_brittle"
  /** A sound endpoint does not respond for a second, and goes on. */
  | "endpoint_silent"
  /** An endpoint of resumable streams leaves; one of another version follows. */
  | "chat_released"
  /** An endpoint of resumable streams crashes; one of its version follows. */
  | "chat_killed"
  /** All connections of callers to an entry are reset. */
  | "callers_reset"
  /** All entries are killed at once. */
  | "entries_killed"
  /** The same, several times in a run. */
  | "entries_killed_again"
  /** All endpoints of a pool fail requests for some time. */
  | "pool_failing";

/** One scheduled fault. */
export interface PlannedFault {
  kind: FaultKind;
  /** Milliseconds after the run's start. */
  at: number;
  /** Duration in milliseconds. */
  duration: number;
  /** Selects the affected entry, endpoint or link, modulo their number. */
  target: number;
}

/** Kinds of the schedules of the first regression seeds. */
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
/**
 * Each added group has its own random sequence, so that the schedules of
 * existing regression seeds stay the same.
 */
const SECOND_KINDS: readonly FaultKind[] = [
  "endpoint_restarted",
  "foreign_records",
];
const THIRD_KINDS: readonly FaultKind[] = [
  "store_from_copy",
  "place_evacuated",
  "endpoint_cold",
];
const SIGNAL_KINDS: readonly FaultKind[] = [
  "endpoint_limited",
  "endpoint_paused",
  "endpoint_says_leaving",
];
const PATH_KINDS: readonly FaultKind[] = [
  "endpoints_cut",
  "endpoints_cut_most",
  "endpoint_brittle",
  "endpoint_silent",
];
const VERSION_KINDS: readonly FaultKind[] = [
  "chat_released",
  "chat_released",
  "chat_killed",
  "callers_reset",
  "callers_reset",
  "entries_killed",
];
const REPEAT_KINDS: readonly FaultKind[] = [
  "pool_failing",
  "pool_failing",
  "pool_failing",
  "entries_killed_again",
];
const SECOND_SEED_OFFSET = 1_000_003;
const THIRD_SEED_OFFSET = 2_000_003;
const SIGNAL_SEED_OFFSET = 3_000_003;
const PATH_SEED_OFFSET = 4_000_003;
const VERSION_SEED_OFFSET = 5_000_003;
const REPEAT_SEED_OFFSET = 6_000_003;
/** One fault per half second on average, so that faults overlap. Milliseconds. */
const FIRST_MEAN_GAP = 500;
const SECOND_MEAN_GAP = 1_500;
const THIRD_MEAN_GAP = 2_000;
const SIGNAL_MEAN_GAP = 1_500;
const PATH_MEAN_GAP = 2_000;
const VERSION_MEAN_GAP = 1_200;
const REPEAT_MEAN_GAP = 1_500;
const MIN_DURATION = 200;
const MAX_DURATION = 1_800;
/** Kinds that must not happen twice: there is one key and one spare endpoint. */
const ONCE_PER_RUN: ReadonlySet<FaultKind> = new Set([
  "key_revoked",
  "endpoint_leaves",
  "place_evacuated",
  "endpoint_says_leaving",
  "entries_killed",
]);

/** The groups of fault kinds that a run includes. */
export type FaultKindSet =
  | "first"
  | "second"
  | "third"
  | "signals"
  | "paths"
  | "versions"
  /** Also answers without a length, and requests that crash endpoints. */
  | "all"
  /** Also pools that fail, with one content that crashes endpoints. */
  | "repeats";

/** Creates the fault schedule of a run, ordered by time. */
export function createSoakPlan(
  seed: number,
  length: number,
  { kinds = "all" }: { kinds?: FaultKindSet } = {},
): PlannedFault[] {
  const first = planKinds(FIRST_KINDS, {
    seed,
    length,
    meanGap: FIRST_MEAN_GAP,
  });
  if (kinds === "first") return first;
  const second = planKinds(SECOND_KINDS, {
    seed: seed + SECOND_SEED_OFFSET,
    length,
    meanGap: SECOND_MEAN_GAP,
  });
  const third = kinds === "second" ? [] : planKinds(THIRD_KINDS, {
    seed: seed + THIRD_SEED_OFFSET,
    length,
    meanGap: THIRD_MEAN_GAP,
  });
  const hasRepeats = kinds === "repeats";
  const hasVersions = kinds === "versions" || kinds === "all" || hasRepeats;
  const hasPaths = kinds === "paths" || hasVersions;
  const hasSignals = kinds === "signals" || hasPaths;
  const signals = !hasSignals ? [] : planKinds(SIGNAL_KINDS, {
    seed: seed + SIGNAL_SEED_OFFSET,
    length,
    meanGap: SIGNAL_MEAN_GAP,
  });
  const paths = !hasPaths ? [] : planKinds(PATH_KINDS, {
    seed: seed + PATH_SEED_OFFSET,
    length,
    meanGap: PATH_MEAN_GAP,
  });
  const versions = !hasVersions ? [] : planKinds(VERSION_KINDS, {
    seed: seed + VERSION_SEED_OFFSET,
    length,
    meanGap: VERSION_MEAN_GAP,
  });
  const repeats = !hasRepeats ? [] : planKinds(REPEAT_KINDS, {
    seed: seed + REPEAT_SEED_OFFSET,
    length,
    meanGap: REPEAT_MEAN_GAP,
  });
  return [
    ...first,
    ...second,
    ...third,
    ...signals,
    ...paths,
    ...versions,
    ...repeats,
  ].sort((a, b) => a.at - b.at);
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
    const duration = random.integer(MIN_DURATION, MAX_DURATION);
    const kind = random.pick([...kinds]);
    const target = random.integer(0, 1_000);
    if (at + duration >= length) return faults;
    if (ONCE_PER_RUN.has(kind) && seen.has(kind)) continue;
    seen.add(kind);
    faults.push({ kind, at, duration, target });
  }
}
