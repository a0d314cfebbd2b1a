/**
 * Chooses the model engine of a request whose prompt parts are named.
 *
 * Requests of one session share their first parts, so a session has a home:
 * rendezvous hashing over the engines, which every entry computes alike without
 * news. The load is bounded: an engine that has far more than its share passes
 * the request on to the next in the session's order.
 *
 * @module
 */
import type { EndpointInfo } from "./endpoint.ts";
import { listByRendezvous } from "./rendezvous.ts";

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

/** An engine may have this many times the mean load, and a little more. */
const LOAD_BOUND = 1.25;
const LOAD_SLACK = 3;
const SLOW_FACTOR = 2.5;

/** Ranks the engines for a request, best first. */
export function listEnginesFor<E extends EngineView>(
  parts: readonly PromptPart[],
  engines: readonly E[],
): E[] {
  const home = findSessionPart(parts);
  const ranked = home === undefined
    ? [...engines].sort((a, b) => a.load - b.load)
    : listByRendezvous(engines, { key: home, readName: ({ info }) => info.id });
  const mean = engines.reduce((sum, { load }) => sum + load, 0) /
    Math.max(1, engines.length);
  const fastest = Math.min(...engines.map(({ slowness }) => slowness));
  const isUsable = ({ load, slowness }: E) =>
    load <= LOAD_BOUND * mean + LOAD_SLACK && slowness <= SLOW_FACTOR * fastest;
  return [
    ...ranked.filter(isUsable),
    ...ranked.filter((engine) => !isUsable(engine)),
  ];
}

/** The longest shared part; the last part is the request's own. */
function findSessionPart(parts: readonly PromptPart[]): string | undefined {
  return parts.length > 1 ? parts.at(-2)?.id : parts[0]?.id;
}
