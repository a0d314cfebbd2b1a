/**
 * A lease with fencing numbers on top of any append-only log.
 *
 * Run it: `npx tsx packages/coordination/examples/lease_over_any_log.ts`
 *
 * @module
 */
import type { LeaseRecord } from "@mangoreach/coordination";
import { createHeldLease, createLeaseTable } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";

/** A log that assigns each record an offset and a time. */
interface SomeLog {
  append(record: LeaseRecord): void;
  read(): { record: LeaseRecord; offset: number; time: number }[];
}

const DURATION_MS = 1_000;

/** Runs two workers of which the first is paused; returns what happened. */
export async function runLeaseExample(): Promise<string[]> {
  const clock = createFakeClock(0);
  const log = createMemoryLog(() => clock.now());
  const lines: string[] = [];
  const acquire = (holder: string) => {
    const sentAt = clock.now();
    log.append({
      kind: "acquire",
      resource: "nightly-report",
      holder,
      attemptId: holder,
      duration: DURATION_MS,
    });
    const lease = readLease(log);
    const isMine = lease?.attemptId === holder;
    lines.push(`${holder} ${isMine ? `holds ${lease.fence}` : "must wait"}`);
    return createHeldLease({
      clock,
      fence: lease?.fence ?? -1,
      duration: DURATION_MS,
      sentAt,
      margin: DURATION_MS / 5,
    });
  };
  const first = acquire("worker-a");
  acquire("worker-b");
  await clock.advance(DURATION_MS + 1);
  acquire("worker-b");
  lines.push(`worker-a may act: ${first.isValid()}`);
  return lines;
}

function createMemoryLog(now: () => number): SomeLog {
  const records: ReturnType<SomeLog["read"]> = [];
  return {
    append(record) {
      records.push({ record, offset: records.length, time: now() });
    },
    read: () => records,
  };
}

function readLease(log: SomeLog) {
  const table = createLeaseTable();
  for (const { record, ...at } of log.read()) table.apply(record, at);
  return table.find("nightly-report");
}
