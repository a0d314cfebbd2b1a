/**
 * Tracks which endpoints exist, from records that the instance list sends one
 * by one.
 *
 * Registrations expire while the instance list is unavailable although the
 * endpoints are alive; they reappear shortly after the list does. Applying
 * those expiries at once would leave a pool empty in the meantime, so an
 * endpoint whose removal is read right after the list has recovered stays until
 * a grace period has passed.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { EndpointInfo } from "./endpoint.ts";
import { isOlderIncarnation } from "./endpoint.ts";

/** Options of {@linkcode createEndpointRegistry}. */
export interface EndpointRegistryOptions {
  clock: Clock;
  /** How long after the recovery of the instance list removals are deferred. */
  recoveryGrace: Millis;
  /** Called after each change of the set of endpoints. */
  onChange: (endpoints: readonly EndpointInfo[]) => void;
}

/** The endpoints in the instance list. */
export interface EndpointRegistry {
  /** Applies a record of one endpoint; returns whether anything changed. */
  put(endpoint: EndpointInfo): boolean;
  remove(id: string): void;
  /** Applies a full reading of the list. */
  replaceAll(endpoints: readonly EndpointInfo[]): void;
  /** Records that the list cannot be read. */
  handleUnavailable(): void;
  /** Records that the list can be read again. */
  handleAvailable(): void;
  /**
   * Records that the list was restored from an older copy of itself, which is
   * read next. An endpoint that is unknown here may have left since the copy
   * was made; it counts once it registers again, or if its record has not
   * expired.
   */
  handleRestored(): void;
  list(): EndpointInfo[];
}

/** Longer than the silence after which the instance list removes endpoints. */
const EXPIRY_TIME: Millis = 5_000;
const MAX_REMOVED = 4_096;

/** Creates an empty registry. */
export function createEndpointRegistry(
  { clock, recoveryGrace, onChange }: EndpointRegistryOptions,
): EndpointRegistry {
  const endpoints = new Map<string, EndpointInfo>();
  /** Deferred removals: functions that cancel their timers, by endpoint id. */
  const deferred = new Map<string, () => void>();
  /**
   * Endpoints of a restored list that count once their records should have
   * expired: functions that cancel their timers, by endpoint id. Their next
   * registration may not be read here, as entries that relay the list leave out
   * records without a change.
   */
  const unverified = new Map<string, () => void>();
  /** Endpoints that left; an older copy of the list may still have them. */
  const removed = new Map<string, true>();
  let isUnavailable = false;
  let recoveredAt = -Infinity;
  let isRestored = false;

  function notifyChange(): void {
    onChange([...endpoints.values()]);
  }

  function cancelVerification(id: string): void {
    unverified.get(id)?.();
    unverified.delete(id);
  }

  function scheduleVerification(endpoint: EndpointInfo): void {
    const { id } = endpoint;
    cancelVerification(id);
    if (removed.has(id)) return;
    const verify = () => {
      if (isUnavailable) scheduleVerification(endpoint);
      else put(endpoint);
    };
    unverified.set(id, clock.startTimer(EXPIRY_TIME, verify));
  }

  function put(endpoint: EndpointInfo): boolean {
    cancelVerification(endpoint.id);
    removed.delete(endpoint.id);
    const known = endpoints.get(endpoint.id);
    // Records reach an entry on several paths, so an older one may arrive
    // later. It would restore the capacity, the marks and the address of an
    // incarnation that is gone.
    if (known !== undefined && isOutdated(endpoint, known)) return false;
    deferred.get(endpoint.id)?.();
    deferred.delete(endpoint.id);
    endpoints.set(endpoint.id, endpoint);
    const hasChanged = known === undefined || known.state !== endpoint.state ||
      known.address !== endpoint.address || known.pool !== endpoint.pool ||
      known.version !== endpoint.version ||
      known.incarnation !== endpoint.incarnation;
    if (hasChanged) notifyChange();
    return hasChanged;
  }

  function remove(id: string): void {
    cancelVerification(id);
    const known = endpoints.get(id);
    if (known === undefined || deferred.has(id)) return;
    const graceLeft = recoveredAt + recoveryGrace - clock.now();
    const isUnverified = known.state === "live" &&
      (isUnavailable || graceLeft > 0);
    if (!isUnverified) return drop(id);
    const wait = isUnavailable ? recoveryGrace : graceLeft;
    deferred.set(id, clock.startTimer(wait, () => drop(id)));
  }

  function drop(id: string): void {
    deferred.delete(id);
    putBounded(removed, [id, true], MAX_REMOVED);
    if (endpoints.delete(id)) notifyChange();
  }

  function replaceAll(next: readonly EndpointInfo[]): void {
    const ids = new Set(next.map(({ id }) => id));
    const known = [...endpoints.keys(), ...unverified.keys()];
    for (const id of known) if (!ids.has(id)) remove(id);
    const isUnverified = isRestored && endpoints.size > 0;
    isRestored = false;
    for (const endpoint of next) {
      if (!isUnverified || endpoints.has(endpoint.id)) put(endpoint);
      else scheduleVerification(endpoint);
    }
  }

  return {
    put,
    remove,
    replaceAll,
    handleUnavailable() {
      isUnavailable = true;
    },
    handleAvailable() {
      if (isUnavailable) recoveredAt = clock.now();
      isUnavailable = false;
    },
    handleRestored() {
      recoveredAt = clock.now();
      isRestored = true;
    },
    list: () => [...endpoints.values()],
  };
}

/**
 * Whether a report is older than what is known. No endpoint that is leaving
 * becomes live again, so a copy of the list that says so is from before.
 */
function isOutdated(reported: EndpointInfo, known: EndpointInfo): boolean {
  if (isOlderIncarnation(reported, known)) return true;
  const isSameStart = reported.startedAt !== undefined &&
    reported.startedAt === known.startedAt;
  return isSameStart && known.state === "leaving" && reported.state === "live";
}
