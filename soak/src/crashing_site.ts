/**
 * Some entries in this process before engines that a certain body ends, with
 * real connections and a store of the soak.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createSilentLogger, createSystemClock } from "@mangoreach/shared";
import type { PlatformEntry } from "../../platform/src/platform_entry.ts";
import { startPlatformEntry } from "../../platform/src/platform_entry.ts";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import { createEntrySettings, findEntryPorts } from "./entry_settings.ts";
import { startKeyedStore } from "./keyed_store.ts";
import { createSoakConfig } from "./soak_config.ts";
import { readWholeBody, startSoakServer } from "./soak_server.ts";

/** A running site. */
export interface CrashingSite {
  /** Caller addresses of the entries. */
  readonly callers: readonly string[];
  /** Ids of the engines that ended, in order. */
  readonly ended: readonly string[];
  /** Ends all entries at once and starts others, which knew nothing of them. */
  replaceEntries(): Promise<void>;
  stop(): Promise<void>;
}

/** A body that ends the engine which begins to work on it. */
export const CRASHING_BODY = "crashing";
const WORK_MS = 30;
/** Until the record of an engine that ended lapses, and the next one starts. */
const LAPSE_MS = 50;
const ENGINES = 10;

/** Starts the site; resolves once all entries are ready. */
export async function startCrashingSite(
  entryCount: number,
): Promise<CrashingSite> {
  const store = await startKeyedStore();
  store.put(
    TOPIC.operators,
    CONFIG_KEY,
    createSoakConfig(1, { isRevoked: false }),
  );
  const ended: string[] = [];
  const closers = new Set<() => void>();
  let engineCount = 0;
  let entryNumber = 0;
  let isStopped = false;

  async function startEngine(): Promise<void> {
    const id = `i-${engineCount++}`;
    const server = await startSoakServer(async (request, response) => {
      const body = String(await readWholeBody(request));
      const requestId = String(request.headers[HEADER.requestId]);
      response.setHeader(HEADER.requestId, requestId);
      response.setHeader(HEADER.proof, "proof");
      await sleep(WORK_MS);
      if (body === CRASHING_BODY) return void endEngine();
      response.end("id: 1\ndata: done\n\n");
    });
    closers.add(server.close);
    store.put(TOPIC.endpoints, id, {
      service: "plain",
      address: server.address,
      zone: "z",
      state: "ready",
      born: Date.now(),
    });

    async function endEngine(): Promise<void> {
      if (!closers.delete(server.close)) return;
      ended.push(id);
      server.close();
      await sleep(LAPSE_MS);
      store.put(TOPIC.endpoints, id, undefined);
      if (!isStopped) await startEngine();
    }
  }

  async function startEntry(): Promise<PlatformEntry & { callers: string }> {
    const ports = await findEntryPorts();
    const entry = await startPlatformEntry({
      clock: createSystemClock(),
      logger: createSilentLogger(),
      settings: createEntrySettings(`entry-${entryNumber++}`, {
        ports,
        store: store.address,
        logLevel: "silent",
      }),
    });
    return { ...entry, callers: ports.callers };
  }

  async function startEntries() {
    const started = await Promise.all(
      Array.from({ length: entryCount }, startEntry),
    );
    while (started.some(({ entry }) => !entry.isReady())) await sleep(10);
    return started;
  }

  function killEntries(): void {
    for (const { entry, servers } of entries) {
      entry.kill();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    }
  }

  await Promise.all(Array.from({ length: ENGINES }, startEngine));
  let entries = await startEntries();

  return {
    get callers() {
      return entries.map(({ callers }) => callers);
    },
    ended,
    async replaceEntries() {
      killEntries();
      entries = await startEntries();
    },
    async stop() {
      isStopped = true;
      killEntries();
      closers.forEach((close) => close());
      store.close();
      await sleep(LAPSE_MS);
    },
  };
}
