/**
 * Notices that an endpoint crashed although its address accepts connections, or
 * does not answer: another one is listed in its place soon afterwards.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createEndpointReplacement}. */
export interface EndpointReplacementOptions {
  clock: Clock;
  /** Lists the endpoints that are listed at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
  /** Whether an endpoint announced that it leaves, or is not listed. */
  isLeaving: (endpoint: EndpointInfo) => boolean;
  signal: AbortSignal;
}

/** Watches the places of endpoints. */
export interface EndpointReplacement {
  /**
   * Resolves once another endpoint has taken the place of one that was not about
   * to leave, with true, or with false if none does for a while.
   */
  waitForReplacement(endpoint: EndpointInfo): Promise<boolean>;
}

/**
 * Times between looks. A replacement later than that may have another cause than
 * the break of a connection.
 */
const INTERVALS: readonly Millis[] = [150, 350, 500, 1_000];

/** Creates the watch. */
export function createEndpointReplacement(
  { clock, listAt, isLeaving, signal }: EndpointReplacementOptions,
): EndpointReplacement {
  /** By endpoint key: one watch serves all connections that broke meanwhile. */
  const watches = new Map<string, Promise<boolean>>();

  function waitForReplacement(endpoint: EndpointInfo): Promise<boolean> {
    const key = formatEndpointKey(endpoint);
    const known = watches.get(key);
    if (known !== undefined) return known;
    if (isLeaving(endpoint)) return Promise.resolve(false);
    const watch = watchAddress(endpoint.address, key)
      .finally(() => watches.delete(key));
    watches.set(key, watch);
    return watch;
  }

  async function watchAddress(address: string, key: string): Promise<boolean> {
    for (const interval of INTERVALS) {
      await clock.sleep(interval, signal);
      const keys = listAt(address).map(formatEndpointKey);
      if (keys.length > 0 && !keys.includes(key)) return true;
    }
    return false;
  }

  return { waitForReplacement };
}
