/**
 * Access to the log and all entries of a site for the operators' command-line
 * tools.
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

/** The status of an entry, or why it could not be read. */
export interface EntryStatusResult {
  entry: string;
  address: string;
  status: Result<EntryStatus, Failure>;
}

/** Access to the log and the entries of a site. */
export interface SiteAccess {
  readonly clock: Clock;
  readonly log: LogClient;
  readonly entries: OperatorClient;
  readStatuses(): Promise<EntryStatusResult[]>;
  /**
   * Lists the control addresses of entries: those listed, then those of the
   * settings.
   */
  listEntries(): Promise<EntryAddress[]>;
  close(): Promise<void>;
}

/** The control address of an entry. */
export interface EntryAddress {
  entry: string;
  address: string;
}

const TIMEOUT: Millis = 2_000;

/** Creates the access to a site; it connects on first use. */
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
    const listed = await fetchListedEntries(instances);
    const known = new Set(listed.map(({ address }) => address));
    const extra = settings.entries.filter((address) => !known.has(address))
      .map((address) => ({ entry: address, address }));
    return [...listed, ...extra];
  }

  async function readStatuses(): Promise<EntryStatusResult[]> {
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

async function fetchListedEntries(
  instances: InstanceListClient,
): Promise<EntryAddress[]> {
  const snapshot = await instances.read(-1);
  if (snapshot.isErr || snapshot.value === undefined) return [];
  return snapshot.value.instances
    .filter(({ pool }) => pool === ENTRY_POOL)
    .map(({ id, address }) => ({ entry: id, address }));
}
