/**
 * One process of the program with the command of the deploy file, for tests of
 * what it does as it starts, stops and meets faults outside of requests.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformSettings } from "../../platform/src/platform_settings.ts";
import { PATH } from "../../platform/src/wire_names.ts";
import { createEntrySettings, findEntryPorts } from "./entry_settings.ts";

/** A process, its settings and what it has written. */
export interface StartedProcess {
  child: ChildProcess;
  settings: PlatformSettings;
  settingsFile: string;
  readLog(): string;
  /** The status or signal that ended it; undefined while it lives. */
  readEnd(): string | undefined;
}

/** Options of {@linkcode startProcess}. */
export interface StartProcessOptions {
  /** `ip:port` of a store. */
  store: string;
  /** Text of the settings file; undefined for none. */
  formatSettings?: (settings: PlatformSettings) => string | undefined;
  /** A script that the process runs first. */
  preloaded?: string;
  /** Called with the settings before the process starts. */
  onSettings?: (settings: PlatformSettings) => Promise<void>;
}

const POLL_MS = 10;
const READY_STATUS = 200;

/** Starts a process. */
export async function startProcess(
  {
    store,
    formatSettings = (settings) => JSON.stringify(settings),
    preloaded,
    onSettings,
  }: StartProcessOptions,
): Promise<StartedProcess> {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-process-"));
  const settingsFile = join(folder, "settings.jsonc");
  const logFile = join(folder, "log");
  const preloadedFile = join(folder, "preloaded.cjs");
  writeFileSync(logFile, "");
  writeFileSync(preloadedFile, preloaded ?? "");
  const settings = createEntrySettings("entry-0", {
    ports: await findEntryPorts(),
    store,
    logLevel: "info",
  });
  await onSettings?.(settings);
  const text = formatSettings(settings);
  if (text !== undefined) writeFileSync(settingsFile, text);
  const deploy = readFileSync("deploy/system.toml", "utf8");
  const [, command = ""] = /^run = "node (.*)"$/m.exec(deploy) ?? [];
  const first = preloaded === undefined ? "" : `--require ${preloadedFile} `;
  const child = spawn("bash", [
    "-c",
    `exec "$0" ${first}${command} >"$1" 2>&1`,
    process.execPath,
    logFile,
  ], {
    env: { PATH: process.env.PATH, MANGOREACH_CONFIG: settingsFile },
    stdio: "ignore",
  });
  let end: string | undefined;
  child.once("exit", (code, signal) => end = signal ?? `status ${code}`);
  return {
    child,
    settings,
    settingsFile,
    readLog: () => readFileSync(logFile, "utf8"),
    readEnd: () => end,
  };
}

/** Waits until something holds; false if it does not in time. */
export async function waitUntil(
  holds: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const limit = Date.now() + timeoutMs;
  while (!await holds()) {
    if (Date.now() > limit) return false;
    await sleep(POLL_MS);
  }
  return true;
}

/** Returns how a process ended within a time, or `lives`. */
export async function waitForEnd(
  { readEnd }: StartedProcess,
  timeoutMs: number,
): Promise<string> {
  await waitUntil(() => readEnd() !== undefined, timeoutMs);
  return readEnd() ?? "lives";
}

/** Returns whether callers may be sent to a process. */
export async function isReady({ settings }: StartedProcess): Promise<boolean> {
  const reply = await fetch(`http://${settings.ready}${PATH.ready}`)
    .catch(() => undefined);
  return reply?.status === READY_STATUS;
}

/** Sums a counter of a process over the series whose labels contain a text. */
export async function readCounter(
  { settings }: StartedProcess,
  { name, label = "" }: { name: string; label?: string },
): Promise<number> {
  const reply = await fetch(`http://${settings.metrics}/metrics`);
  const lines = (await reply.text()).split("\n");
  return lines
    .filter((line) => line.startsWith(`${name}{`) && line.includes(label))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}
