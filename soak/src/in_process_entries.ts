/**
 * Entries that run in the process of a test, with real connections.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createSilentLogger, createSystemClock } from "@mangoreach/shared";
import type { PlatformEntry } from "../../platform/src/platform_entry.ts";
import { startPlatformEntry } from "../../platform/src/platform_entry.ts";
import {
  createEntrySettings,
  findEntryPorts,
  formatPlace,
} from "./entry_settings.ts";

/** A set of running entries. */
export interface SiteEntries {
  /** Caller addresses of the entries. */
  readonly callers: readonly string[];
  /** Kills all entries at once and starts new ones without their state. */
  replace(): Promise<void>;
  kill(): void;
}

/** Entries in the process of a test. */
export interface InProcessEntries extends SiteEntries {
  /** Addresses of the entries' metrics. */
  readonly metrics: readonly string[];
}

type StartedEntry = PlatformEntry & { callers: string; metrics: string };

const POLL_MS = 10;

/** Starts entries with a store; resolves once all are ready. */
export async function startInProcessEntries(
  { count, store, places = 1 }: {
    count: number;
    /** `ip:port`. */
    store: string;
    /** Number of places that the entries are in by turns. */
    places?: number;
  },
): Promise<InProcessEntries> {
  let entryNumber = 0;

  async function startEntry(): Promise<StartedEntry> {
    const number = entryNumber++;
    const ports = await findEntryPorts();
    const entry = await startPlatformEntry({
      clock: createSystemClock(),
      logger: createSilentLogger(),
      settings: {
        ...createEntrySettings(`entry-${number}`, {
          ports,
          store,
          logLevel: "silent",
        }),
        place: formatPlace(number % places),
      },
    });
    return { ...entry, callers: ports.callers, metrics: ports.metrics };
  }

  async function startEntries(): Promise<StartedEntry[]> {
    const started = await Promise.all(
      Array.from({ length: count }, startEntry),
    );
    while (started.some(({ entry }) => !entry.isReady())) await sleep(POLL_MS);
    return started;
  }

  function kill(): void {
    for (const { entry, servers } of entries) {
      entry.kill();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    }
  }

  let entries = await startEntries();
  return {
    get callers() {
      return entries.map(({ callers }) => callers);
    },
    get metrics() {
      return entries.map(({ metrics }) => metrics);
    },
    async replace() {
      kill();
      entries = await startEntries();
    },
    kill,
  };
}
