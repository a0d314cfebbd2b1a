/**
 * Starts the programs of a site as processes, and kills only these.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** A process that this module started. */
export interface LaunchedProcess {
  readonly pid: number;
  /** The JSON line that the program prints when it is ready. */
  readonly ready: Record<string, unknown>;
  readonly hasExited: boolean;
  /** Resolves with the exit status; null after a kill. */
  readonly exited: Promise<number | null>;
  send(signal: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void;
}

/** Options of {@linkcode launchProcess}. */
export interface LaunchOptions {
  program: string;
  args: string[];
  /** File for standard error, which is discarded by default. */
  errorFile?: string;
}

const launched = new Set<ChildProcess>();
const START_TIMEOUT_MS = 20_000;

/** Starts a program of dist/ and waits for its first line. */
export async function launchProcess(
  { program, args, errorFile }: LaunchOptions,
): Promise<LaunchedProcess> {
  const child = spawn(
    process.execPath,
    [`dist/${program}.mjs`, ...args],
    { stdio: ["ignore", "pipe", errorFile === undefined ? "ignore" : "pipe"] },
  );
  launched.add(child);
  if (errorFile !== undefined) child.stderr?.pipe(createWriteStream(errorFile));
  let hasExited = false;
  const exited = new Promise<number | null>((resolve) => {
    child.once("exit", (status) => {
      hasExited = true;
      launched.delete(child);
      resolve(status);
    });
  });
  const ready = await readFirstLine(child, program);
  return {
    pid: child.pid ?? -1,
    ready,
    get hasExited() {
      return hasExited;
    },
    exited,
    send: (signal) => void child.kill(signal),
  };
}

function readFirstLine(
  child: ChildProcess,
  program: string,
): Promise<Record<string, unknown>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${program} did not become ready in time`)),
      START_TIMEOUT_MS,
    );
    child.once("exit", (status) => {
      clearTimeout(timer);
      reject(new Error(`${program} exited with ${status} before it was ready`));
    });
    if (child.stdout === null) return;
    createInterface(child.stdout).once("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}

/** Kills every launched process that is still running. */
export function killAll(): void {
  for (const child of launched) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
}
