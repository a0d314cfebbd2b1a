/**
 * The loopback address on which a process of the soak test listens.
 *
 * @module
 */
import process from "node:process";

const OCTET = 256;

/**
 * Computes an address that no other running process uses. With a common address,
 * a port that one run gives up for a moment may be taken by another run, whose
 * entries and endpoints then answer in its place.
 */
export function computeLoopbackHost(pid: number): string {
  const high = Math.floor(pid / OCTET ** 2) + 1;
  const middle = Math.floor(pid / OCTET) % OCTET;
  return `127.${high}.${middle}.${pid % OCTET}`;
}

/** The address of this process. */
export const LOOPBACK_HOST = computeLoopbackHost(process.pid);
