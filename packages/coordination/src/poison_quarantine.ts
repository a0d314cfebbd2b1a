/**
 * Quarantine of poison requests: requests that crash the endpoints which run
 * them are refused.
 *
 * A request that crashes every endpoint is repeated under new ids and at any
 * entry. Each crash loses all other work of the endpoint, some dozen streams,
 * and the endpoint is down for seconds; without the quarantine a site of eight
 * engines is down within ten seconds.
 *
 * The evidence against a request content is that endpoints crashed while they
 * ran it. A content that completes anywhere is cleared, since it does not crash
 * every endpoint.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A run during which its endpoint crashed. */
export interface CrashedRun {
  /** From `computeContentDigest`. */
  content: string;
  endpointKey: string;
  /** Time since it was sent there. */
  sentAgo: Millis;
  /** Time since the endpoint crashed. */
  endedAgo: Millis;
}

/** A request content that is quarantined. */
export interface QuarantinedContent {
  content: string;
  /** Keys of the endpoints that crashed while they ran it. */
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

/** The request contents that one entry suspects or has quarantined. */
export interface PoisonQuarantine {
  /** Whether nothing is suspected, so that no digest needs to be computed. */
  isEmpty(): boolean;
  /** Records a crash; returns the quarantine that it starts, if any. */
  recordCrash(run: CrashedRun): QuarantinedContent | undefined;
  /** Clears a content; returns whether it was suspected or quarantined. */
  recordCompletion(content: string): boolean;
  /** Merges a quarantine of a peer; returns whether it is new here. */
  mergeQuarantined(quarantined: QuarantinedContent): boolean;
  /** Merges a suspicion of a peer, so that a completion here is published. */
  recordSuspected(suspected: SuspectedContent): void;
  /** Accepts a content again; its next crash quarantines it for longer. */
  release(content: string): void;
  /** Returns how long a content is still quarantined; 0 if it is accepted. */
  readTimeLeft(content: string): Millis;
  /** Releases the contents whose quarantine has expired, and returns them. */
  releaseExpired(): string[];
  /** Returns recent quarantines to send to peers, newest first. */
  chooseQuarantined(limit: number): QuarantinedContent[];
  /** Returns recent suspicions to send to peers, newest first. */
  chooseSuspected(limit: number): SuspectedContent[];
}

/**
 * One crash may happen during any request, and two during one that was retried.
 * A third in a row is no coincidence, and each crash loses all work of the
 * endpoint.
 */
const CRASHES_TO_QUARANTINE = 3;
/**
 * Crashes within this time count once: they may have a common cause, and a
 * content that many callers request may run at all of these endpoints.
 */
const SIMULTANEOUS_WINDOW: Millis = 500;
/** Crashes further apart are unrelated. */
const EVIDENCE_TTL: Millis = 600_000;
/**
 * After this time a content is accepted again, in case it was suspected wrongly
 * or the endpoints have been fixed. Each further crash doubles the time.
 */
const INITIAL_TERM: Millis = 600_000;
const MAX_TERM: Millis = 86_400_000;
/** For this long, stale records of peers do not revoke a release. */
const RELEASE_TTL: Millis = 60_000;
/**
 * How long changes are sent to peers; peers that missed them read the store.
 */
const GOSSIP_TTL: Millis = 30_000;
/**
 * Maximum number of contents, of some 200 bytes; evicts the oldest suspects.
 */
const MAX_CONTENTS = 2_048;

interface Crash {
  endpointKey: string;
  at: Millis;
}

interface ContentState {
  /** Crashes of endpoints that ran it, oldest first. */
  ends: Crash[];
  /** Time of the last crash as reported by peers. */
  suspectedAt: Millis;
  quarantinedAt: Millis | undefined;
  /** The term of the current or last quarantine. */
  term: Millis;
  releasedAt: Millis;
  /** The term of the quarantine that was released at `releasedAt`. */
  releasedTerm: Millis;
}

/** Creates an empty quarantine. */
export function createPoisonQuarantine(clock: Clock): PoisonQuarantine {
  /** By content, in the order of the last change. */
  const known = new Map<string, ContentState>();

  /** Returns the state of a content, created if missing, moved to the end. */
  function keep(content: string): ContentState {
    const state = known.get(content) ?? {
      ends: [],
      suspectedAt: -Infinity,
      quarantinedAt: undefined,
      term: 0,
      releasedAt: -Infinity,
      releasedTerm: 0,
    };
    known.delete(content);
    known.set(content, state);
    if (known.size > MAX_CONTENTS) evictOldest();
    return state;
  }

  function evictOldest(): void {
    for (const [content, { quarantinedAt }] of known) {
      if (quarantinedAt !== undefined) continue;
      known.delete(content);
      return;
    }
  }

  /** Whether the crash is already attributed to a quarantined content. */
  function isAttributed(endpointKey: string): boolean {
    return [...known.values()].some(({ quarantinedAt, ends }) =>
      quarantinedAt !== undefined &&
      ends.some((crash) => crash.endpointKey === endpointKey)
    );
  }

  function isSimultaneous(last: Crash | undefined, run: CrashedRun): boolean {
    if (last === undefined) return false;
    const now = clock.now();
    return now - run.sentAgo < last.at &&
      now - run.endedAgo - last.at < SIMULTANEOUS_WINDOW;
  }

  /** Removes these crashes from other suspects, as their cause is now known. */
  function removeAttributed(endpointKeys: readonly string[]): void {
    for (const [content, { ends, quarantinedAt, term }] of known) {
      if (quarantinedAt !== undefined) continue;
      const left = ends.filter(({ endpointKey }) =>
        !endpointKeys.includes(endpointKey)
      );
      if (left.length === 0 && ends.length > 0 && term === 0) {
        known.delete(content);
      } else ends.splice(0, ends.length, ...left);
    }
  }

  function recordCrash(run: CrashedRun): QuarantinedContent | undefined {
    const { content, endpointKey, endedAgo } = run;
    const now = clock.now();
    if (isAttributed(endpointKey)) return undefined;
    const suspect = keep(content);
    if (suspect.quarantinedAt !== undefined) return undefined;
    const recent = suspect.ends.filter(({ at }) => now - at < EVIDENCE_TTL);
    suspect.ends = recent;
    const isKnownCrash = recent.some((crash) =>
      crash.endpointKey === endpointKey
    );
    if (isKnownCrash || isSimultaneous(recent.at(-1), run)) return undefined;
    recent.push({ endpointKey, at: now - endedAgo });
    const isRelapse = suspect.term > 0;
    if (!isRelapse && recent.length < CRASHES_TO_QUARANTINE) return undefined;
    const found = {
      content,
      endpointKeys: recent.map((crash) => crash.endpointKey),
      term: isRelapse ? Math.min(MAX_TERM, 2 * suspect.term) : INITIAL_TERM,
    };
    startQuarantine(suspect, found);
    return found;
  }

  function startQuarantine(
    suspect: ContentState,
    { endpointKeys, term }: QuarantinedContent,
  ) {
    const now = clock.now();
    suspect.quarantinedAt = now;
    suspect.term = term;
    suspect.ends = endpointKeys.map((endpointKey) => ({
      endpointKey,
      at: now,
    }));
    removeAttributed(endpointKeys);
  }

  function mergeQuarantined(quarantined: QuarantinedContent): boolean {
    const suspect = keep(quarantined.content);
    if (suspect.quarantinedAt !== undefined) return false;
    if (isStale(suspect, quarantined)) return false;
    startQuarantine(suspect, quarantined);
    return true;
  }

  /**
   * A stale record has no longer term than the quarantine that was released.
   */
  function isStale(
    { releasedAt, releasedTerm }: ContentState,
    { term }: QuarantinedContent,
  ): boolean {
    return clock.now() - releasedAt < RELEASE_TTL && term <= releasedTerm;
  }

  function release(content: string): void {
    const suspect = known.get(content);
    if (suspect === undefined) return;
    if (suspect.quarantinedAt !== undefined) {
      suspect.releasedTerm = suspect.term;
    }
    suspect.quarantinedAt = undefined;
    suspect.ends = [];
    suspect.suspectedAt = -Infinity;
    suspect.releasedAt = clock.now();
  }

  function recordCompletion(content: string): boolean {
    const suspect = known.get(content);
    if (suspect === undefined || !isSuspected(suspect)) return false;
    release(content);
    suspect.term = 0;
    return true;
  }

  function isSuspected(
    { quarantinedAt, ends, suspectedAt }: ContentState,
  ): boolean {
    return quarantinedAt !== undefined || ends.length > 0 ||
      clock.now() - suspectedAt < EVIDENCE_TTL;
  }

  function readTimeLeft(content: string): Millis {
    const { quarantinedAt, term } = known.get(content) ?? {};
    if (quarantinedAt === undefined || term === undefined) return 0;
    return Math.max(0, quarantinedAt + term - clock.now());
  }

  function releaseExpired(): string[] {
    const expired = [...known]
      .filter(([content, { quarantinedAt }]) =>
        quarantinedAt !== undefined && readTimeLeft(content) === 0
      )
      .map(([content]) => content);
    expired.forEach(release);
    removeExpired();
    return expired;
  }

  function removeExpired(): void {
    for (const [content, suspect] of known) {
      suspect.ends = suspect.ends.filter(({ at }) =>
        suspect.quarantinedAt !== undefined ||
        clock.now() - at < EVIDENCE_TTL
      );
      const isReleased = clock.now() - suspect.releasedAt < RELEASE_TTL;
      if (!isSuspected(suspect) && suspect.term === 0 && !isReleased) {
        known.delete(content);
      }
    }
  }

  function listNewestFirst() {
    return [...known].reverse();
  }

  return {
    isEmpty: () => known.size === 0,
    recordCrash,
    recordCompletion,
    mergeQuarantined,
    recordSuspected({ content, age }) {
      if (known.get(content)?.quarantinedAt !== undefined) return;
      const suspect = keep(content);
      const now = clock.now();
      if (now - suspect.releasedAt < RELEASE_TTL) return;
      suspect.suspectedAt = Math.max(suspect.suspectedAt, now - age);
    },
    release,
    readTimeLeft,
    releaseExpired,
    chooseQuarantined: (limit) =>
      listNewestFirst().flatMap(
        ([content, { quarantinedAt, ends, term }]) => {
          const age = clock.now() - (quarantinedAt ?? -Infinity);
          if (age > GOSSIP_TTL) return [];
          const endpointKeys = ends.map(({ endpointKey }) => endpointKey);
          return [{ content, endpointKeys, term }];
        },
      ).slice(0, limit),
    chooseSuspected: (limit) =>
      listNewestFirst().flatMap(([content, suspect]) => {
        if (suspect.quarantinedAt !== undefined) return [];
        const lastAt = suspect.ends.at(-1)?.at ?? -Infinity;
        const age = clock.now() - Math.max(lastAt, suspect.suspectedAt);
        return age > GOSSIP_TTL ? [] : [{ content, age }];
      }).slice(0, limit),
  };
}
