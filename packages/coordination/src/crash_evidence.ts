/**
 * Evidence against traits of requests: endpoints that crashed while they ran
 * requests with a trait.
 *
 * A request has several traits, and an endpoint runs several requests, so each
 * crash counts against many traits of which one is the cause. Traits that two
 * causes have in common, or that the cause always comes with, are told apart by
 * what the requests of all crashes share: a suspected trait is blamed together
 * with the traits that accompanied it at every crash. Requests that have only
 * some of them go on. Parts of prompts begin with those that most requests
 * share, so a later part is blamed before an earlier one that it came with.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { isPartTrait } from "./request_traits.ts";

/** A run during which its endpoint crashed. */
export interface CrashedRun {
  /** The content and then the parts of the prompt, in their order. */
  traits: readonly string[];
  endpointKey: string;
  /** Time since it was sent there. */
  sentAgo: Millis;
  /** Time since the endpoint crashed. */
  endedAgo: Millis;
}

/** A crash of an endpoint that ran requests with a trait. */
interface Crash {
  endpointKey: string;
  at: Millis;
  /** When the first known of those requests was sent there. */
  sentAt: Millis;
  /** The traits of each of those requests. */
  runs: (readonly string[])[];
}

/** What the crashes with a trait have in common. */
export interface CommonCause {
  /** The suspected trait and those that accompanied it each time. */
  traits: string[];
  endpointKeys: string[];
  /** Time since the first crash, or since it was released. */
  age: Millis;
  /** Whether several later parts may have caused the crashes instead. */
  isAmbiguous: boolean;
}

/** The evidence that one entry has collected. */
export interface CrashEvidence {
  readonly size: number;
  /** Records a crash against one trait of a run. */
  record(trait: string, run: CrashedRun): void;
  /**
   * Finds the common cause if there are enough crashes. `earlier` are sets of
   * traits that are known as a cause: crashes without one of their traits must
   * add up by themselves.
   */
  findCause(
    trait: string,
    earlier: readonly (readonly string[])[],
  ): CommonCause | undefined;
  /** Counts the recent crashes with a trait. */
  countCrashes(trait: string): number;
  remove(trait: string): boolean;
  /** Removes crashes whose cause is known from traits other than `except`. */
  removeCrashes(
    endpointKeys: readonly string[],
    except: readonly string[],
  ): void;
  /** Time since the last crash with a trait. */
  readAge(trait: string): Millis;
  /** Lists the traits, those with the newest evidence first. */
  list(): string[];
  removeExpired(): void;
}

/**
 * One crash may happen during any request, and two during one that was retried.
 * A third in a row is no coincidence, and each crash loses all work of the
 * endpoint.
 */
export const CRASHES_TO_BLAME = 3;
/** By then, several causes among the later parts were blamed themselves. */
const CRASHES_TO_BLAME_AMBIGUOUS = 5;
/** Moments of crashes that show that a known cause was described too narrowly. */
const MOMENTS_TO_WIDEN = 2;
/**
 * Crashes within this time belong to one moment: they may have a common cause,
 * and a trait that many requests have may be at all of these endpoints.
 */
const SIMULTANEOUS_WINDOW: Millis = 500;
/**
 * Crashes must be of several moments, between which a trait that is not to blame
 * completes. Few requests have the same content, but many may share a part.
 */
const CONTENT_MOMENTS = 2;
const PART_MOMENTS = 3;
/** Crashes further apart are unrelated. */
export const EVIDENCE_TTL: Millis = 600_000;
/** Crashes of a trait that are kept, those of one moment, and runs of a crash. */
const MAX_CRASHES = 12;
const MAX_CRASHES_OF_MOMENT = 3;
const MAX_RUNS = 6;
/** Some kilobytes each at most; evicts those with the oldest evidence. */
const MAX_TRAITS = 512;

/** Creates the evidence of an entry that has seen no crash. */
export function createCrashEvidence(clock: Clock): CrashEvidence {
  /** By trait, in the order of the last change; crashes oldest first. */
  const known = new Map<string, Crash[]>();

  function listRecent(trait: string): Crash[] {
    return (known.get(trait) ?? [])
      .filter(({ at }) => clock.now() - at < EVIDENCE_TTL);
  }

  function record(trait: string, run: CrashedRun): void {
    const crashes = listRecent(trait);
    const present = crashes.find(({ endpointKey }) =>
      endpointKey === run.endpointKey
    );
    // Several requests with the trait may have run there.
    if (present !== undefined) return addRun(present, run.traits);
    const crash = {
      endpointKey: run.endpointKey,
      at: clock.now() - run.endedAgo,
      sentAt: clock.now() - run.sentAgo,
      runs: [run.traits],
    };
    const beside = crashes.filter((other) => isSimultaneous(other, crash));
    if (beside.length >= MAX_CRASHES_OF_MOMENT) return;
    crashes.push(crash);
    // Crashes that are read from the store may be older.
    crashes.sort((a, b) => a.at - b.at);
    known.delete(trait);
    known.set(trait, crashes.slice(-MAX_CRASHES));
    const [oldest] = known.keys();
    if (known.size > MAX_TRAITS) known.delete(oldest!);
  }

  /** The same run may be reported and be read from the store. */
  function addRun({ runs }: Crash, traits: readonly string[]): void {
    const isKnown = runs.some((run) =>
      run.length === traits.length && hasAll(run, traits)
    );
    if (!isKnown && runs.length < MAX_RUNS) runs.push(traits);
  }

  function findCause(
    trait: string,
    earlier: readonly (readonly string[])[],
  ): CommonCause | undefined {
    const crashes = listRecent(trait);
    const moments = isPartTrait(trait) ? PART_MOMENTS : CONTENT_MOMENTS;
    if (crashes.length < CRASHES_TO_BLAME) return undefined;
    if (countMoments(crashes) < moments) return undefined;
    const isWider = earlier.every((traits) =>
      countMoments(
        crashes.filter(({ runs }) => !runs.some((run) => hasAll(run, traits))),
      ) >= MOMENTS_TO_WIDEN
    );
    if (!isWider) return undefined;
    const [first, ...others] = crashes;
    const largest = findCommonTraits(first!, others);
    const mayBeLater = (except: readonly string[]) =>
      crashes.every(({ runs }) =>
        runs.some((run) => hasLaterPart(run, { trait, except }))
      );
    const shared = listInAll(largest);
    const traits = mayBeLater(shared) ? largest[0]! : shared;
    const isAmbiguous = mayBeLater(traits);
    // The evidence against a later part that came with it each time tells more.
    const isLast = !hasLaterPart(traits, { trait, except: [] });
    const isEarly = crashes.length < CRASHES_TO_BLAME_AMBIGUOUS;
    if (isEarly && (isAmbiguous || !isLast)) return undefined;
    return {
      traits: [...traits],
      endpointKeys: crashes.map(({ endpointKey }) => endpointKey),
      age: clock.now() - first!.at,
      isAmbiguous,
    };
  }

  function removeCrashes(
    endpointKeys: readonly string[],
    except: readonly string[],
  ): void {
    for (const [trait, crashes] of known) {
      if (except.includes(trait)) continue;
      const left = crashes.filter(({ endpointKey }) =>
        !endpointKeys.includes(endpointKey)
      );
      if (left.length === 0) known.delete(trait);
      else known.set(trait, left);
    }
  }

  return {
    get size() {
      return known.size;
    },
    record,
    findCause,
    countCrashes: (trait) => listRecent(trait).length,
    remove: (trait) => known.delete(trait),
    removeCrashes,
    readAge: (trait) =>
      clock.now() - (known.get(trait)?.at(-1)?.at ?? -Infinity),
    list: () => [...known.keys()].reverse(),
    removeExpired() {
      for (const trait of [...known.keys()]) {
        if (listRecent(trait).length === 0) known.delete(trait);
      }
    },
  };
}

/** Whether a crash may have had the same cause as an earlier one. */
function isSimultaneous(earlier: Crash, { at, sentAt }: Crash): boolean {
  return sentAt < earlier.at &&
    Math.abs(at - earlier.at) < SIMULTANEOUS_WINDOW;
}

/** Counts the moments of crashes, which are ordered by their time. */
function countMoments(crashes: readonly Crash[]): number {
  const firsts: Crash[] = [];
  for (const crash of crashes) {
    if (!firsts.some((first) => isSimultaneous(first, crash))) {
      firsts.push(crash);
    }
  }
  return firsts.length;
}

/** Whether a run had a part after the trait besides those in common. */
function hasLaterPart(
  run: readonly string[],
  { trait, except }: { trait: string; except: readonly string[] },
): boolean {
  const from = run.indexOf(trait) + 1;
  return isPartTrait(trait) &&
    run.slice(from).some((part) => !except.includes(part));
}

function hasAll(run: readonly string[], traits: readonly string[]): boolean {
  return traits.every((trait) => run.includes(trait));
}

/**
 * Finds the largest sets of traits that a run of each crash had. There are
 * several where other traits vary within each crash: none of those is needed for
 * a crash.
 */
function findCommonTraits(
  first: Crash,
  others: readonly Crash[],
): (readonly string[])[] {
  const found = first.runs.map((run) =>
    others.reduce<readonly string[]>(
      (common, { runs }) =>
        findLargest(
          runs.map((other) => common.filter((trait) => other.includes(trait))),
        ),
      run,
    )
  );
  const { length } = findLargest(found);
  return found.filter((set) => set.length === length);
}

function findLargest(sets: readonly (readonly string[])[]): readonly string[] {
  return sets.reduce((best, set) => set.length > best.length ? set : best);
}

function listInAll(sets: readonly (readonly string[])[]): string[] {
  const [first = [], ...others] = sets;
  return first.filter((trait) => others.every((set) => set.includes(trait)));
}
