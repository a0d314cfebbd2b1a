/**
 * Which requests are turned away because endpoints end under them.
 *
 * The load it answers: a request that ends each endpoint which begins to work on
 * it comes again and again, under new ids and at any entry. Each time everything
 * else at that endpoint is lost with it, some dozen streams, and the endpoint is
 * away for seconds; a site of eight engines is down within ten seconds.
 *
 * What is held against a content is that an endpoint ended while it was there.
 * One that completes anywhere is cleared: it does not end each endpoint.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A run during which its endpoint ended. */
export interface EndedRun {
  /** From `computeContentDigest`. */
  content: string;
  endpointKey: string;
  /** How long ago it was sent there. */
  sentAgo: Millis;
  /** How long ago the endpoint ended. */
  endedAgo: Millis;
}

/** A content that is turned away. */
export interface QuarantinedContent {
  content: string;
  /** Keys of the endpoints that ended under it. */
  endpointKeys: readonly string[];
  /** How long it is turned away. */
  term: Millis;
}

/** A content that endpoints have ended under, not often enough yet. */
export interface SuspectedContent {
  content: string;
  /** Time since the last endpoint ended. */
  age: Millis;
}

/** The contents that one entry suspects or turns away. */
export interface PoisonQuarantine {
  /** Whether nothing is suspected: then no digest needs to be computed. */
  isEmpty(): boolean;
  /** Returns what is turned away from now on because of this run. */
  noteEnded(run: EndedRun): QuarantinedContent | undefined;
  /** Clears it; returns whether it was suspected or turned away. */
  noteCompleted(content: string): boolean;
  /** Takes over what others found; returns whether that was news. */
  adopt(quarantined: QuarantinedContent): boolean;
  /** Suspects it as others do, so that its completion is told. */
  noteSuspected(suspected: SuspectedContent): void;
  /** Lets it in again; one more end under it turns it away for longer. */
  release(content: string): void;
  /** How long it is still turned away; 0 if it is let in. */
  readTimeLeft(content: string): Millis;
  /** Releases those whose term is over, and returns them. */
  releaseLapsed(): string[];
  /** Found or adopted lately, youngest first; for peers. */
  chooseQuarantined(limit: number): QuarantinedContent[];
  /** Suspected lately, youngest first; for peers. */
  chooseSuspected(limit: number): SuspectedContent[];
}

/**
 * One endpoint may end under anybody, two under who was repeated; the third end
 * in a row is no coincidence, and each costs all that ran there.
 */
const ENDS_TO_QUARANTINE = 3;
/**
 * Endpoints that fail together end within this. A content that many callers ask
 * for may be at all of them, which says no more than one end does.
 */
const SAME_MOMENT: Millis = 500;
/** Ends further apart have nothing to do with each other. */
const EVIDENCE_LIFETIME: Millis = 600_000;
/**
 * After this a content is let in again, in case that it was suspected wrongly or
 * the endpoints were mended; each time that it ends one more, twice as long.
 */
const FIRST_TERM: Millis = 600_000;
const LONGEST_TERM: Millis = 86_400_000;
/** What was released is not taken back on old news of peers for this long. */
const RELEASE_LIFETIME: Millis = 60_000;
/** Peers are told for this long; who hears nothing by then reads the store. */
const NEWS_LIFETIME: Millis = 30_000;
/** Some 200 bytes each; the oldest suspects are forgotten above this. */
const MAX_KNOWN = 2_048;

interface End {
  endpointKey: string;
  at: Millis;
}

interface Known {
  ends: End[];
  /** When peers last named it as suspected, less its age then. */
  suspectedAt: Millis;
  quarantinedAt: Millis | undefined;
  /** Of the present quarantine, or of the last one. */
  term: Millis;
  releasedAt: Millis;
  /** The term that was over, or cut short, then. */
  releasedTerm: Millis;
}

/** Creates a quarantine without any content. */
export function createPoisonQuarantine(clock: Clock): PoisonQuarantine {
  /** By content; the one changed last is the last. */
  const known = new Map<string, Known>();

  function keep(content: string): Known {
    const present = known.get(content) ?? {
      ends: [],
      suspectedAt: -Infinity,
      quarantinedAt: undefined,
      term: 0,
      releasedAt: -Infinity,
      releasedTerm: 0,
    };
    known.delete(content);
    known.set(content, present);
    if (known.size > MAX_KNOWN) dropOldest();
    return present;
  }

  function dropOldest(): void {
    for (const [content, { quarantinedAt }] of known) {
      if (quarantinedAt !== undefined) continue;
      known.delete(content);
      return;
    }
  }

  /** Whether another content that is turned away accounts for the end. */
  function isExplained(endpointKey: string): boolean {
    return [...known.values()].some(({ quarantinedAt, ends }) =>
      quarantinedAt !== undefined &&
      ends.some((end) => end.endpointKey === endpointKey)
    );
  }

  function isSameMoment(last: End | undefined, run: EndedRun): boolean {
    if (last === undefined) return false;
    const now = clock.now();
    return now - run.sentAgo < last.at &&
      now - run.endedAgo - last.at < SAME_MOMENT;
  }

  /** What ended with the cause is not the cause. */
  function dropExplained(endpointKeys: readonly string[]): void {
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

  function noteEnded(run: EndedRun): QuarantinedContent | undefined {
    const { content, endpointKey, endedAgo } = run;
    const now = clock.now();
    if (isExplained(endpointKey)) return undefined;
    const suspect = keep(content);
    if (suspect.quarantinedAt !== undefined) return undefined;
    const recent = suspect.ends.filter(({ at }) =>
      now - at < EVIDENCE_LIFETIME
    );
    suspect.ends = recent;
    const isKnownEnd = recent.some((end) => end.endpointKey === endpointKey);
    if (isKnownEnd || isSameMoment(recent.at(-1), run)) return undefined;
    recent.push({ endpointKey, at: now - endedAgo });
    const isRelapse = suspect.term > 0;
    if (!isRelapse && recent.length < ENDS_TO_QUARANTINE) return undefined;
    const found = {
      content,
      endpointKeys: recent.map((end) => end.endpointKey),
      term: isRelapse ? Math.min(LONGEST_TERM, 2 * suspect.term) : FIRST_TERM,
    };
    begin(suspect, found);
    return found;
  }

  function begin(suspect: Known, { endpointKeys, term }: QuarantinedContent) {
    const now = clock.now();
    suspect.quarantinedAt = now;
    suspect.term = term;
    suspect.ends = endpointKeys.map((endpointKey) => ({
      endpointKey,
      at: now,
    }));
    dropExplained(endpointKeys);
  }

  function adopt(quarantined: QuarantinedContent): boolean {
    const suspect = keep(quarantined.content);
    if (suspect.quarantinedAt !== undefined) return false;
    if (isOldNews(suspect, quarantined)) return false;
    begin(suspect, quarantined);
    return true;
  }

  /** A relapse has a longer term than what was released. */
  function isOldNews(
    { releasedAt, releasedTerm }: Known,
    { term }: QuarantinedContent,
  ): boolean {
    return clock.now() - releasedAt < RELEASE_LIFETIME && term <= releasedTerm;
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

  function noteCompleted(content: string): boolean {
    const suspect = known.get(content);
    if (suspect === undefined || !isSuspected(suspect)) return false;
    release(content);
    suspect.term = 0;
    return true;
  }

  function isSuspected({ quarantinedAt, ends, suspectedAt }: Known): boolean {
    return quarantinedAt !== undefined || ends.length > 0 ||
      clock.now() - suspectedAt < EVIDENCE_LIFETIME;
  }

  function readTimeLeft(content: string): Millis {
    const { quarantinedAt, term } = known.get(content) ?? {};
    if (quarantinedAt === undefined || term === undefined) return 0;
    return Math.max(0, quarantinedAt + term - clock.now());
  }

  function releaseLapsed(): string[] {
    const lapsed = [...known]
      .filter(([content, { quarantinedAt }]) =>
        quarantinedAt !== undefined && readTimeLeft(content) === 0
      )
      .map(([content]) => content);
    lapsed.forEach(release);
    dropForgotten();
    return lapsed;
  }

  function dropForgotten(): void {
    for (const [content, suspect] of known) {
      suspect.ends = suspect.ends.filter(({ at }) =>
        suspect.quarantinedAt !== undefined ||
        clock.now() - at < EVIDENCE_LIFETIME
      );
      const isReleased = clock.now() - suspect.releasedAt < RELEASE_LIFETIME;
      if (!isSuspected(suspect) && suspect.term === 0 && !isReleased) {
        known.delete(content);
      }
    }
  }

  function listYoungest() {
    return [...known].reverse();
  }

  return {
    isEmpty: () => known.size === 0,
    noteEnded,
    noteCompleted,
    adopt,
    noteSuspected({ content, age }) {
      if (known.get(content)?.quarantinedAt !== undefined) return;
      const suspect = keep(content);
      const now = clock.now();
      if (now - suspect.releasedAt < RELEASE_LIFETIME) return;
      suspect.suspectedAt = Math.max(suspect.suspectedAt, now - age);
    },
    release,
    readTimeLeft,
    releaseLapsed,
    chooseQuarantined: (limit) =>
      listYoungest().flatMap(([content, { quarantinedAt, ends, term }]) => {
        const age = clock.now() - (quarantinedAt ?? -Infinity);
        if (age > NEWS_LIFETIME) return [];
        const endpointKeys = ends.map(({ endpointKey }) => endpointKey);
        return [{ content, endpointKeys, term }];
      }).slice(0, limit),
    chooseSuspected: (limit) =>
      listYoungest().flatMap(([content, suspect]) => {
        if (suspect.quarantinedAt !== undefined) return [];
        const lastAt = suspect.ends.at(-1)?.at ?? -Infinity;
        const age = clock.now() - Math.max(lastAt, suspect.suspectedAt);
        return age > NEWS_LIFETIME ? [] : [{ content, age }];
      }).slice(0, limit),
  };
}
