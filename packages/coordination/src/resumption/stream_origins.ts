/**
 * Remembers which version of an endpoint began each stream that a caller may
 * resume.
 *
 * The first event of a stream fixes its origin, so that copies at several
 * entries are alike or missing, never outdated.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";

/** Where a stream began. */
export interface StreamOrigin {
  pool: string;
  /** The id of the endpoint that wrote its first event. */
  endpoint: string;
  /** Undefined if the version of that endpoint is not known. */
  version: string | undefined;
}

/** A stream that may be resumed for some time. */
export interface BegunStream {
  /** See {@linkcode formatStreamKey}. */
  key: string;
  origin: StreamOrigin;
  /** Time for which it is remembered. */
  lifetime: Millis;
}

/** The origins that one entry remembers. */
export interface StreamOrigins {
  record(stream: BegunStream): void;
  /** Undefined for a stream that is unknown or no longer remembered. */
  find(key: string): StreamOrigin | undefined;
  count(): number;
}

/** Above this number, the origin that was recorded first is forgotten. */
const MAX_STREAMS = 65_536;

interface RememberedStream {
  origin: StreamOrigin;
  until: Millis;
}

/** Creates an empty memory. */
export function createStreamOrigins(clock: Clock): StreamOrigins {
  /** In the order of recording, which is nearly that of expiry. */
  const streams = new Map<string, RememberedStream>();

  function record({ key, origin, lifetime }: BegunStream): void {
    evictExpired();
    const before = find(key);
    // Two streams under one id: nobody can tell which one is resumed.
    const isAmbiguous = before !== undefined && !isSameOrigin(before, origin);
    const version = isAmbiguous ? undefined : origin.version;
    const until = clock.now() + lifetime;
    const remembered = { origin: { ...origin, version }, until };
    putBounded(streams, [key, remembered], MAX_STREAMS);
  }

  function evictExpired(): void {
    const now = clock.now();
    for (const [key, { until }] of streams) {
      if (until > now) return;
      streams.delete(key);
    }
  }

  function find(key: string): StreamOrigin | undefined {
    const found = streams.get(key);
    return found !== undefined && found.until > clock.now()
      ? found.origin
      : undefined;
  }

  return { record, find, count: () => streams.size };
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.pool === b.pool && a.version === b.version;
}

/** Formats the key of a stream: ids of two client accounts may be the same. */
export function formatStreamKey(
  { account = "", id }: { account: string | undefined; id: string },
): string {
  return `${account}/${id}`;
}
