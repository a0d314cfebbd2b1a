/**
 * Checks whether a process listens at an address, by opening a connection and
 * closing it again.
 *
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "./address.ts";
import type { Clock, Millis } from "./clock.ts";

/** The result of a connection attempt. */
export type Listening =
  | "listening"
  /** The instance refused the connection: no process listens there. */
  | "refused"
  /** A timeout, another error or a malformed address: the state is unknown. */
  | "silent";

/** Options of {@linkcode checkListening}. */
export interface ListeningOptions {
  clock: Clock;
  timeout: Millis;
}

/** Tries one connection; `address` is `ip:port`. */
export function checkListening(
  address: string,
  { clock, timeout }: ListeningOptions,
): Promise<Listening> {
  const target = parseAddress(address);
  if (target === undefined) return Promise.resolve("silent");
  return new Promise((resolve) => {
    const socket = connect({ ...target });
    const stop = clock.startTimer(timeout, () => finish("silent"));
    function finish(outcome: Listening) {
      stop();
      socket.destroy();
      resolve(outcome);
    }
    socket.once("connect", () => finish("listening"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED" ? "refused" : "silent");
    });
  });
}
