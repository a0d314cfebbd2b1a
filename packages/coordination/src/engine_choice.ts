/**
 * Chooses the model engine of a request whose prompt parts are named.
 *
 * Requests of one session share their first parts, so a session has a home:
 * rendezvous hashing over the engines, which every entry computes alike without
 * news. The load is bounded: an engine that has far more than its share passes
 * the request on to the next in the session's order.
 *
 * The load that the two groups answer: a few prompts of ten times the usual
 * size make up a third of all reading. An engine reads one for a second, and
 * whoever shares the engine waits for it and gets its events late. So very large
 * prompts have engines of their own. In a model of thirteen engines, of the
 * small requests 0.95 were on time without groups and 0.99 with them, in a burst
 * of twice the load 0.87 and 0.98; of the large ones 0.75 and 0.77, 0.69 and
 * 0.77.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";
import type { EngineSpec } from "./serving_config.ts";

/** A part of a prompt, in order; the last belongs to the request itself. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What is known of an engine here. */
export interface EngineView {
  readonly info: EndpointInfo;
  /** Requests there: own ones, and what it last reported of others. */
  readonly load: number;
  /** How slow it is against what is expected; 1 is normal. */
  readonly slowness: number;
}

/** The choice of engines in one pool. */
export interface EngineChoice {
  /** Ranks the engines for a request, best first. */
  list<E extends EngineView>(
    parts: readonly PromptPart[],
    engines: readonly E[],
    spec: EngineSpec,
  ): E[];
}

/**
 * An engine may have this many times the mean load, and a little more. Loads
 * are those that are known here: of others' requests only what an engine told
 * within the last seconds, so the mean is too low.
 */
const LOAD_BOUND = 1.25;
const LOAD_SLACK = 3;
/**
 * Below this share of its slots an engine is not loaded: its steps are hardly
 * longer than with one request, and a prompt read again elsewhere costs more.
 */
const FREE_SHARE = 0.25;
const SLOW_FACTOR = 2.5;
/**
 * A prompt of so many slots' shares of an engine's memory is very large: from the
 * published figures, so that all entries draw the same line.
 */
const LARGE_FACTOR = 2;
/**
 * Very large prompts get this share of the engines, as they are about a third of
 * all reading where prompts differ much. It is fixed: learnt by each entry, it
 * would differ, and sessions would get two homes.
 */
const LARGE_SHARE = 0.3;
/** Without a very large prompt for so long, all engines serve everything. */
const LARGE_MEMORY: Millis = 60_000;
const LARGE_KEY = "very large prompts";

/** Creates the choice for a pool that has seen no request. */
export function createEngineChoice(clock: Clock): EngineChoice {
  let lastLargeAt = -Infinity;

  return {
    list(parts, engines, spec) {
      const isLarge = isVeryLarge(parts, spec);
      if (isLarge) lastLargeAt = clock.now();
      const hasLarge = clock.now() - lastLargeAt <= LARGE_MEMORY;
      const ranked = listForSession(parts, engines);
      const group = hasLarge ? listLargeGroup(engines) : new Set();
      const isOwnGroup = (engine: EngineView) => group.has(engine) === isLarge;
      const isUsable = createUsableCheck(engines, spec);
      return [
        ...ranked.filter((engine) => isUsable(engine) && isOwnGroup(engine)),
        ...ranked.filter((engine) => isUsable(engine) && !isOwnGroup(engine)),
        ...ranked.filter((engine) => !isUsable(engine)),
      ];
    },
  };
}

/** By what no other request can have left in an engine's memory. */
function isVeryLarge(
  parts: readonly PromptPart[],
  { tokenCapacity, slots }: EngineSpec,
): boolean {
  const own = parts.at(-1)?.tokens ?? 0;
  return own > LARGE_FACTOR * tokenCapacity / slots;
}

/** The engines of very large prompts, the same at every entry. */
function listLargeGroup(engines: readonly EngineView[]): Set<EngineView> {
  const ranked = listByRendezvous(engines, {
    key: LARGE_KEY,
    readName: ({ info }) => info.id,
  });
  return new Set(ranked.slice(0, Math.round(LARGE_SHARE * engines.length)));
}

function listForSession<E extends EngineView>(
  parts: readonly PromptPart[],
  engines: readonly E[],
): E[] {
  const key = findSessionPart(parts);
  if (key === undefined) return [...engines].sort((a, b) => a.load - b.load);
  return listByRendezvous(engines, { key, readName: ({ info }) => info.id });
}

function createUsableCheck(
  engines: readonly EngineView[],
  { slots }: EngineSpec,
): (engine: EngineView) => boolean {
  const mean = engines.reduce((sum, { load }) => sum + load, 0) /
    Math.max(1, engines.length);
  const bound = Math.max(LOAD_BOUND * mean + LOAD_SLACK, FREE_SHARE * slots);
  const fastest = Math.min(...engines.map(({ slowness }) => slowness));
  return ({ load, slowness }) =>
    load <= bound && slowness <= SLOW_FACTOR * fastest;
}

/** The longest shared part; the last part is the request's own. */
function findSessionPart(parts: readonly PromptPart[]): string | undefined {
  return parts.length > 1 ? parts.at(-2)?.id : parts[0]?.id;
}
