/**
 * A process of the program with the command of the deploy file, without proxies
 * that would read for it.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { PATH } from "../../platform/src/wire_names.ts";
import type { EntryPorts } from "./entry_settings.ts";
import { createEntrySettings, findEntryPorts } from "./entry_settings.ts";

/** Options of {@linkcode startProgram}. */
export interface ProgramOptions {
  name: string;
  /** `ip:port`. */
  store: string;
  folder: string;
  /** Control addresses of other entries. */
  seeds?: readonly string[];
  /** The limit of descriptors; that of this process if left out. */
  maxDescriptors?: number;
  /** The core that it is bound to; any if left out. */
  core?: number;
  /** Further arguments for Node.js. */
  nodeArguments?: readonly string[];
}

/** A running process. */
export interface ProgramProcess {
  readonly child: ChildProcess;
  readonly ports: EntryPorts;
  /** Whether the process has neither exited nor been ended. */
  isAlive(): boolean;
  /** Returns the most memory that it has taken, in MB. */
  readPeakMemory(): number;
  /** Returns what it wrote to its log so far. */
  readLog(): string;
  /** Resolves with whether it reports that it is ready within the time. */
  waitUntilReady(timeout: number): Promise<boolean>;
  kill(): void;
}

const POLL_MS = 50;
const DEPLOY_FILE = "deploy/system.toml";

/** Reads the command that starts the program. */
function readCommand(): string[] {
  const text = readFileSync(DEPLOY_FILE, "utf8");
  const [, command = ""] = /^run = "(.+)"$/m.exec(text) ?? [];
  return command.split(" ");
}

/** Starts the program on free ports. */
export async function startProgram(
  { name, store, folder, seeds = [], maxDescriptors, core, nodeArguments = [] }:
    ProgramOptions,
): Promise<ProgramProcess> {
  const ports = await findEntryPorts();
  const settingsFile = join(folder, `${name}.jsonc`);
  const logFile = join(folder, `${name}.log`);
  const settings = createEntrySettings(name, {
    ports,
    store,
    logLevel: "info",
  });
  writeFileSync(settingsFile, JSON.stringify({ ...settings, seeds }));
  const [, ...rest] = readCommand();
  const command = [
    ...(core === undefined ? [] : ["taskset", "-c", String(core)]),
    process.execPath,
    ...nodeArguments,
    ...rest,
    "--settings",
    settingsFile,
  ];
  const limit = maxDescriptors === undefined
    ? ""
    : `ulimit -n ${maxDescriptors}; `;
  // The shell is replaced by the program, whose id is that of the child then.
  const child = spawn("bash", ["-c", `${limit}exec "$@"`, "bash", ...command], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = createWriteStream(logFile, { flags: "a" });
  child.stdout?.pipe(log, { end: false });
  child.stderr?.pipe(log, { end: false });

  function isAlive(): boolean {
    return child.exitCode === null && child.signalCode === null;
  }

  let peak = 0;
  function readPeakMemory(): number {
    try {
      const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
      peak = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      // The process has ended.
    }
    return peak;
  }

  async function waitUntilReady(timeout: number): Promise<boolean> {
    const limitAt = Date.now() + timeout;
    while (Date.now() < limitAt && isAlive()) {
      const reply = await fetch(`http://${ports.ready}${PATH.ready}`, {
        headers: { connection: "close" },
        signal: AbortSignal.timeout(1_000),
      }).catch(() => undefined);
      if (reply?.status === 200) return true;
      await sleep(POLL_MS);
    }
    return false;
  }

  return {
    child,
    ports,
    isAlive,
    readPeakMemory,
    readLog: () => readFileSync(logFile, "utf8"),
    waitUntilReady,
    kill: () => void child.kill("SIGKILL"),
  };
}
