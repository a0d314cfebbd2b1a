/**
 * Tunnels through a peer: an entry that cannot reach an endpoint itself asks a
 * peer, by an HTTP upgrade, for a connection to it. The bytes pass through
 * unchanged, and a reset on one side becomes a reset on the other: an answer
 * that was cut must not look complete. The peer's own end closes a tunnel like
 * the endpoint's does, so the peer is asked which one it was.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import type {
  AnswerMeter,
  Connect,
  ConnectOptions,
  Millis,
} from "@mangoreach/shared";
import {
  openAnswerInput,
  probeEnd,
  putBounded,
  setEndConfirmation,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import type { UpgradeRequest } from "./peer_connection_server.ts";
import { PEER_PATH } from "./peer_path.ts";
import { isSwitchTo, openUpgradeInput } from "./upgrade_answer.ts";

/** The protocol name in the upgrade of a connection that becomes a tunnel. */
export const TUNNEL_PROTOCOL = "mangoreach-tunnel";

/** The endpoint at the other end of a tunnel. */
export interface TunnelTarget {
  /** The endpoint's id: its address may have been reused. */
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Why there is no tunnel. */
export type TunnelFailure =
  /** The endpoint refused the peer's connection. */
  | "refused"
  /** The endpoint did not respond to the peer in time. */
  | "silent"
  /** The peer cannot be reached, is busy, or does not reach endpoints. */
  | "unavailable";

/** Options of {@linkcode openTunnel}. */
export interface TunnelOptions extends ConnectOptions {
  /** The peer's control address, `ip:port`. */
  peer: string;
  /** Opens the connection to the peer. */
  connect: Connect;
  /** Counts what answers of the peer cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** Connects to an endpoint for a peer. */
export type ConnectForPeer = (
  target: TunnelTarget,
  signal: AbortSignal,
) => Promise<Result<Socket, TunnelFailure>>;

const STATUS_OF_FAILURE: Readonly<Record<TunnelFailure, number>> = {
  refused: 502,
  silent: 504,
  unavailable: 503,
};

/** Longer than a busy peer takes to reply. */
const CONFIRM_TIMEOUT: Millis = 500;
const STATUS_ENDED = 204;
const STATUS_UNKNOWN = 410;
/** Tunnels whose ends are remembered; peers ask for them at once. */
const MAX_ENDS = 1_024;

/** Opens a tunnel to an endpoint; the signal aborts the attempt only. */
export async function openTunnel(
  { id, address }: TunnelTarget,
  options: TunnelOptions,
): Promise<Result<Socket, TunnelFailure>> {
  const tunnel = randomUUID();
  const query = new URLSearchParams({ id, address, tunnel });
  const reply = await sendUpgrade(query, options);
  if (reply.isErr) return Result.err(reply.error);
  if (typeof reply.value === "number") {
    const status = reply.value;
    const failure = FAILURES.find((one) => STATUS_OF_FAILURE[one] === status);
    return Result.err(failure ?? "unavailable");
  }
  setEndConfirmation(reply.value, () => confirmTunnelEnd(tunnel, options));
  return Result.ok(reply.value);
}

/** Whether the endpoint at the other side has ended a tunnel. */
async function confirmTunnelEnd(
  ended: string,
  { peer, connect, meter }: TunnelOptions,
): Promise<boolean> {
  const reply = await sendUpgrade(new URLSearchParams({ ended }), {
    peer,
    connect,
    timeout: CONFIRM_TIMEOUT,
    meter,
  });
  if (reply.isErr) return false;
  if (typeof reply.value !== "number") reply.value.destroy();
  return reply.value === STATUS_ENDED;
}

/** Sends an upgrade request; resolves with the tunnel or another status. */
async function sendUpgrade(
  query: URLSearchParams,
  { peer, connect, meter, timeout, signal }: TunnelOptions,
): Promise<Result<Socket | number, "silent" | "unavailable">> {
  const connection = await connect(peer, { timeout, signal });
  if (connection.isErr) return Result.err("unavailable");
  const socket = connection.value;
  return await new Promise((resolve) => {
    const input = openUpgradeInput(socket, {
      address: peer,
      meter,
      onExceeded: () => fail("unavailable"),
    });
    const timer = setTimeout(() => fail("silent"), timeout);
    const abort = () => fail("unavailable");

    function finish(
      result: Result<Socket | number, "silent" | "unavailable">,
    ): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
      resolve(result);
    }

    function fail(failure: "silent" | "unavailable"): void {
      socket.destroy();
      finish(Result.err(failure));
    }

    signal?.addEventListener("abort", abort, { once: true });
    const request = sendRequest({
      path: `${PEER_PATH}tunnel?${query}`,
      headers: { connection: "Upgrade", upgrade: TUNNEL_PROTOCOL },
      createConnection: () => socket,
    });
    request.once("upgrade", (response, _socket, head) => {
      input.detach();
      if (!isSwitchTo(response, TUNNEL_PROTOCOL)) return fail("unavailable");
      if (head.length > 0) socket.unshift(head);
      finish(Result.ok(socket));
    });
    request.once("response", ({ statusCode = 0 }) => {
      socket.destroy();
      finish(Result.ok(statusCode));
    });
    request.on("error", () => fail("unavailable"));
    request.end();
    if (signal?.aborted) abort();
  });
}

const FAILURES = Object.keys(STATUS_OF_FAILURE) as TunnelFailure[];

/** Serves an upgrade request; resolves when its tunnel has ended. */
export type ServeTunnel = (upgrade: UpgradeRequest) => Promise<void>;

/** Creates the peer's side of tunnels. */
export function createTunnelServer(
  connectForPeer: ConnectForPeer,
): ServeTunnel {
  /** Tunnels that their endpoints have ended. */
  const ends = new Map<string, true>();

  return async (upgrade) => {
    const searchParams = readQuery(upgrade.request.url ?? "");
    const ended = searchParams.get("ended");
    if (ended !== null) {
      const status = ends.delete(ended) ? STATUS_ENDED : STATUS_UNKNOWN;
      return refuseUpgrade(upgrade, status);
    }
    const tunnel = searchParams.get("tunnel");
    const target = {
      id: searchParams.get("id") ?? "",
      address: searchParams.get("address") ?? "",
    };
    await serveTunnel(upgrade, {
      connect: (signal) => connectForPeer(target, signal),
      recordEnd() {
        if (tunnel !== null) putBounded(ends, [tunnel, true], MAX_ENDS);
      },
    });
  };
}

/** Reads the query of a target, which need not be a URL. */
function readQuery(target: string): URLSearchParams {
  const queryAt = target.indexOf("?");
  return new URLSearchParams(queryAt < 0 ? "" : target.slice(queryAt + 1));
}

function refuseUpgrade({ socket }: UpgradeRequest, status: number): void {
  socket.end(
    `HTTP/1.1 ${status} No Tunnel\r\n` +
      "connection: close\r\ncontent-length: 0\r\n\r\n",
    () => socket.destroy(),
  );
}

async function serveTunnel(
  upgrade: UpgradeRequest,
  { connect, recordEnd }: {
    connect: (
      signal: AbortSignal,
    ) => Promise<Result<Socket, TunnelFailure>>;
    recordEnd: () => void;
  },
): Promise<void> {
  const { socket, head } = upgrade;
  const controller = new AbortController();
  const abort = () => controller.abort();
  socket.on("error", abort);
  socket.once("close", abort);
  const connection = await connect(controller.signal);
  if (connection.isErr) {
    return refuseUpgrade(upgrade, STATUS_OF_FAILURE[connection.error]);
  }
  if (socket.destroyed) return void connection.value.destroy();
  socket.removeAllListeners("timeout");
  socket.write(
    "HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\n" +
      `upgrade: ${TUNNEL_PROTOCOL}\r\n\r\n`,
  );
  if (head.length > 0) socket.unshift(head);
  await runTunnel(socket as Socket, connection.value, recordEnd);
}

/** Passes bytes in both directions until both sockets have closed. */
function runTunnel(
  near: Socket,
  far: Socket,
  recordEnd: () => void,
): Promise<void> {
  near.setTimeout(0);
  // The endpoint may send faster than this process should relay.
  openAnswerInput(far, {});
  near.pipe(far, { end: false });
  far.pipe(near, { end: false });
  // The client of a call never closes its side alone: it has given up.
  near.once("end", () => far.destroy());
  far.once("end", async () => {
    if (!await probeEnd(far)) return void near.resetAndDestroy();
    recordEnd();
    near.end();
  });
  const closed = [near, far].map((socket, index, both) =>
    new Promise<void>((resolve) => {
      const other = both[1 - index]!;
      socket.on("error", () => other.resetAndDestroy());
      socket.once("close", () => {
        // Its last bytes may still be on their way to the other side.
        if (!other.writableEnded) other.destroy();
        resolve();
      });
    })
  );
  return Promise.all(closed).then(() => {});
}
