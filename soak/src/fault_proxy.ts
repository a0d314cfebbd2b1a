/**
 * A loopback proxy that harms the connections through it from outside both ends.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

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

  /** Passes one direction on, in order as TCP does. */
  function sendOn(from: Socket, to: Socket, isAnswer: boolean): void {
    let lastSend: Promise<void> = Promise.resolve();
    // What is lost is lost for good: a connection never goes on behind a gap.
    let isLost = false;

    function addSend(send: () => void): void {
      const pause = mode === "delayed" ? DELAY_MS : 0;
      const due = sleep(pause);
      lastSend = lastSend.then(() => due).then(send);
    }

    from.on("data", (chunk) => {
      isLost ||= mode === "silent" || (mode === "one_way" && isAnswer);
      if (isLost) return;
      addSend(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on("end", () => {
      if (!isLost && mode !== "silent") addSend(() => to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      sockets.delete(from);
      if (!isLost && mode !== "silent") addSend(() => to.destroy());
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
