/**
 * Parses addresses of processes.
 *
 * @module
 */

/** The parts of an address. */
export interface AddressParts {
  /** An IP address or a host name; IPv6 addresses have no brackets here. */
  host: string;
  port: number;
}

const ADDRESS = /^(?:\[([\w:.%-]+)\]|([\w:.%-]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Parses `ip:port`; undefined if it is malformed. Node.js throws for some
 * malformed addresses, and connects to a default host or port for others.
 */
export function parseAddress(address: string): AddressParts | undefined {
  const [, bracketed, plain, digits] = ADDRESS.exec(address) ?? [];
  const host = bracketed ?? plain;
  const port = Number(digits);
  if (host === undefined || port < 1 || port > MAX_PORT) return undefined;
  return { host, port };
}
