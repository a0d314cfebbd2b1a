/**
 * Tracks the rate limits that endpoints announce, from their answers to this
 * entry and from updates by other entries.
 *
 * An entry that sends nothing to an endpoint gets no answers from it, so it
 * learns of the end of a limit only through other entries.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import { sampleItems } from "./sampling.ts";

/** The last report about an endpoint's limit, as sent to other entries. */
export interface LimitUpdate {
  /** See {@linkcode formatEndpointKey}. */
  endpointKey: string;
  /**
   * Requests per second from all entries; null if the endpoint announces no
   * limit any more.
   */
  rateLimit: number | null;
  /** Time since the endpoint reported it. */
  age: Millis;
}

/** The rate limits known to one entry. */
export interface EndpointLimits {
  /**
   * Records an endpoint's own report; `rateLimit` is undefined if it announces
   * no limit. `sentAt` is when the request was sent: the answer is more recent,
   * and nothing else is known about its age. Answers may arrive out of order,
   * and an older one must not withdraw a newer limit.
   */
  record(
    endpointKey: string,
    rateLimit: number | undefined,
    sentAt: Millis,
  ): void;
  /** Applies an update from another entry. */
  applyUpdate(update: LimitUpdate): void;
  /** Samples recent reports, at most `count`. */
  chooseUpdates(count: number): LimitUpdate[];
  /** Whether no limit is known. */
  isEmpty(): boolean;
  /** Returns the limit in force. */
  find(endpointKey: string): number | undefined;
  /** Whether no entry has confirmed the limit in force for a while. */
  isStale(endpointKey: string): boolean;
}

/** Options of {@linkcode createEndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
}

interface LimitReport {
  rateLimit: number | null;
  reportedAt: Millis;
  /**
   * Whether the endpoint has reported a limit to this entry, which binds the
   * entry until the endpoint withdraws the limit.
   */
  isBinding: boolean;
}

/** How long a report is propagated to other entries. */
const PROPAGATION_TIME: Millis = 15_000;
/** Reports from other entries only are dropped after this time. */
const PEER_REPORT_TTL: Millis = 20_000;
/**
 * After this time an entry that may send to the endpoint does so, to learn
 * whether the limit is still in force.
 */
const STALE_AFTER: Millis = 5_000;
/** Maximum number of reports; above it the oldest is evicted. */
const MAX_KNOWN = 4_096;

/** Creates a tracker that knows of no limit. */
export function createEndpointLimits(
  { clock, random }: EndpointLimitsOptions,
): EndpointLimits {
  const reports = new Map<string, LimitReport>();

  function put(endpointKey: string, report: LimitReport): void {
    // Keeps the map in order of arrival, so the first report is the oldest.
    reports.delete(endpointKey);
    putBounded(reports, [endpointKey, report], MAX_KNOWN);
  }

  function findInForce(endpointKey: string): LimitReport | undefined {
    const report = reports.get(endpointKey);
    if (report === undefined) return undefined;
    const isActive = report.rateLimit !== null;
    const age = clock.now() - report.reportedAt;
    if (isActive && (report.isBinding || age <= PEER_REPORT_TTL)) return report;
    if (age > PEER_REPORT_TTL) reports.delete(endpointKey);
    return undefined;
  }

  function record(
    endpointKey: string,
    rateLimit: number | undefined,
    sentAt: Millis,
  ): void {
    if (rateLimit !== undefined) {
      put(endpointKey, { rateLimit, reportedAt: clock.now(), isBinding: true });
      return;
    }
    const known = reports.get(endpointKey);
    if (known === undefined || known.reportedAt > sentAt) return;
    put(endpointKey, { rateLimit: null, reportedAt: sentAt, isBinding: true });
  }

  function applyUpdate({ endpointKey, rateLimit, age }: LimitUpdate): void {
    const known = reports.get(endpointKey);
    const reportedAt = clock.now() - age;
    if (known !== undefined && known.reportedAt >= reportedAt) return;
    // A limit that binds this entry stays binding until the endpoint withdraws
    // it.
    const isBinding = known?.isBinding === true && known.rateLimit !== null;
    put(endpointKey, { rateLimit, reportedAt, isBinding });
  }

  function chooseUpdates(count: number): LimitUpdate[] {
    const now = clock.now();
    const recent = [...reports]
      .map(([endpointKey, { rateLimit, reportedAt }]) => ({
        endpointKey,
        rateLimit,
        age: now - reportedAt,
      }))
      .filter(({ age }) => age <= PROPAGATION_TIME);
    return sampleItems(recent, { count, random });
  }

  return {
    record,
    applyUpdate,
    chooseUpdates,
    isEmpty: () => reports.size === 0,
    find: (endpointKey) => findInForce(endpointKey)?.rateLimit ?? undefined,
    isStale(endpointKey) {
      const report = findInForce(endpointKey);
      return report !== undefined &&
        clock.now() - report.reportedAt > STALE_AFTER;
    },
  };
}
