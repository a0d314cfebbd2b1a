/**
 * The time in which a process was ready to run and others used its core, which is
 * no delay of its own.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const NANOS_PER_MILLI = 1_000_000;

/** Returns the time so far, in milliseconds; 0 once the process has ended. */
export function readCoreWait(pid: number | undefined): number {
  try {
    const [, waited] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(
      " ",
    );
    return Number(waited) / NANOS_PER_MILLI;
  } catch {
    return 0;
  }
}
