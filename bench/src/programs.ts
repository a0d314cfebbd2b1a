/**
 * Runs the operators' programs as an operator would.
 *
 * @module
 */
import { spawn } from "node:child_process";
import process from "node:process";

/** What a program printed and how it ended. */
export interface ProgramResult {
  status: number | null;
  output: string;
  errors: string;
}

/** Runs a program of dist/ to its end. */
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
