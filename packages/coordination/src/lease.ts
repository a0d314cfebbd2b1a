/**
 * Leases in the log. The offset of the record that acquired a lease is its
 * fencing number, so a later holder always has a higher one.
 *
 * Whether a lease is granted is decided by the log's timestamps of the records,
 * so that all readers decide the same. A holder checks its own lease by its own
 * clock, counted from just before it sent the record, which is never later than
 * the log's timestamp. It therefore stops before the lease can expire.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A record of the lease stream. */
export interface LeaseRecord {
  kind: "acquire" | "renew" | "release";
  /** The resource that the lease is for, such as `engine/e1`. */
  resource: string;
  holder: string;
  /** Unique to one attempt. */
  attemptId: string;
  duration: Millis;
  /** The fencing number of the lease that is renewed or released. */
  fence?: number;
}

/** The offset and timestamp of a record in the log. */
export interface LoggedAt {
  offset: number;
  time: Millis;
}

/** A lease as decided by the log. */
export interface Lease {
  resource: string;
  holder: string;
  attemptId: string;
  fence: number;
  /** By the log's clock. */
  expiresAt: Millis;
}

/** The effect of a record. */
export type LeaseOutcome = "granted" | "renewed" | "released" | "refused";

/** The leases as of the last record applied. */
export interface LeaseTable {
  apply(record: LeaseRecord, at: LoggedAt): LeaseOutcome;
  /** Returns the last lease granted; it may have expired. */
  find(resource: string): Lease | undefined;
}

/** Creates an empty lease table. */
export function createLeaseTable(): LeaseTable {
  const leases = new Map<string, Lease>();

  function apply(record: LeaseRecord, at: LoggedAt): LeaseOutcome {
    const current = leases.get(record.resource);
    if (record.kind === "acquire") return acquire(record, { at, current });
    const isHolder = current !== undefined && current.fence === record.fence &&
      current.holder === record.holder;
    // A holder that was paused beyond the end of its lease must not renew it.
    if (!isHolder || at.time > current.expiresAt) return "refused";
    if (record.kind === "release") {
      leases.set(record.resource, { ...current, expiresAt: at.time });
      return "released";
    }
    const expiresAt = at.time + record.duration;
    leases.set(record.resource, { ...current, expiresAt });
    return "renewed";
  }

  function acquire(
    record: LeaseRecord,
    { at, current }: { at: LoggedAt; current: Lease | undefined },
  ): LeaseOutcome {
    if (current !== undefined && at.time <= current.expiresAt) return "refused";
    leases.set(record.resource, {
      resource: record.resource,
      holder: record.holder,
      attemptId: record.attemptId,
      fence: at.offset,
      expiresAt: at.time + record.duration,
    });
    return "granted";
  }

  return { apply, find: (resource) => leases.get(resource) };
}

/** A holder's view of its own lease. */
export interface HeldLease {
  readonly fence: number;
  /** Whether the holder may still send orders under it. */
  isValid(): boolean;
  /** Records a renewal whose record was sent at `sentAt` by this clock. */
  extend(sentAt: Millis): void;
}

/** Options of {@linkcode createHeldLease}. */
export interface HeldLeaseOptions {
  clock: Clock;
  fence: number;
  duration: Millis;
  /** When the acquiring record was sent, by this clock. */
  sentAt: Millis;
  /**
   * How long before its end the holder stops using the lease; covers the
   * transfer time of an order to an engine.
   */
  margin: Millis;
}

/** Creates a holder's view of a granted lease. */
export function createHeldLease(
  { clock, fence, duration, sentAt, margin }: HeldLeaseOptions,
): HeldLease {
  let until = sentAt + duration - margin;
  return {
    fence,
    isValid: () => clock.now() < until,
    extend(renewalSentAt) {
      until = Math.max(until, renewalSentAt + duration - margin);
    },
  };
}
