/**
 * Acquires and renews leases in the log for this entry.
 *
 * @module
 */
import type { HeldLease, LeaseRecord } from "@mangoreach/coordination";
import { createHeldLease, createLeaseTable } from "@mangoreach/coordination";
import type { LogClient, TailEvent } from "@mangoreach/log";
import { startLogTail } from "@mangoreach/log";
import type { Millis } from "@mangoreach/shared";
import * as z from "zod";
import type { EntryContext } from "./entry_context.ts";

/** The leases of one entry. */
export interface LeaseManager {
  /**
   * Acquires or renews a lease and returns it while it is valid; undefined when
   * another entry holds it. The user of a lease calls this repeatedly.
   */
  keep(resource: string): Promise<HeldLease | undefined>;
  /** Drops a lease, such as when an engine reports a later holder. */
  drop(resource: string): void;
  readonly tasks: Promise<void>[];
}

interface OwnLease {
  held: HeldLease;
  renewedAt: Millis;
}

const leaseRecordSchema = z.object({
  kind: z.enum(["acquire", "renew", "release"]),
  resource: z.string(),
  holder: z.string(),
  attemptId: z.string(),
  duration: z.number().min(1),
  fence: z.number().int().optional(),
});

/** Share of the lease duration after which it is renewed. */
const RENEW_SHARE = 1 / 3;
/** Unused end of a lease, so that orders in transit arrive within it. */
const MARGIN_SHARE = 0.2;
const CONFIRM_TIMEOUT: Millis = 2_000;
const CONFIRM_POLL_INTERVAL: Millis = 10;

/** Starts to follow the leases of all entries. */
export function startLeaseManager(
  context: EntryContext,
  log: LogClient,
): LeaseManager {
  const { clock, settings, incarnation, random, signal, timeline } = context;
  const duration = settings.timing.leaseMs;
  const table = createLeaseTable();
  const ownLeases = new Map<string, OwnLease>();
  /** Local time at which a grant or renewal of a resource was last read. */
  const lastExtendedAt = new Map<string, Millis>();

  function handleEvent(event: TailEvent): void {
    if (event.kind !== "record") return;
    const parsed = leaseRecordSchema.safeParse(event.record.value);
    if (!parsed.success) return;
    const { fence, ...record } = parsed.data;
    const outcome = table.apply(
      fence === undefined ? record : { ...record, fence },
      event.record,
    );
    const isExtended = outcome === "granted" || outcome === "renewed";
    if (isExtended) lastExtendedAt.set(record.resource, clock.now());
  }

  async function keep(resource: string): Promise<HeldLease | undefined> {
    const ownLease = ownLeases.get(resource);
    if (ownLease !== undefined && ownLease.held.isValid()) {
      const isDue = clock.now() - ownLease.renewedAt > duration * RENEW_SHARE;
      if (isDue) await renew(resource, ownLease);
      return ownLease.held.isValid() ? ownLease.held : undefined;
    }
    if (ownLease !== undefined) {
      drop(resource);
      timeline.record("lease_lost", { detail: resource });
    }
    return isHeldByOther(resource) ? undefined : await acquire(resource);
  }

  /** An estimate by the local clock; the log order is decisive. */
  function isHeldByOther(resource: string): boolean {
    const lastSeen = lastExtendedAt.get(resource);
    return lastSeen !== undefined && clock.now() - lastSeen < duration;
  }

  async function acquire(resource: string): Promise<HeldLease | undefined> {
    const attemptId = context.createUniqueText();
    const sentAt = clock.now();
    await log.append(
      "leases",
      createRecord("acquire", resource, { attemptId }),
    );
    const isGranted = await waitUntil(() =>
      table.find(resource)?.attemptId === attemptId
    );
    const lease = table.find(resource);
    if (!isGranted || lease === undefined) return undefined;
    const held = createHeldLease({
      clock,
      fence: lease.fence,
      duration,
      sentAt,
      margin: duration * MARGIN_SHARE,
    });
    ownLeases.set(resource, { held, renewedAt: sentAt });
    timeline.record("lease_acquired", { detail: `${resource} ${lease.fence}` });
    return held.isValid() ? held : undefined;
  }

  async function renew(resource: string, ownLease: OwnLease): Promise<void> {
    const { fence } = ownLease.held;
    const before = table.find(resource)?.expiresAt ?? 0;
    const sentAt = clock.now();
    const attemptId = context.createUniqueText();
    await log.append(
      "leases",
      createRecord("renew", resource, { attemptId, fence }),
    );
    const isRenewed = await waitUntil(() => {
      const lease = table.find(resource);
      return lease?.fence === fence && lease.expiresAt > before;
    });
    if (!isRenewed) return;
    ownLease.held.extend(sentAt);
    ownLease.renewedAt = sentAt;
  }

  function createRecord(
    kind: LeaseRecord["kind"],
    resource: string,
    fields: Pick<LeaseRecord, "attemptId" | "fence">,
  ): LeaseRecord {
    return { kind, resource, holder: incarnation, duration, ...fields };
  }

  async function waitUntil(condition: () => boolean): Promise<boolean> {
    const timeoutAt = clock.now() + CONFIRM_TIMEOUT;
    while (!condition()) {
      if (clock.now() >= timeoutAt || signal.aborted) return false;
      await clock.sleep(CONFIRM_POLL_INTERVAL, signal);
    }
    return true;
  }

  function drop(resource: string): void {
    ownLeases.delete(resource);
  }

  const tail = startLogTail({
    clock,
    log,
    stream: "leases",
    from: 0,
    signal,
    random,
  });
  const following = tail.events.observe(handleEvent).then(() => undefined);
  return { keep, drop, tasks: [tail.task, following] };
}
