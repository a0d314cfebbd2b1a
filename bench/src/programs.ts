/**
 * Runs the operators' command-line programs.
 *
 * @module
 */
import { spawn } from "node:child_process";
import process from "node:process";

/** Output and exit status of a program. */
export interface ProgramResult {
  status: number | null;
  output: string;
  errors: string;
}

/** Runs a program of dist/ and waits until it exits. */
export function runProgram(
  program: string,
  args: readonly string[],
): Promise<ProgramResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [`dist/${program}.mjs`, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let errors = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => errors += chunk);
    child.once("close", (status) => resolve({ status, output, errors }));
  });
}
