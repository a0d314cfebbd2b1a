/**
 * Whether anything listens at an address, by opening a connection and closing
 * it again.
 *
 * @module
 */
import { connect } from "node:net";
import type { Clock, Millis } from "./clock.ts";

/** What an address says to a new connection. */
export type Listening =
  | "listening"
  /** The instance answers and no process listens there. */
  | "refused"
  /** No answer in time, or another error: nothing is known. */
  | "silent";

/** Options of {@linkcode checkListening}. */
export interface ListeningOptions {
  clock: Clock;
  timeout: Millis;
}

/** Asks once; `address` is `ip:port`. */
export function checkListening(
  address: string,
  { clock, timeout }: ListeningOptions,
): Promise<Listening> {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port });
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
