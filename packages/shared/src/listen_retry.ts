/**
 * Starts listening, and retries while an address is not available.
 *
 * @module
 */
import type { Server } from "node:net";
import type { Clock, Millis } from "./clock.ts";

/** How the listeners of a process meet faults of their addresses. */
export interface ListenFaults {
  clock: Clock;
  /** Called for the first attempt that fails, then every ten seconds. */
  onDelayed: (address: string, error: Error) => void;
  /** Called for errors of a server that listens. */
  onError: (address: string, error: Error) => void;
}

const FIRST_DELAY: Millis = 50;
const MAX_DELAY: Millis = 500;
const LOG_INTERVAL: Millis = 10_000;
/**
 * These pass: a process before this one still has the port, the address is not
 * yet set up, or resources are short.
 */
const TRANSIENT_CODES: readonly string[] = [
  "EADDRINUSE",
  "EADDRNOTAVAIL",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
  "EACCES",
];

/** Resolves once a server listens; without `faults` it tries once. */
export async function startListening(
  server: Server,
  { host, port, faults }: {
    host: string;
    port: number;
    faults?: ListenFaults | undefined;
  },
): Promise<void> {
  const address = `${host}:${port}`;
  let loggedAt = -Infinity;
  for (let delay = FIRST_DELAY;; delay = Math.min(2 * delay, MAX_DELAY)) {
    const error = await tryListening(server, { host, port });
    if (error === undefined) break;
    if (faults === undefined || !TRANSIENT_CODES.includes(error.code ?? "")) {
      throw error;
    }
    const now = faults.clock.now();
    if (now - loggedAt >= LOG_INTERVAL) {
      loggedAt = now;
      faults.onDelayed(address, error);
    }
    await faults.clock.sleep(delay);
  }
  // An error without a listener would be thrown, and end the process.
  server.on("error", (error) => faults?.onError(address, error));
}

function tryListening(
  server: Server,
  address: { host: string; port: number },
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    const finish = (error?: NodeJS.ErrnoException) => {
      server.off("error", finish);
      server.off("listening", handleListening);
      resolve(error);
    };
    const handleListening = () => finish();
    server.once("error", finish);
    server.once("listening", handleListening);
    server.listen(address);
  });
}
