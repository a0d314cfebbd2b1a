/**
 * Ports for the processes of the soak test.
 *
 * @module
 */
import { createServer } from "node:net";
import { LOOPBACK_HOST } from "./loopback_host.ts";

/**
 * Below the operating system's ephemeral port range: an outgoing connection
 * could otherwise use an entry's port while the entry is down.
 */
const FIRST_PORT = 18_000;
const PORT_COUNT = 12_000;
let nextPort = Math.floor(Math.random() * PORT_COUNT);

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((done) => {
    server.once("error", () => done(false));
    server.listen(port, LOOPBACK_HOST, () => done(true));
  });
  if (isListening) await new Promise((done) => server.close(done));
  return isListening;
}

/** Finds loopback ports that are currently free, as `ip:port`. */
export async function findFreePorts(count: number): Promise<string[]> {
  const found: string[] = [];
  while (found.length < count) {
    const port = FIRST_PORT + nextPort++ % PORT_COUNT;
    if (await isFree(port)) found.push(`${LOOPBACK_HOST}:${port}`);
  }
  return found;
}
