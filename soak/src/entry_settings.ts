/**
 * Settings of entries under test, on ports of loopback.
 *
 * @module
 */
import type { PlatformSettings } from "../../platform/src/platform_settings.ts";
import { findPorts } from "./free_ports.ts";

/** Where an entry listens, as `ip:port`. */
export type EntryPorts = Pick<
  PlatformSettings,
  "callers" | "ready" | "addresses" | "control" | "metrics"
>;

/** Time that an entry has to stop, in seconds. */
export const STOP_S = 8;
const PORTS_AN_ENTRY = 5;

/** Finds ports for all that an entry listens on. */
export async function findEntryPorts(): Promise<EntryPorts> {
  const [callers = "", ready = "", addresses = "", control = "", metrics = ""] =
    await findPorts(PORTS_AN_ENTRY);
  return { callers, ready, addresses, control, metrics };
}

/** Creates the settings of an entry that has a core of its own. */
export function createEntrySettings(
  entry: string,
  { ports, store, logLevel }: {
    ports: EntryPorts;
    /** `ip:port`. */
    store: string;
    logLevel: PlatformSettings["logLevel"];
  },
): PlatformSettings {
  return {
    entry,
    place: "z",
    coreShare: 1,
    coreSpeed: 1,
    logLevel,
    ...ports,
    seeds: [],
    store,
    revokeMs: 5_000,
    stopS: STOP_S,
    repeatShare: 0.2,
    repeatSlack: 56,
  };
}
