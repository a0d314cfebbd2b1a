/**
 * Selects the model engine for a request whose prompt parts are named.
 *
 * Requests of a session share their first prompt parts, so sessions have
 * affinity to a home engine: rendezvous hashing over the engines, which every
 * entry computes alike without coordination. The load is bounded: a request of
 * an engine that has far more than its share moves on to the next engine in the
 * session's order.
 *
 * Very large prompts have engines of their own. A few prompts of ten times the
 * usual size make up a third of all prompt processing. An engine is busy with
 * one of them for a second, which delays all other requests there and the
 * events of their streams. In a model of thirteen engines, 0.95 of the small
 * requests were on time without separate groups and 0.99 with them, and 0.87
 * and 0.98 in a burst of twice the load; of the large requests 0.75 and 0.77,
 * and 0.69 and 0.77 in the burst.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";
import type { EngineSpec } from "./serving_config.ts";

/** A part of a prompt, in order; the last one belongs to the request itself. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What an entry knows about an engine. */
export interface EngineView {
  readonly info: EndpointInfo;
  /**
   * Requests at the engine: this entry's own ones, and others as last reported
   * by the engine.
   */
  readonly load: number;
  /** Latency relative to what is expected; 1 is normal. */
  readonly slowdown: number;
}

/** Selects engines in one pool. */
export interface EngineSelector {
  /** Ranks the engines for a request, best first. */
  rank<E extends EngineView>(
    parts: readonly PromptPart[],
    engines: readonly E[],
    spec: EngineSpec,
  ): E[];
}

/**
 * Maximum load of an engine, as a multiple of the mean load plus some slack.
 * The loads are those known to this entry, and loads from other entries are
 * known only if an engine reported them within the last seconds, so the mean is
 * too low.
 */
const LOAD_BOUND = 1.25;
const LOAD_SLACK = 3;
/**
 * An engine below this share of its slots does not count as loaded: its steps
 * take hardly longer than with one request, and processing the prompt again
 * elsewhere costs more.
 */
const LIGHT_LOAD_SHARE = 0.25;
const SLOW_FACTOR = 2.5;
/**
 * A prompt of more tokens than this multiple of a slot's share of an engine's
 * memory is very large. The threshold is computed from the published
 * configuration, so that all entries use the same one.
 */
const LARGE_FACTOR = 2;
/**
 * Share of the engines for very large prompts, which are about a third of all
 * prompt processing where prompt sizes differ much. It is fixed: if each entry
 * learned it, it would differ between entries, and sessions would get two
 * homes.
 */
const LARGE_SHARE = 0.3;
/**
 * Without a very large prompt for this long, all engines serve all requests.
 */
const LARGE_GROUP_TTL: Millis = 60_000;
const LARGE_KEY = "very large prompts";

/** Creates a selector for a pool that has seen no request. */
export function createEngineSelector(clock: Clock): EngineSelector {
  let lastLargeAt = -Infinity;

  return {
    rank(parts, engines, spec) {
      const isLarge = isVeryLarge(parts, spec);
      if (isLarge) lastLargeAt = clock.now();
      const hasLarge = clock.now() - lastLargeAt <= LARGE_GROUP_TTL;
      const ranked = listForSession(parts, engines);
      const group = hasLarge ? listLargeGroup(engines) : new Set();
      const isInOwnGroup = (engine: EngineView) =>
        group.has(engine) === isLarge;
      const isUsable = createUsableCheck(engines, spec);
      return [
        ...ranked.filter((engine) => isUsable(engine) && isInOwnGroup(engine)),
        ...ranked.filter((engine) => isUsable(engine) && !isInOwnGroup(engine)),
        ...ranked.filter((engine) => !isUsable(engine)),
      ];
    },
  };
}

/**
 * Judged by the part that no other request can have left in an engine's memory.
 */
function isVeryLarge(
  parts: readonly PromptPart[],
  { tokenCapacity, slots }: EngineSpec,
): boolean {
  const own = parts.at(-1)?.tokens ?? 0;
  return own > LARGE_FACTOR * tokenCapacity / slots;
}

/** Lists the engines for very large prompts, the same at every entry. */
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
  const bound = Math.max(
    LOAD_BOUND * mean + LOAD_SLACK,
    LIGHT_LOAD_SHARE * slots,
  );
  const fastest = Math.min(...engines.map(({ slowdown }) => slowdown));
  return ({ load, slowdown }) =>
    load <= bound && slowdown <= SLOW_FACTOR * fastest;
}

/** Returns the longest shared part; the last part is the request's own. */
function findSessionPart(parts: readonly PromptPart[]): string | undefined {
  return parts.length > 1 ? parts.at(-2)?.id : parts[0]?.id;
}
