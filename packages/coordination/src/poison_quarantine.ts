/**
 * Quarantine of poison requests: requests that crash the endpoints which run
 * them are refused.
 *
 * A request that crashes every endpoint is repeated under new ids and at any
 * entry, or its prompt has a part that does so in any request. Each crash loses
 * all other work of the endpoint, some dozen streams, and the endpoint is down
 * for seconds; without the quarantine a site of eight engines is down within
 * ten seconds.
 *
 * The evidence is that endpoints crashed while they ran requests with the same
 * traits. A trait that completes anywhere is cleared, since it does not crash
 * every endpoint.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { CommonCause, CrashedRun } from "./crash_evidence.ts";
import {
  CRASHES_TO_BLAME,
  createCrashEvidence,
  EVIDENCE_TTL,
} from "./crash_evidence.ts";
import { createCrashHistory } from "./crash_history.ts";
import { formatTraits, isPartTrait, parseTraits } from "./request_traits.ts";

/** Request contents that are quarantined: those with certain traits. */
export interface QuarantinedContent {
  /** The traits that requests must all have, from `formatTraits`. */
  content: string;
  /** Keys of the endpoints that crashed while they ran such requests. */
  endpointKeys: readonly string[];
  /** How long its requests are refused. */
  term: Millis;
}

/** A request content with fewer crashes than a quarantine needs. */
export interface SuspectedContent {
  content: string;
  /** Time since the last crash. */
  age: Millis;
}

/** A cause of crashes, to be confirmed by what other entries know. */
export interface SuspectedCause extends CommonCause {
  /** The trait whose crashes led to it. */
  trait: string;
  term: Millis;
  /** Whether it was quarantined before; one crash is enough then. */
  isRelapse: boolean;
}

/** What entries know about a suspected cause. */
export interface CauseKnowledge {
  /** Traits that have completed since its first crash or its release. */
  completed: readonly string[];
  /** Endpoints that crashed by another cause. */
  explained: readonly string[];
}

/** What the completion of a request has changed. */
export interface CompletionOutcome {
  /** Its traits that were suspected. */
  suspected: string[];
  /** Contents whose quarantine it ended. */
  released: string[];
}

/** The request contents that one entry suspects or has quarantined. */
export interface PoisonQuarantine {
  /** Counts the crashes that are known here with a trait. */
  countCrashes(trait: string): number;
  /** Whether nothing is suspected, so that no digest needs to be computed. */
  isEmpty(): boolean;
  /**
   * Records a crash against one trait of a run; returns the cause that it leads
   * to, if any, which quarantines nothing before it is confirmed.
   */
  recordCrash(trait: string, run: CrashedRun): SuspectedCause | undefined;
  /**
   * Notes a crash that the store has. It counts against its traits once another
   * crash with them is recorded, or with `recordNoted`.
   */
  noteCrash(run: CrashedRun): void;
  /** Whether the known crashes with a trait may suffice to blame it. */
  hasEnoughCrashes(trait: string): boolean;
  /** Records the noted crashes with a trait, as `recordCrash` does. */
  recordNoted(trait: string): SuspectedCause | undefined;
  /**
   * Confirms a cause by what entries know; returns the quarantine that begins,
   * if evidence remains.
   */
  confirmCause(
    cause: SuspectedCause,
    knowledge: CauseKnowledge,
  ): QuarantinedContent | undefined;
  /** Clears the traits of a request that completed. */
  recordCompletion(traits: readonly string[]): CompletionOutcome;
  /** Lists the quarantines that requests with these traits are in. */
  listQuarantined(traits: readonly string[]): QuarantinedContent[];
  /** Notes that the cause of an endpoint's crash is known. */
  noteExplained(endpointKey: string): void;
  listExplained(endpointKeys: readonly string[]): string[];
  /** Merges a quarantine of a peer; returns whether it is new here. */
  mergeQuarantined(quarantined: QuarantinedContent): boolean;
  /** Merges a suspicion of a peer, so that a completion here is published. */
  recordSuspected(suspected: SuspectedContent): void;
  /** Accepts a content again; its next crash quarantines it for longer. */
  release(content: string): void;
  /**
   * Returns how long requests with these traits are still quarantined; 0 if
   * they are accepted.
   */
  readTimeLeft(traits: readonly string[]): Millis;
  /** Releases the contents whose quarantine has expired, and returns them. */
  releaseExpired(): string[];
  /** Returns recent quarantines to send to peers, newest first. */
  chooseQuarantined(limit: number): QuarantinedContent[];
  /** Returns recent suspicions to send to peers, newest first. */
  chooseSuspected(limit: number): SuspectedContent[];
}

/**
 * After this time a content is accepted again, in case it was suspected wrongly
 * or the endpoints have been fixed. Each further crash doubles the time.
 */
const INITIAL_TERM: Millis = 600_000;
/** The same for parts of prompts that may only accompany several causes. */
const AMBIGUOUS_TERM: Millis = 60_000;
const MAX_TERM: Millis = 86_400_000;
/** Suspicions of peers are of use for as long as evidence is. */
const SUSPICION_TTL: Millis = 600_000;
/** For this long, stale records of peers do not revoke a release. */
const RELEASE_TTL: Millis = 60_000;
/**
 * How long changes are sent to peers; peers that missed them read the store.
 */
const GOSSIP_TTL: Millis = 30_000;
/** Maximum numbers, of some 200 bytes each. */
const MAX_RELEASED = 1_024;
const MAX_SUSPICIONS = 1_024;
const MAX_EXPLAINED = 1_024;

interface QuarantineState {
  traits: readonly string[];
  endpointKeys: readonly string[];
  /** Undefined once released. */
  quarantinedAt: Millis | undefined;
  /** The term of the current or last quarantine; 0 if it was cleared. */
  term: Millis;
  releasedAt: Millis;
  /** The term of the quarantine that was released at `releasedAt`. */
  releasedTerm: Millis;
}

/** Creates an empty quarantine. */
export function createPoisonQuarantine(clock: Clock): PoisonQuarantine {
  const evidence = createCrashEvidence(clock);
  const history = createCrashHistory(clock);
  /** By content, in the order of the last change. */
  const known = new Map<string, QuarantineState>();
  /** Contents that are quarantined now, by each of their traits. */
  const byTrait = new Map<string, Set<string>>();
  /** When peers saw the last crash, by content. */
  const suspectedAt = new Map<string, Millis>();
  const explainedAt = new Map<string, Millis>();
  const releasedAt = new Map<string, Millis>();

  /** Lists the contents that are quarantined now and match these traits. */
  function listMatching(traits: readonly string[]): string[] {
    const contents = new Set(
      traits.flatMap((trait) => [...byTrait.get(trait) ?? []]),
    );
    return [...contents].filter((content) =>
      known.get(content)!.traits.every((trait) => traits.includes(trait))
    );
  }

  /** Finds a content that was quarantined before, and not cleared since. */
  function findRelapsed(
    traits: readonly string[],
  ): QuarantineState | undefined {
    return [...known.values()].find((state) =>
      state.quarantinedAt === undefined && state.term > 0 &&
      state.traits.every((trait) => traits.includes(trait))
    );
  }

  function recordCrash(
    trait: string,
    run: CrashedRun,
  ): SuspectedCause | undefined {
    const { traits, endpointKey } = run;
    if (explainedAt.has(endpointKey)) return undefined;
    if (listMatching(traits).length > 0) {
      noteExplained(endpointKey);
      return undefined;
    }
    const relapsed = findRelapsed(traits);
    if (relapsed !== undefined) {
      const age = clock.now() - relapsed.releasedAt;
      if (run.endedAgo > age) return undefined;
      return {
        trait,
        traits: [...relapsed.traits],
        endpointKeys: [endpointKey],
        age,
        isAmbiguous: false,
        term: Math.min(MAX_TERM, 2 * relapsed.term),
        isRelapse: true,
      };
    }
    const earlier = history.remove(trait);
    for (const one of [...earlier, run]) {
      if (!explainedAt.has(one.endpointKey)) evidence.record(trait, one);
    }
    return findSuspectedCause(trait);
  }

  function noteCrash(run: CrashedRun): void {
    if (run.endedAgo >= EVIDENCE_TTL) return;
    const endedAt = clock.now() - run.endedAgo;
    const traits = run.traits.filter((trait) =>
      (releasedAt.get(trait) ?? -Infinity) < endedAt
    );
    history.add(run, traits);
  }

  function hasEnoughCrashes(trait: string): boolean {
    const noted = history.countEndpoints(trait);
    if (noted === 0) return false;
    return noted + evidence.countCrashes(trait) >= CRASHES_TO_BLAME ||
      [...known.values()].some(({ quarantinedAt, term, traits }) =>
        quarantinedAt === undefined && term > 0 && traits.includes(trait)
      );
  }

  function recordNoted(trait: string): SuspectedCause | undefined {
    return history.remove(trait)
      .map((run) => recordCrash(trait, run))
      .findLast((cause) => cause !== undefined);
  }

  function findSuspectedCause(trait: string): SuspectedCause | undefined {
    const earlier = [...byTrait.get(trait) ?? []]
      .map((content) => known.get(content)!.traits);
    const cause = evidence.findCause(trait, earlier);
    if (cause === undefined) return undefined;
    const term = cause.isAmbiguous ? AMBIGUOUS_TERM : INITIAL_TERM;
    return { trait, ...cause, term, isRelapse: false };
  }

  function confirmCause(
    cause: SuspectedCause,
    { completed, explained }: CauseKnowledge,
  ): QuarantinedContent | undefined {
    completed.forEach(clearTrait);
    explained.forEach(noteExplained);
    const confirmed = cause.isRelapse ? cause : findSuspectedCause(cause.trait);
    if (confirmed === undefined) return undefined;
    const traits = confirmed.traits.filter((trait) =>
      !completed.includes(trait)
    );
    if (traits.length === 0) {
      clearReleased(formatTraits(confirmed.traits));
      return undefined;
    }
    if (listMatching(traits).length > 0) return undefined;
    const { endpointKeys, term } = confirmed;
    const found = { content: formatTraits(traits), endpointKeys, term };
    startQuarantine(found);
    return found;
  }

  function startQuarantine(
    { content, endpointKeys, term }: QuarantinedContent,
  ): void {
    const traits = parseTraits(content);
    const before = known.get(content);
    known.delete(content);
    known.set(content, {
      traits,
      endpointKeys,
      quarantinedAt: clock.now(),
      term,
      releasedAt: before?.releasedAt ?? -Infinity,
      releasedTerm: before?.releasedTerm ?? 0,
    });
    for (const trait of traits) {
      byTrait.set(trait, (byTrait.get(trait) ?? new Set()).add(content));
    }
    suspectedAt.delete(content);
    evidence.removeCrashes(endpointKeys, traits);
    for (const endpointKey of endpointKeys) {
      putBounded(explainedAt, [endpointKey, clock.now()], MAX_EXPLAINED);
    }
  }

  function noteExplained(endpointKey: string): void {
    putBounded(explainedAt, [endpointKey, clock.now()], MAX_EXPLAINED);
    evidence.removeCrashes([endpointKey], []);
  }

  function mergeQuarantined(quarantined: QuarantinedContent): boolean {
    const state = known.get(quarantined.content);
    if (state?.quarantinedAt !== undefined) return false;
    if (state !== undefined && isStale(state, quarantined)) return false;
    startQuarantine(quarantined);
    return true;
  }

  /**
   * A stale record has no longer term than the quarantine that was released.
   */
  function isStale(
    { releasedAt, releasedTerm }: QuarantineState,
    { term }: QuarantinedContent,
  ): boolean {
    return clock.now() - releasedAt < RELEASE_TTL && term <= releasedTerm;
  }

  function release(content: string): void {
    clearTrait(content);
    const state = known.get(content);
    if (state?.quarantinedAt === undefined) return;
    state.releasedTerm = state.term;
    state.quarantinedAt = undefined;
    state.releasedAt = clock.now();
    for (const trait of state.traits) {
      const contents = byTrait.get(trait);
      contents?.delete(content);
      if (contents?.size === 0) byTrait.delete(trait);
      evidence.remove(trait);
    }
    evictReleased();
  }

  /** Forgets that a content was quarantined, so that it can't relapse. */
  function clearReleased(content: string): void {
    const state = known.get(content);
    if (state !== undefined) state.term = 0;
  }

  function evictReleased(): void {
    const released = [...known].filter(([, { quarantinedAt }]) =>
      quarantinedAt === undefined
    );
    released.slice(0, Math.max(0, released.length - MAX_RELEASED))
      .forEach(([content]) => known.delete(content));
  }

  /** Returns whether the trait was suspected. */
  function clearTrait(trait: string): boolean {
    const wasCounted = evidence.remove(trait);
    const hadHistory = history.remove(trait).length > 0;
    const hadEvidence = wasCounted || hadHistory;
    const wasSuspected = isSuspectedByPeers(trait);
    suspectedAt.delete(trait);
    if (!hadEvidence && !wasSuspected) return false;
    putBounded(releasedAt, [trait, clock.now()], MAX_SUSPICIONS);
    return true;
  }

  function isSuspectedByPeers(content: string): boolean {
    return clock.now() - (suspectedAt.get(content) ?? -Infinity) <
      SUSPICION_TTL;
  }

  function recordCompletion(traits: readonly string[]): CompletionOutcome {
    const released = listMatching(traits);
    for (const content of released) {
      release(content);
      clearReleased(content);
    }
    const suspected = traits.filter((trait) =>
      clearTrait(trait) || released.includes(trait)
    );
    return { suspected, released };
  }

  function recordSuspected({ content, age }: SuspectedContent): void {
    if (known.get(content)?.quarantinedAt !== undefined) return;
    const now = clock.now();
    if (now - (releasedAt.get(content) ?? -Infinity) < RELEASE_TTL) return;
    const at = Math.max(suspectedAt.get(content) ?? -Infinity, now - age);
    putBounded(suspectedAt, [content, at], MAX_SUSPICIONS);
  }

  function readContentTimeLeft(content: string): Millis {
    const { quarantinedAt, term } = known.get(content)!;
    return quarantinedAt === undefined
      ? 0
      : Math.max(0, quarantinedAt + term - clock.now());
  }

  function releaseExpired(): string[] {
    const expired = [...known]
      .filter(([content, { quarantinedAt }]) =>
        quarantinedAt !== undefined && readContentTimeLeft(content) === 0
      )
      .map(([content]) => content);
    expired.forEach(release);
    removeExpired();
    return expired;
  }

  function removeExpired(): void {
    evidence.removeExpired();
    history.removeExpired();
    for (const [content, state] of known) {
      const isOver = state.quarantinedAt === undefined && state.term === 0 &&
        clock.now() - state.releasedAt >= RELEASE_TTL;
      if (isOver) known.delete(content);
    }
    removeOlder(suspectedAt, SUSPICION_TTL);
    removeOlder(explainedAt, SUSPICION_TTL);
    removeOlder(releasedAt, RELEASE_TTL);
  }

  function removeOlder(times: Map<string, Millis>, ttl: Millis): void {
    for (const [key, at] of times) {
      if (clock.now() - at >= ttl) times.delete(key);
    }
  }

  return {
    isEmpty: () =>
      evidence.size === 0 && history.isEmpty() && known.size === 0 &&
      suspectedAt.size === 0,
    countCrashes: evidence.countCrashes,
    recordCrash,
    noteCrash,
    hasEnoughCrashes,
    recordNoted,
    confirmCause,
    recordCompletion,
    listQuarantined: (traits) =>
      listMatching(traits).map((content) => {
        const { endpointKeys, term } = known.get(content)!;
        return { content, endpointKeys, term };
      }),
    noteExplained,
    listExplained: (endpointKeys) =>
      endpointKeys.filter((key) => explainedAt.has(key)),
    mergeQuarantined,
    recordSuspected,
    release,
    readTimeLeft: (traits) =>
      Math.max(0, ...listMatching(traits).map(readContentTimeLeft)),
    releaseExpired,
    chooseQuarantined: (limit) =>
      [...known].reverse().flatMap(
        ([content, { quarantinedAt, endpointKeys, term }]) => {
          const age = clock.now() - (quarantinedAt ?? -Infinity);
          return age > GOSSIP_TTL ? [] : [{ content, endpointKeys, term }];
        },
      ).slice(0, limit),
    // Parts of prompts are asked for once a cause is to be confirmed.
    chooseSuspected: (limit) =>
      [...new Set([...evidence.list(), ...suspectedAt.keys()])]
        .filter((content) => !isPartTrait(content))
        .map((content) => ({
          content,
          age: Math.min(
            evidence.readAge(content),
            clock.now() - (suspectedAt.get(content) ?? -Infinity),
          ),
        }))
        .filter(({ age }) => age <= GOSSIP_TTL)
        .slice(0, limit),
  };
}
