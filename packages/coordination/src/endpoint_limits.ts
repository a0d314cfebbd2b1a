/**
 * The limits that endpoints name: what stands, by an endpoint's own word here or
 * by what other entries have heard.
 *
 * An entry that sends nothing to an endpoint hears nothing of it, so the end of a
 * limit reaches it through others only.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import { drawSome } from "./draw.ts";

/** What an endpoint said last of its limit, as told to other entries. */
export interface LimitNews {
  /** From {@linkcode formatEndpointKey}. */
  endpointKey: string;
  /** Requests a second from all entries; null where it names none any more. */
  rateLimit: number | null;
  /** Time since it said so. */
  age: Millis;
}

/** What is known of limits. */
export interface EndpointLimits {
  /**
   * Takes an endpoint's own word; undefined if it names no limit. An answer is
   * younger than its request, which was sent at `sentAt`, and no more is known:
   * answers overtake each other, and an older one takes back no younger limit.
   */
  note(
    endpointKey: string,
    rateLimit: number | undefined,
    sentAt: Millis,
  ): void;
  /** Takes what another entry has heard. */
  takeNews(news: LimitNews): void;
  /** Some of what was said of late, at most `count`. */
  chooseNews(count: number): LimitNews[];
  /** Whether nothing is known of any limit. */
  isEmpty(): boolean;
  /** The limit that stands. */
  find(endpointKey: string): number | undefined;
  /** Whether nobody has heard of a limit that stands for a while. */
  isOld(endpointKey: string): boolean;
}

/** Options of {@linkcode createEndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
}

interface Word {
  rateLimit: number | null;
  saidAt: Millis;
  /** Whether the endpoint said so to this entry, which binds it. */
  isOwn: boolean;
}

/** A word is passed on for so long. */
const NEWS_LIFETIME: Millis = 15_000;
/** What only others have heard is forgotten after this. */
const HEARSAY_LIFETIME: Millis = 20_000;
/** After this an entry that may send there does, to hear whether it stands. */
const OLD_WORD: Millis = 5_000;
/** The oldest word is dropped above this many. */
const MAX_KNOWN = 1_024;

/** Creates the limits of endpoints that have named none. */
export function createEndpointLimits(
  { clock, random }: EndpointLimitsOptions,
): EndpointLimits {
  const words = new Map<string, Word>();

  function put(endpointKey: string, word: Word): void {
    // Kept in the order in which they were heard, so the first is the oldest.
    words.delete(endpointKey);
    putBounded(words, [endpointKey, word], MAX_KNOWN);
  }

  function readStanding(endpointKey: string): Word | undefined {
    const word = words.get(endpointKey);
    if (word === undefined) return undefined;
    const isStanding = word.rateLimit !== null;
    const age = clock.now() - word.saidAt;
    if (isStanding && (word.isOwn || age <= HEARSAY_LIFETIME)) return word;
    if (age > HEARSAY_LIFETIME) words.delete(endpointKey);
    return undefined;
  }

  function note(
    endpointKey: string,
    rateLimit: number | undefined,
    sentAt: Millis,
  ): void {
    if (rateLimit !== undefined) {
      put(endpointKey, { rateLimit, saidAt: clock.now(), isOwn: true });
      return;
    }
    const known = words.get(endpointKey);
    if (known === undefined || known.saidAt > sentAt) return;
    put(endpointKey, { rateLimit: null, saidAt: sentAt, isOwn: true });
  }

  function takeNews({ endpointKey, rateLimit, age }: LimitNews): void {
    const known = words.get(endpointKey);
    const saidAt = clock.now() - age;
    if (known !== undefined && known.saidAt >= saidAt) return;
    // What bound this entry goes on to, until the endpoint takes it back.
    const isOwn = known?.isOwn === true && known.rateLimit !== null;
    put(endpointKey, { rateLimit, saidAt, isOwn });
  }

  function chooseNews(count: number): LimitNews[] {
    const now = clock.now();
    const recent = [...words]
      .map(([endpointKey, { rateLimit, saidAt }]) => ({
        endpointKey,
        rateLimit,
        age: now - saidAt,
      }))
      .filter(({ age }) => age <= NEWS_LIFETIME);
    return drawSome(recent, { count, random });
  }

  return {
    note,
    takeNews,
    chooseNews,
    isEmpty: () => words.size === 0,
    find: (endpointKey) => readStanding(endpointKey)?.rateLimit ?? undefined,
    isOld(endpointKey) {
      const word = readStanding(endpointKey);
      return word !== undefined && clock.now() - word.saidAt > OLD_WORD;
    },
  };
}
