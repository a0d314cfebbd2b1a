/**
 * Connects to endpoints through peers. Their failures also tell whether an
 * endpoint is down, or only the path from here is broken.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { EndpointInfo, PeerView } from "@mangoreach/coordination";
import { sampleItems } from "@mangoreach/coordination";
import type { TunnelFailure, TunnelTarget } from "@mangoreach/peers";
import type {
  Clock,
  Connect,
  ConnectFault,
  ConnectOptions,
  Millis,
} from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";

/** An open connection, or why there is none. */
export type Connection = Result<Socket, ConnectFault>;

/** Opens a connection to an endpoint through the peer at a control address. */
export type ConnectThrough = (
  peer: string,
  target: TunnelTarget,
  options: ConnectOptions,
) => Promise<Result<Socket, TunnelFailure>>;

/** Options of {@linkcode createPeerRelays}. */
export interface PeerRelaysOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  log: DecisionLog;
  connectThrough: ConnectThrough;
  listPeers: () => readonly PeerView[];
  /** Lists all endpoints that may be listening at an address. */
  listAt: (address: string) => readonly EndpointInfo[];
}

/** Connections through peers. */
export interface PeerRelays {
  /** Fails with `refused` if peers were refused too, else with `silent`. */
  connect: Connect;
  /** Whether peers did not reach an endpoint a moment ago. */
  isDown(address: string): boolean;
  /** Lists the peers that have connected to an address since then. */
  listUsed(address: string, since: Millis): string[];
}

/** Peers that are asked for one connection at most. */
const MAX_PEERS = 6;
/** If one way or peer takes longer than this, the next is tried as well. */
export const HEDGE_DELAY: Millis = 180;
/** Peers that must confirm that an endpoint refuses connections. */
const REFUSALS_TO_CONFIRM = 2;
/** For this long, an endpoint that peers do not reach either is down. */
const DOWN_TTL: Millis = 500;
/** For this long, a peer that could not help is asked last. */
const PEER_FAILURE_TTL: Millis = 2_000;
const MAX_TRACKED = 4_096;

/** Creates the relays of an entry that has asked no peer. */
export function createPeerRelays(
  { clock, random, log, connectThrough, listPeers, listAt }: PeerRelaysOptions,
): PeerRelays {
  /** By address, when peers did not reach the endpoint. */
  const downAt = new Map<string, Millis>();
  /** By control address, when a peer could not help. */
  const peerFailedAt = new Map<string, Millis>();
  /** By address, when each peer connected to it last. */
  const connectedAt = new Map<string, Map<string, Millis>>();

  function isRecent(at: Millis | undefined, ttl: Millis): boolean {
    return at !== undefined && clock.now() - at < ttl;
  }

  function recordUsed(address: string, peer: string): void {
    const peers = connectedAt.get(address) ?? new Map<string, Millis>();
    putBounded(peers, [peer, clock.now()], MAX_PEERS);
    putBounded(connectedAt, [address, peers], MAX_TRACKED);
  }

  /** Lists peers, those first that probably reach an endpoint in a place. */
  function listRelays(place: string): string[] {
    const rank = ({ record, health }: PeerView) => {
      const { state, controlAddress } = record;
      const hasFailed = isRecent(
        peerFailedAt.get(controlAddress),
        PEER_FAILURE_TTL,
      );
      return (hasFailed ? 8 : 0) + (health === "alive" ? 0 : 4) +
        (state === "live" ? 0 : 2) + (record.place === place ? 0 : 1);
    };
    const usable = listPeers().filter(({ health, record }) =>
      health !== "lost" && record.state !== "leaving"
    );
    return sampleItems(usable, { count: usable.length, random })
      .map((view) => ({ view, rank: rank(view) }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_PEERS)
      .map(({ view }) => view.record.controlAddress);
  }

  /**
   * Tries peers in turn until one connects or some confirm a failure. The next
   * one is tried as well if one takes long: its own path may be broken too.
   */
  function openTunnelConnection(
    address: string,
    { timeout, signal }: ConnectOptions,
  ): Promise<Connection> {
    const [endpoint] = listAt(address);
    const id = endpoint?.id ?? "";
    const relays = listRelays(endpoint?.place ?? "");
    const stop = new AbortController();
    const abort = () => stop.abort();
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();

    return new Promise((resolve) => {
      let running = 0;
      let refusals = 0;
      let stopTimer = () => {};
      const stopTimeout = clock.startTimer(timeout, () => finishFailed());

      function finish(connection: Connection): void {
        stopTimer();
        stopTimeout();
        stop.abort();
        signal?.removeEventListener("abort", abort);
        resolve(connection);
      }

      function finishFailed(): void {
        if (signal?.aborted) {
          return finish(
            Result.err({ failure: "aborted", message: "given up" }),
          );
        }
        putBounded(downAt, [address, clock.now()], MAX_TRACKED);
        finish(Result.err({
          failure: refusals > 0 ? "refused" : "silent",
          message: `no peer reaches ${address}`,
        }));
      }

      function tryNext(): void {
        stopTimer();
        if (stop.signal.aborted) return;
        const peer = relays.shift();
        if (peer !== undefined) void tryPeer(peer);
        else if (running === 0) finishFailed();
      }

      async function tryPeer(peer: string): Promise<void> {
        running++;
        stopTimer = clock.startTimer(HEDGE_DELAY, tryNext);
        const tunnel = await connectThrough(peer, { id, address }, {
          timeout,
          signal: stop.signal,
        });
        running--;
        if (stop.signal.aborted) {
          if (tunnel.isOk) tunnel.value.destroy();
          return;
        }
        if (tunnel.isOk) {
          log.record("connection_relayed", { endpoint: id, address, peer });
          recordUsed(address, peer);
          return finish(Result.ok(tunnel.value));
        }
        if (tunnel.error === "unavailable") {
          putBounded(peerFailedAt, [peer, clock.now()], MAX_TRACKED);
        }
        const isConfirmed = tunnel.error === "refused" &&
          ++refusals >= REFUSALS_TO_CONFIRM;
        if (isConfirmed) finishFailed();
        else tryNext();
      }

      stop.signal.addEventListener("abort", () => {
        if (signal?.aborted) finishFailed();
      }, { once: true });
      if (stop.signal.aborted) finishFailed();
      else tryNext();
    });
  }

  return {
    connect: openTunnelConnection,
    isDown: (address) => isRecent(downAt.get(address), DOWN_TTL),
    listUsed: (address, since) =>
      [...connectedAt.get(address) ?? []].filter(([, at]) => at >= since)
        .map(([peer]) => peer),
  };
}
