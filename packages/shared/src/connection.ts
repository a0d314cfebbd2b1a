/**
 * Opens TCP connections. Callers take the function as an argument, as there may
 * be other ways to reach an address than a direct connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import { Result } from "true-myth";
import { parseAddress } from "./address.ts";
import type { Millis } from "./clock.ts";

/** Why a connection could not be opened. */
export type ConnectFailure =
  /** The other side refused it. */
  | "refused"
  /** There was no response in time. */
  | "silent"
  /** The caller gave up. */
  | "aborted"
  | "malformed_address";

/** A connection that could not be opened. */
export interface ConnectFault {
  failure: ConnectFailure;
  message: string;
}

/** Options of {@linkcode Connect}. */
export interface ConnectOptions {
  timeout: Millis;
  signal?: AbortSignal | undefined;
}

/**
 * Opens a connection to `ip:port`. The socket stays half-open when the other
 * side ends its own side.
 */
export type Connect = (
  address: string,
  options: ConnectOptions,
) => Promise<Result<Socket, ConnectFault>>;

/** Opens a direct connection. */
export const openConnection: Connect = (address, { timeout, signal }) => {
  const target = parseAddress(address);
  if (target === undefined) {
    return Promise.resolve(Result.err({
      failure: "malformed_address",
      message: "the address is malformed",
    }));
  }
  return new Promise((resolve) => {
    const socket = connect({ ...target, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(
      () => fail("silent", "the connection was not made in time"),
      timeout,
    );
    const abort = () => fail("aborted", "given up");

    function finish(result: Result<Socket, ConnectFault>): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
      resolve(result);
    }

    function fail(failure: ConnectFailure, message: string): void {
      socket.destroy();
      finish(Result.err({ failure, message }));
    }

    socket.once("connect", () => finish(Result.ok(socket)));
    // Stays, as an error without a listener would end the process.
    socket.on("error", ({ message }) => fail("refused", message));
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();
  });
};

/** An empty line between requests, which servers ignore. */
const PROBE = "\r\n";

/**
 * Tells whether a socket that has just ended was closed in order, by a server
 * that has received all that was written. One that closes before may have been
 * going to send more, and a reset that follows comes too late. Otherwise two
 * bytes are written, which fails after a reset: libuv reports a normal end if a
 * reset arrives together with the last bytes.
 */
export function probeEnd(socket: Socket): Promise<boolean> {
  if (socket.writableLength > 0) return Promise.resolve(false);
  return new Promise((resolve) => {
    // Whatever the error: the bytes were not written.
    socket.write(PROBE, (error) => resolve(!error));
  });
}

/**
 * Confirms that the other side of a relayed connection has ended it, and not
 * the relay, whose own end looks the same.
 */
export type ConfirmEnd = () => Promise<boolean>;

const confirmations = new WeakMap<Socket, ConfirmEnd>();

/** Sets how the end of a relayed connection is confirmed. */
export function setEndConfirmation(socket: Socket, confirm: ConfirmEnd): void {
  confirmations.set(socket, confirm);
}

/** Whether a connection leads through a relay. */
export function isRelayed(socket: Socket): boolean {
  return confirmations.has(socket);
}

/** Confirms the end of a connection; a direct one needs no confirmation. */
export async function confirmEnd(socket: Socket): Promise<boolean> {
  return await (confirmations.get(socket)?.() ?? true);
}
