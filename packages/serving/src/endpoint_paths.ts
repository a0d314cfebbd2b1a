/**
 * Connects to endpoints directly, or through a peer if this entry's own path is
 * broken.
 *
 * A failed connection says little by itself: the endpoint may have ended, or
 * only the path from here may be broken. So peers are asked before an endpoint
 * counts as unreachable. An entry that fails at several endpoints is detached:
 * it connects through peers until one of its own connections succeeds again.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { EndpointInfo } from "@mangoreach/coordination";
import { sampleItems } from "@mangoreach/coordination";
import type { TunnelFailure, TunnelTarget } from "@mangoreach/peers";
import type {
  Connect,
  ConnectOptions,
  Listening,
  Millis,
} from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { Connection, PeerRelaysOptions } from "./peer_relays.ts";
import { createPeerRelays, HEDGE_DELAY } from "./peer_relays.ts";
import type { RecordConnect } from "./pool_reach.ts";

/** Options of {@linkcode createEndpointPaths}. */
export interface EndpointPathsOptions extends PeerRelaysOptions {
  connectDirectly: Connect;
  /** Ends the probes. */
  signal: AbortSignal;
  listEndpoints: () => readonly EndpointInfo[];
  /** Records the outcome of each direct connection. */
  recordConnect: RecordConnect;
  /** Whether this entry connects for peers at all. */
  mayRelay: () => boolean;
  /** Whether an endpoint asked this entry, or a peer through it, for a pause. */
  isPaused: (endpoint: EndpointInfo) => boolean;
}

/** The ways from this entry to endpoints. */
export interface EndpointPaths {
  /** Connects to an endpoint by its address. */
  connect: Connect;
  /** Connects directly, for a peer that does not reach the endpoint. */
  connectForPeer(
    target: TunnelTarget,
    signal: AbortSignal,
  ): Promise<Result<Socket, TunnelFailure>>;
  /** Checks whether a process listens at an endpoint's address. */
  checkListening(address: string): Promise<Listening>;
  /** Whether this entry reaches endpoints only through peers. */
  isDetached(): boolean;
  /** Lists the peers that have connected to an address for this entry. */
  listRelays(address: string, since: Millis): string[];
}

/** How much longer the direct way is waited for before peers are asked. */
const HEDGE_GRACE: Millis = 20;
/** Endpoints whose connections fail in a row until this entry is detached. */
const DETACHED_AFTER = 2;
/** Earlier failures say nothing about the present. */
const FAILURE_TTL: Millis = 5_000;
/** How often a detached entry tries an endpoint directly. */
const PROBE_INTERVAL: Millis = 500;
const PROBE_TIMEOUT: Millis = 400;
/** A round trip to an endpoint takes a few milliseconds. */
const LISTENING_TIMEOUT: Millis = 500;
/** Shorter than the time-out of the peer that waits for the connection. */
const RELAY_TIMEOUT: Millis = 600;
/** Connections for peers at one time. */
const MAX_FOR_PEERS = 256;
const MAX_TRACKED = 4_096;

/** Creates the paths of an entry that has opened no connection. */
export function createEndpointPaths(
  options: EndpointPathsOptions,
): EndpointPaths {
  const { clock, random, log, listAt, recordConnect, signal } = options;
  /** By address, when a direct connection failed last. */
  const failedAt = new Map<string, Millis>();
  let lastReachedAt = -Infinity;
  const relays = createPeerRelays(options);
  let detachedAt: Millis | undefined;
  let countForPeers = 0;

  function isRecent(at: Millis | undefined, ttl: Millis): boolean {
    return at !== undefined && clock.now() - at < ttl;
  }

  function isPathBroken(address: string): boolean {
    return detachedAt !== undefined ||
      isRecent(failedAt.get(address), FAILURE_TTL);
  }

  function recordDirect(address: string, connection: Connection): void {
    const outcome = connection.isOk ? "connected" : connection.error.failure;
    if (outcome === "aborted" || outcome === "malformed_address") return;
    listAt(address).forEach((endpoint) => recordConnect(endpoint, outcome));
    if (outcome === "connected") recordReached(address);
    else recordFailed(address);
  }

  function recordSlowPath(address: string): void {
    recordDirect(
      address,
      Result.err({ failure: "silent", message: "a peer was faster" }),
    );
  }

  function recordReached(address: string): void {
    failedAt.delete(address);
    lastReachedAt = clock.now();
    if (detachedAt === undefined) return;
    failedAt.clear();
    log.record("endpoint_path_changed", {
      outcome: "attached",
      detachedFor: clock.now() - detachedAt,
    });
    detachedAt = undefined;
  }

  function recordFailed(address: string): void {
    putBounded(failedAt, [address, clock.now()], MAX_TRACKED);
    if (detachedAt !== undefined) return;
    const failed = [...failedAt.values()]
      .filter((at) => at >= lastReachedAt && isRecent(at, FAILURE_TTL));
    if (failed.length < DETACHED_AFTER) return;
    detachedAt = clock.now();
    log.record("endpoint_path_changed", {
      outcome: "detached",
      failed: failed.length,
    });
    void probeEndpoints(detachedAt);
  }

  /**
   * Detached entries connect through peers, which does not show when their own
   * path works again. The first probe is sent at once: if the endpoints that
   * failed have ended, another one shows that this entry is not detached.
   */
  async function probeEndpoints(since: Millis): Promise<void> {
    while (detachedAt === since && !signal.aborted) {
      const endpoint = chooseProbed();
      if (endpoint !== undefined) {
        const connection = await openDirectly(endpoint.address, {
          timeout: PROBE_TIMEOUT,
        });
        if (connection.isOk) return void connection.value.destroy();
      }
      await clock.sleep(PROBE_INTERVAL, signal);
    }
  }

  /** Prefers endpoints that are not known to fail, which may have ended. */
  function chooseProbed(): EndpointInfo | undefined {
    const all = options.listEndpoints();
    const untried = all.filter(({ address }) => !failedAt.has(address));
    const [chosen] = sampleItems(untried.length > 0 ? untried : all, {
      count: 1,
      random,
    });
    return chosen;
  }

  async function openDirectly(
    address: string,
    connectOptions: ConnectOptions,
  ): Promise<Connection> {
    const connection = await options.connectDirectly(address, connectOptions);
    recordDirect(address, connection);
    return connection;
  }

  /** Runs both ways at once; the first connection is used. */
  function openBothWays(
    address: string,
    { direct, relayed, stop }: {
      direct: Promise<Connection>;
      relayed: Promise<Connection>;
      stop: AbortController;
    },
  ): Promise<Connection> {
    return new Promise((resolve) => {
      let failures = 0;
      const handle = (connection: Connection) => {
        if (connection.isErr) {
          if (++failures === 2) resolve(connection);
          return;
        }
        if (stop.signal.aborted) return void connection.value.destroy();
        stop.abort();
        resolve(connection);
      };
      void direct.then(handle);
      void relayed.then((connection) => {
        // The direct one is slower by far, and is not waited for.
        if (connection.isOk && !stop.signal.aborted) recordSlowPath(address);
        handle(connection);
      });
    });
  }

  async function openConnection(
    address: string,
    connectOptions: ConnectOptions,
  ): Promise<Connection> {
    const { timeout, signal } = connectOptions;
    const startedAt = clock.now();
    if (isPathBroken(address) && !relays.isDown(address)) {
      const relayed = await relays.connect(address, connectOptions);
      // Peers that reach the endpoint's host know best that it has ended.
      if (relayed.isOk || relayed.error.failure !== "silent") return relayed;
    }
    const stop = new AbortController();
    const abort = () => stop.abort();
    signal?.addEventListener("abort", abort, { once: true });
    // A detached entry that finds no peer knows that it can hardly connect, and
    // its callers should not wait for that.
    const longest = detachedAt === undefined ? timeout : PROBE_TIMEOUT;
    const left = Math.max(1, longest - (clock.now() - startedAt));
    const ways = { timeout: left, signal: stop.signal };
    const direct = openDirectly(address, ways);
    const connection = await waitAtMost(direct, HEDGE_DELAY);
    const result = connection?.isOk || relays.isDown(address)
      ? await direct
      : await openOtherWay(connection);
    signal?.removeEventListener("abort", abort);
    return result;

    /** Connects through peers, also where the direct way is only slow. */
    async function openOtherWay(
      failed: Connection | undefined,
    ): Promise<Connection> {
      if (stop.signal.aborted) return await direct;
      const relayed = relays.connect(address, {
        ...ways,
        timeout: Math.max(1, timeout - (clock.now() - startedAt)),
      });
      if (failed === undefined) {
        return await openBothWays(address, { direct, relayed, stop });
      }
      const other = await relayed;
      return other.isOk ? other : failed;
    }
  }

  /** Returns undefined if the connection is not open or failed by then. */
  function waitAtMost(
    direct: Promise<Connection>,
    delay: Millis,
  ): Promise<Connection | undefined> {
    return new Promise((resolve) => {
      let stopTimer = clock.startTimer(delay, () => {
        // A process short of processor time is late to see its connections.
        stopTimer = clock.startTimer(HEDGE_GRACE, () => resolve(undefined));
      });
      void direct.then((connection) => {
        stopTimer();
        resolve(connection);
      });
    });
  }

  async function openForPeer(
    { id, address }: TunnelTarget,
    signal: AbortSignal,
  ): Promise<Result<Socket, TunnelFailure>> {
    const endpoint = listAt(address).find((one) => one.id === id);
    // A path that is broken here says nothing about the endpoint. One that asked
    // for a pause does not tell requests of this entry from those of peers.
    const isUsable = endpoint !== undefined && !options.isPaused(endpoint) &&
      detachedAt === undefined &&
      countForPeers < MAX_FOR_PEERS && options.mayRelay();
    if (!isUsable) return Result.err("unavailable");
    countForPeers++;
    const connection = await openDirectly(address, {
      timeout: RELAY_TIMEOUT,
      signal,
    });
    if (connection.isErr) {
      countForPeers--;
      return Result.err(
        connection.error.failure === "refused" ? "refused" : "silent",
      );
    }
    connection.value.once("close", () => countForPeers--);
    // The endpoint may have asked for a pause while the connection was opened.
    if (options.isPaused(endpoint)) {
      connection.value.destroy();
      return Result.err("unavailable");
    }
    return Result.ok(connection.value);
  }

  async function checkListening(address: string): Promise<Listening> {
    const connection = await openConnection(address, {
      timeout: LISTENING_TIMEOUT,
    });
    if (connection.isErr) {
      return connection.error.failure === "refused" ? "refused" : "silent";
    }
    connection.value.destroy();
    return "listening";
  }

  return {
    connect: openConnection,
    connectForPeer: openForPeer,
    checkListening,
    isDetached: () => detachedAt !== undefined,
    listRelays: relays.listUsed,
  };
}
