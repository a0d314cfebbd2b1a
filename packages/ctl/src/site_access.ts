/**
 * How the operators' programs reach a site: its log and all of its entries.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import type { InstanceListClient } from "@mangoreach/instance_list";
import {
  createInstanceListClient,
  ENTRY_POOL,
} from "@mangoreach/instance_list";
import type { LogClient } from "@mangoreach/log";
import { createLogClient } from "@mangoreach/log";
import type {
  EntryStatus,
  OperatorClient,
  OperatorSettings,
} from "@mangoreach/operators";
import { createOperatorClient } from "@mangoreach/operators";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";

/** The status of an entry, or why there is none. */
export interface EntryReading {
  entry: string;
  address: string;
  status: Result<EntryStatus, Failure>;
}

/** A site as operators reach it. */
export interface SiteAccess {
  readonly clock: Clock;
  readonly log: LogClient;
  readonly entries: OperatorClient;
  readStatuses(): Promise<EntryReading[]>;
  /** Control addresses by entry name. */
  listEntries(): Promise<EntryAddress[]>;
  close(): Promise<void>;
}

/** Where an entry's control port is. */
export interface EntryAddress {
  entry: string;
  address: string;
}

const TIMEOUT: Millis = 2_000;

/** Creates the access; it connects on first use. */
export function createSiteAccess(
  settings: OperatorSettings,
  clock: Clock,
): SiteAccess {
  const log = createLogClient({
    clock,
    address: settings.logAddress,
    appendTimeoutMs: TIMEOUT,
  });
  const instances = createInstanceListClient({
    clock,
    address: settings.instanceListAddress,
    timeoutMs: TIMEOUT,
  });
  const entries = createOperatorClient({
    clock,
    operatorKey: settings.operatorKey,
    timeoutMs: TIMEOUT,
  });

  async function listEntries(): Promise<EntryAddress[]> {
    const listed = await readListed(instances);
    const known = new Set(listed.map(({ address }) => address));
    const extra = settings.entries.filter((address) => !known.has(address))
      .map((address) => ({ entry: address, address }));
    return [...listed, ...extra];
  }

  async function readStatuses(): Promise<EntryReading[]> {
    const addresses = await listEntries();
    return await Promise.all(
      addresses.map(async ({ entry, address }) => ({
        entry,
        address,
        status: await entries.readStatus(address),
      })),
    );
  }

  async function close(): Promise<void> {
    await Promise.all([log.close(), instances.close(), entries.close()]);
  }

  return { clock, log, entries, readStatuses, listEntries, close };
}

async function readListed(
  instances: InstanceListClient,
): Promise<EntryAddress[]> {
  const snapshot = await instances.read(-1);
  if (snapshot.isErr || snapshot.value === undefined) return [];
  return snapshot.value.instances
    .filter(({ pool }) => pool === ENTRY_POOL)
    .map(({ id, address }) => ({ entry: id, address }));
}
