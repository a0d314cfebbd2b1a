/**
 * Reads CPU time, memory and transferred bytes of a process from procfs.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Resource usage of a process. */
export interface ProcessUsage {
  /** User and system CPU time, in seconds. */
  cpuSeconds: number;
  residentBytes: number;
  /** Bytes read and written by system calls, sockets included (proc(5), `io`). */
  transferredBytes: number;
}

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const USER_TIME_FIELD = 11;
const RESIDENT_FIELD = 21;

/** Reads the usage of a local process (proc(5), `stat`). */
export function readProcessUsage(pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command name in the second field may contain spaces.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[USER_TIME_FIELD + 1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[RESIDENT_FIELD]) * PAGE_BYTES,
    transferredBytes: readTransferredBytes(pid),
  };
}

function readTransferredBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  return [...text.matchAll(/^[rw]char: (\d+)$/gm)]
    .reduce((sum, [, count]) => sum + Number(count), 0);
}
