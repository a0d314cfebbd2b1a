/**
 * Settings of entries under test, which listen on loopback ports.
 *
 * @module
 */
import { DEFAULT_CONNECTION_LIMITS } from "@mangoreach/shared";
import type { PlatformSettings } from "../../platform/src/platform_settings.ts";
import { findFreePorts } from "./free_ports.ts";

/** Addresses that an entry listens on, as `ip:port`. */
export type EntryPorts = Pick<
  PlatformSettings,
  "callers" | "ready" | "addresses" | "control" | "metrics"
>;

/** Time limit for an entry to stop, in seconds. */
export const STOP_S = 8;
const PORTS_PER_ENTRY = 5;

/** Finds free ports for all addresses of an entry. */
export async function findEntryPorts(): Promise<EntryPorts> {
  const [callers = "", ready = "", addresses = "", control = "", metrics = ""] =
    await findFreePorts(PORTS_PER_ENTRY);
  return { callers, ready, addresses, control, metrics };
}

/** Names a place by its number; 0 is that of all entries by default. */
export function formatPlace(number: number): string {
  return number === 0 ? "z" : `z${number}`;
}

/** Creates the settings of an entry that has one core to itself. */
export function createEntrySettings(
  entry: string,
  { ports, store, logLevel, stopS = STOP_S }: {
    ports: EntryPorts;
    /** `ip:port`. */
    store: string;
    logLevel: PlatformSettings["logLevel"];
    /** Time limit to stop, in seconds. */
    stopS?: number;
  },
): PlatformSettings {
  return {
    entry,
    place: formatPlace(0),
    coreShare: 1,
    coreSpeed: 1,
    logLevel,
    ...ports,
    seeds: [],
    store,
    revokeMs: 5_000,
    stopS,
    repeatShare: 0.2,
    accountShares: true,
    connections: DEFAULT_CONNECTION_LIMITS,
    repeatSlack: 56,
  };
}
