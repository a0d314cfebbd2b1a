/**
 * Starts the programs of a site as processes and ends only those.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** A process that was started here. */
export interface LaunchedProcess {
  readonly pid: number;
  /** The JSON line that the program printed when it was ready. */
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
  /** Standard error goes here; by default nowhere. */
  errorFile?: string;
}

const launched = new Set<ChildProcess>();
const START_LIMIT_MS = 20_000;

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
      () => reject(new Error(`${program} did not start in time`)),
      START_LIMIT_MS,
    );
    child.once("exit", (status) => {
      clearTimeout(timer);
      reject(new Error(`${program} ended with status ${status} at its start`));
    });
    if (child.stdout === null) return;
    createInterface(child.stdout).once("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}

/** Ends every process that is still running. */
export function killAll(): void {
  for (const child of launched) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
}
