/**
 * The processes and stand-ins of one run of the stop soak, and the signals to
 * its entries.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { CONFIG_KEY, TOPIC } from "../../platform/src/wire_names.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, startEntry, waitUntilReady } from "./soak_entry.ts";
import type { ObservedStop, ObservedStopRun } from "./stop_checks.ts";
import { createStopConfig, startStopEndpoints } from "./stop_endpoints.ts";
import type { PlannedChange, PlannedStop, StopPlan } from "./stop_plan.ts";
import { startTopicStore } from "./topic_store.ts";

/** A running site. */
export interface StopSite {
  /** Caller addresses of all entries. */
  readonly callerAddresses: readonly string[];
  /** Runs at endpoints by request id. */
  readonly runs: ReadonlyMap<string, readonly ObservedStopRun[]>;
  readonly stops: readonly ObservedStop[];
  /** Describes processes that ended without being told to stop. */
  readonly ownEnds: readonly string[];
  /** Tells entries to stop; resolves once their successors have started. */
  runStop(stop: PlannedStop): Promise<void>;
  applyChange(change: PlannedChange): void;
  /** Ends all processes and stand-ins. */
  close(): void;
}

/** Starts a site; resolves once all entries are ready. */
export async function startStopSite(
  plan: StopPlan,
  folder: string,
): Promise<StopSite> {
  mkdirSync(folder, { recursive: true });
  const store = await startTopicStore();
  const runs = new Map<string, ObservedStopRun[]>();
  const stops: ObservedStop[] = [];
  const startedAt = new Map<Entry, number>();
  const ownEnds: string[] = [];
  /** Entries whose process has loaded its program and can handle signals. */
  const loaded = new Set<Entry>();
  let version = 1;
  let isClosed = false;

  function publishConfig(): void {
    const config = createStopConfig(version++);
    store.put(TOPIC.operators, CONFIG_KEY, config);
  }

  function startProcess(entry: Entry): void {
    const at = Date.now();
    startedAt.set(entry, at);
    loaded.delete(entry);
    startEntry(entry);
    const { child, name } = entry;
    child?.once("message", () => loaded.add(entry));
    child?.once("exit", (code, signal) => {
      // A process that is told to stop is no longer the entry's.
      if (entry.child !== child || isClosed) return;
      const end = signal ?? `status ${code}`;
      ownEnds.push(
        `${name} ended by itself ${Date.now() - at} ms after its ` +
          `start: ${end}`,
      );
      entry.child = undefined;
      startProcess(entry);
    });
  }

  /** Replaces the process of an entry, unless that is going on already. */
  async function replaceStopped(
    entry: Entry,
    { kind, gap, pause }: PlannedStop,
  ): Promise<void> {
    const { child } = entry;
    if (child === undefined) return;
    entry.child = undefined;
    const observed: ObservedStop = {
      entry: entry.callerProxy.address,
      startedAt: startedAt.get(entry) ?? 0,
      at: Date.now(),
      endedAt: Infinity,
    };
    stops.push(observed);
    const exited = new Promise<void>((resolve) =>
      child.once("exit", () => resolve())
    );
    child.kill("SIGTERM");
    if (kind === "one_again") {
      void sleep(gap).then(() => child.kill("SIGTERM"));
    }
    await Promise.race([exited, sleep(1_000 * plan.stopS)]);
    child.kill("SIGKILL");
    await exited;
    observed.endedAt = Date.now();
    await sleep(pause);
    if (!isClosed) startProcess(entry);
  }

  async function runStop(stop: PlannedStop): Promise<void> {
    const isOne = stop.kind === "one" || stop.kind === "one_again";
    const count = isOne ? 1 : entries.length;
    const restarts: Promise<void>[] = [];
    for (let index = 0; index < count; index++) {
      const entry = entries[(stop.target + index) % entries.length]!;
      restarts.push(replaceStopped(entry, stop));
      if (stop.kind === "rolling") await sleep(stop.gap);
    }
    await Promise.all(restarts);
  }

  function close(): void {
    isClosed = true;
    for (const { child, callerProxy, storeProxy } of entries) {
      child?.kill("SIGKILL");
      callerProxy.close();
      storeProxy.close();
    }
    endpoints.forEach((endpoint) => endpoint.close());
    store.close();
  }

  publishConfig();
  const endpoints = await startStopEndpoints(store, plan, runs);
  const entries: Entry[] = [];
  for (let index = 0; index < plan.entries; index++) {
    entries.push(
      await createEntry(`entry-${index}`, {
        store,
        folder,
        stopS: plan.stopS,
      }),
    );
  }
  entries.forEach(startProcess);
  try {
    await Promise.all(entries.map(waitUntilReady));
  } catch (error) {
    // The caller gets no handle to close this site.
    close();
    throw error;
  }
  return {
    callerAddresses: entries.map(({ callerProxy }) => callerProxy.address),
    runs,
    stops,
    ownEnds,
    runStop,
    applyChange({ kind, target }) {
      if (kind === "configuration") return publishConfig();
      const entry = entries[target % entries.length]!;
      if (loaded.has(entry)) entry.child?.kill("SIGHUP");
    },
    close,
  };
}
