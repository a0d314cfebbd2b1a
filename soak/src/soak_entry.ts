/**
 * The entry processes under test: configuration, start, stop and replacement.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { PATH } from "../../platform/src/wire_names.ts";
import {
  createEntrySettings,
  findEntryPorts,
  STOP_S,
} from "./entry_settings.ts";
import type { CutMode } from "./endpoint_cuts.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";
import type { TopicStore } from "./topic_store.ts";

/** A process under test with a proxy for callers and one to the store. */
export interface Entry {
  name: string;
  settingsFile: string;
  logFile: string;
  ready: string;
  /** Control address. */
  control: string;
  child: ChildProcess | undefined;
  callerProxy: FaultProxy;
  storeProxy: FaultProxy;
}

/** Starts the program so that its connections to endpoints can be cut. */
const LAUNCHER = "soak/src/cut_launcher.cjs";
const PROGRAM = "target/mangoreach-platform.cjs";
const START_TIMEOUT_MS = 15_000;

/** Writes the settings of an entry and starts its proxies. */
export async function createEntry(
  name: string,
  { store, folder, stopS }: {
    store: Pick<TopicStore, "address">;
    folder: string;
    /** Time limit to stop, in seconds. */
    stopS?: number;
  },
): Promise<Entry> {
  const ports = await findEntryPorts();
  const storeProxy = await startFaultProxy(store.address);
  const callerProxy = await startFaultProxy(ports.callers);
  const settingsFile = join(folder, `${name}.jsonc`);
  const settings = createEntrySettings(name, {
    ports,
    store: storeProxy.address,
    logLevel: "info",
    ...(stopS === undefined ? {} : { stopS }),
  });
  writeFileSync(settingsFile, JSON.stringify(settings));
  return {
    name,
    settingsFile,
    logFile: join(folder, `${name}.log`),
    ready: ports.ready,
    control: ports.control,
    child: undefined,
    callerProxy,
    storeProxy,
  };
}

/** Starts the process of an entry. */
export function startEntry(entry: Entry): void {
  const child = spawn(process.execPath, [
    "--max-old-space-size=150",
    LAUNCHER,
    PROGRAM,
    "--settings",
    entry.settingsFile,
  ], { stdio: ["ignore", "pipe", "pipe", "ipc"] });
  const log = createWriteStream(entry.logFile, { flags: "a" });
  child.stdout?.pipe(log, { end: false });
  child.stderr?.pipe(log, { end: false });
  entry.child = child;
}

/**
 * Cuts the connections of an entry to all addresses except those that are
 * passing; without a mode the cut ends.
 */
export function sendCut(
  { child }: Entry,
  mode: CutMode | "none",
  passing: readonly string[],
): void {
  // A process that has ended has no connections that could be cut.
  if (child?.connected) child.send({ mode, passing }, () => {});
}

/** Cuts the connections that an entry opens to the listed addresses only. */
export function sendBlock(
  { child }: Entry,
  mode: CutMode,
  blocked: readonly string[],
): void {
  if (child?.connected) child.send({ mode, blocked }, () => {});
}

/** Resolves once the entry reports that it is ready. */
export async function waitUntilReady({ name, ready }: Entry): Promise<void> {
  const limit = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < limit) {
    const reply = await fetch(`http://${ready}${PATH.ready}`).catch(() =>
      undefined
    );
    if (reply?.status === 200) return;
    await sleep(50);
  }
  throw new Error(`${name} was not ready in time`);
}

/** Stops the process of an entry and starts another after `duration` ms. */
export async function replaceEntry(
  entry: Entry,
  signal: "SIGKILL" | "SIGTERM",
  duration: number,
): Promise<void> {
  const { child } = entry;
  if (child === undefined) return;
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill(signal);
  child.kill("SIGCONT");
  await Promise.race([exited, sleep(1_000 * STOP_S)]);
  child.kill("SIGKILL");
  await sleep(duration);
  if (entry.child === child) startEntry(entry);
}
