/**
 * A loopback proxy that harms the connections through it from outside both ends.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** What the proxy does with bytes. */
export type ProxyMode =
  | "passing"
  /** Each chunk waits. */
  | "delayed"
  /** Answers are lost, requests arrive. */
  | "one_way"
  /** Nothing passes, and nobody is told. */
  | "silent";

/** A proxy before one address. */
export interface FaultProxy {
  readonly address: string;
  setMode(mode: ProxyMode): void;
  /** Resets all open connections. */
  dropAll(): void;
  /** Where new connections go from now on. */
  setTarget(address: string): void;
  close(): void;
}

const DELAY_MS = 60;

/** Starts a proxy; resolves once it listens. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  let mode: ProxyMode = "passing";
  let current = target;
  const sockets = new Set<Socket>();

  function sendOn(from: Socket, to: Socket, isAnswer: boolean): void {
    from.on("data", (chunk) => {
      if (mode === "silent" || (mode === "one_way" && isAnswer)) return;
      const send = () => {
        if (!to.destroyed) to.write(chunk);
      };
      if (mode === "delayed") setTimeout(send, DELAY_MS);
      else send();
    });
    from.on("end", () => {
      const end = () => to.end();
      if (mode === "delayed") setTimeout(end, DELAY_MS);
      else if (mode === "passing") end();
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      sockets.delete(from);
      if (mode === "passing") setTimeout(() => to.destroy(), DELAY_MS);
    });
  }

  const server: Server = createServer({ allowHalfOpen: true }, (near) => {
    const [host = "", port] = current.split(":");
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    sockets.add(near);
    sockets.add(far);
    sendOn(near, far, false);
    sendOn(far, near, true);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;

  function dropAll(): void {
    for (const socket of sockets) socket.resetAndDestroy();
  }

  return {
    address: `127.0.0.1:${port}`,
    setMode(next) {
      mode = next;
    },
    dropAll,
    setTarget(address) {
      current = address;
    },
    close() {
      dropAll();
      server.close();
    },
  };
}
