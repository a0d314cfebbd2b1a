/**
 * The schedule of signals of one run of the stop soak, derived from its seed.
 *
 * @module
 */
import { MersenneTwister19937, Random } from "random-js";

/** How entries are told to stop. */
export type StopKind =
  /** One entry. */
  | "one"
  /** One entry; the signal comes again while it stops. */
  | "one_again"
  /** Entries in turn, faster than one of them takes to stop. */
  | "rolling"
  | "all";

/** One series of signals. */
export interface PlannedStop {
  kind: StopKind;
  /** Milliseconds after the end of the warm-up. */
  at: number;
  /** The first entry, modulo their number. */
  target: number;
  /** Time between the signals of a series, in milliseconds. */
  gap: number;
  /** Time from the end of a process until its successor starts. */
  pause: number;
}

/** A change of settings or configuration beside the stops. */
export interface PlannedChange {
  kind: "settings" | "configuration";
  at: number;
  target: number;
}

/** Site and schedule of one run. */
export interface StopPlan {
  entries: number;
  endpoints: number;
  callers: number;
  /** Time from the signal to stop until an entry is killed, in seconds. */
  stopS: number;
  /** Time between two events of a stream, in milliseconds. */
  eventGap: number;
  stops: readonly PlannedStop[];
  changes: readonly PlannedChange[];
}

const STOP_KINDS: readonly StopKind[] = ["one", "one_again", "rolling", "all"];
const STOP_TIMES_S = [2, 3, 5, 8, 12];
const SERIES = 3;
const CHANGES = 6;
const MIN_CALLERS = 12;
const CALLERS_PER_ENTRY = 4;

/** Creates the plan of a seed; `entries` fixes their number. */
export function createStopPlan(
  seed: number,
  { entries }: { entries?: number } = {},
): StopPlan {
  const random = new Random(MersenneTwister19937.seed(seed));
  const drawn = random.integer(2, 6);
  const count = entries ?? drawn;
  const stopS = random.pick([...STOP_TIMES_S]);
  const first = random.integer(0, STOP_KINDS.length - 1);
  // Each series begins while the one before may still run.
  const spacing = 1_000 * stopS;
  const stops = Array.from({ length: SERIES }, (_, index) => ({
    kind: STOP_KINDS[(first + index) % STOP_KINDS.length]!,
    at: index * spacing + random.integer(0, 1_500),
    target: random.integer(0, 99),
    gap: random.integer(200, 1_500),
    pause: random.integer(50, 1_500),
  }));
  const length = SERIES * spacing;
  const changes = Array.from({ length: CHANGES }, () => ({
    kind: random.bool() ? "settings" as const : "configuration" as const,
    at: random.integer(0, length),
    target: random.integer(0, 99),
  }));
  return {
    entries: count,
    endpoints: random.integer(2, 5),
    callers: Math.max(MIN_CALLERS, CALLERS_PER_ENTRY * count),
    stopS,
    eventGap: random.integer(20, 60),
    stops,
    changes,
  };
}

/** Length of the schedule in milliseconds, without the last stop itself. */
export function computePlanLength({ stops, stopS }: StopPlan): number {
  return Math.max(...stops.map(({ at }) => at)) + 1_000 * stopS;
}
