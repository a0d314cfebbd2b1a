/**
 * A loopback TCP proxy that injects network faults into its connections.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { LOOPBACK_HOST } from "./loopback_host.ts";

/** How the proxy treats traffic. */
export type ProxyMode =
  | "passing"
  /** Each chunk is delayed. */
  | "delayed"
  /** All traffic waits until another mode is set, as at a paused endpoint. */
  | "held"
  /** Requests are forwarded, responses are dropped. */
  | "one_way"
  /** All traffic is dropped without closing connections. */
  | "silent";

/** A proxy in front of one address. */
export interface FaultProxy {
  readonly address: string;
  setMode(mode: ProxyMode): void;
  /** Resets all open connections. */
  resetAll(): void;
  /** Sets the address that new connections are forwarded to. */
  setTarget(address: string): void;
  /** Refuses new connections until told otherwise, like a host without it. */
  refuseConnections(isRefusing: boolean): void;
  close(): void;
}

const DELAY_MS = 60;
const HELD_CHECK_MS = 20;

/** Starts a proxy; resolves once it listens. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  let mode: ProxyMode = "passing";
  let current = target;
  let isClosed = false;
  const sockets = new Set<Socket>();

  async function waitWhileHeld(): Promise<void> {
    while (mode === "held") await sleep(HELD_CHECK_MS);
  }

  /** Forwards one direction and preserves the order of bytes. */
  function forward(from: Socket, to: Socket, isResponse: boolean): void {
    let lastSend: Promise<void> = Promise.resolve();
    // Once bytes are dropped, the direction stays dropped: a TCP stream has no gaps.
    let hasDropped = false;

    function enqueueSend(send: () => void): void {
      const delay = mode === "delayed" ? DELAY_MS : 0;
      const due = sleep(delay);
      lastSend = lastSend.then(() => due).then(waitWhileHeld).then(send);
    }

    from.on("data", (chunk) => {
      hasDropped ||= mode === "silent" || (mode === "one_way" && isResponse);
      if (hasDropped) return;
      enqueueSend(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on("end", () => {
      if (!hasDropped && mode !== "silent") enqueueSend(() => to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      sockets.delete(from);
      if (!hasDropped && mode !== "silent") enqueueSend(() => to.destroy());
    });
  }

  const server: Server = createServer({ allowHalfOpen: true }, (client) => {
    const [host = "", port] = current.split(":");
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true });
    sockets.add(client);
    sockets.add(upstream);
    forward(client, upstream, false);
    forward(upstream, client, true);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK_HOST, resolve)
  );
  const { port } = server.address() as AddressInfo;

  function resetAll(): void {
    for (const socket of sockets) socket.resetAndDestroy();
  }

  return {
    address: `${LOOPBACK_HOST}:${port}`,
    setMode(next) {
      mode = next;
    },
    resetAll,
    setTarget(address) {
      current = address;
    },
    refuseConnections(isRefusing) {
      if (isClosed || isRefusing !== server.listening) return;
      if (isRefusing) server.close();
      else server.listen(port, LOOPBACK_HOST);
    },
    close() {
      isClosed = true;
      resetAll();
      server.close();
    },
  };
}
