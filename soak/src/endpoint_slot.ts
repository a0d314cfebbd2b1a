/**
 * Endpoints of a site that crash, leave and are replaced.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatEndpointKey } from "@mangoreach/coordination";
import { TOPIC } from "../../platform/src/wire_names.ts";
import type { ObservedArrival, SoakSignals } from "./endpoint_signals.ts";
import type { PieceArrival } from "./repeat_checks.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";
import type { TopicStore } from "./topic_store.ts";
import type { RunLog, SoakEndpoint, StageArrival } from "./soak_endpoints.ts";
import { startServingEndpoint, startStageEndpoint } from "./soak_endpoints.ts";

const HEARTBEAT_MS = 400;
/** A crashed endpoint is back after this time. */
const CRASH_MS = 300;
/** A released endpoint serves for this long after it has said that it leaves. */
const RELEASE_MS = 2_500;
/** Endpoints per pool, in the order that the `target` of a fault indexes. */
const ENDPOINT_COUNTS = { plain: 3, stage: 2, engine: 1 };
const FIRST_VERSION = "v1";
/** The pool whose endpoints serve streams that may be resumed. */
const CHAT_POOL = "chat";

/** Index of the endpoint of a pool that runs in the place to evacuate. */
const EVACUATED_INDEX = 2;
/** The place that is evacuated. */
export const EVACUATED_PLACE = "y";

/** A position in a pool: successive endpoints listen behind the same proxy. */
export interface EndpointSlot {
  readonly proxy: FaultProxy;
  readonly pool: string;
  readonly place: string;
  /** Version of the endpoint's software. */
  readVersion(): string;
  /** Key of the current endpoint, which differs for each incarnation. */
  readKey(): string;
  /** Kills the endpoint; another starts at the same address after `duration` ms. */
  replace(duration: number): Promise<void>;
  /** Kills the endpoint; it restarts under the same id after `duration` ms. */
  restart(duration: number): Promise<void>;
  /** Announces in the store that the endpoint leaves, then replaces it. */
  leave(): Promise<void>;
  /** Sends signals in responses for `duration` ms, without telling the store. */
  sendSignals(signals: SoakSignals, duration: number): Promise<void>;
  /** Reports in responses only that it leaves; it is replaced after `duration` ms. */
  signalLeaving(duration: number): Promise<void>;
  /** Announces that the endpoint is cold; resolves when it is warm again. */
  runCold(duration: number): Promise<void>;
  /**
   * Announces that the endpoint leaves, then replaces it by one of another
   * version.
   */
  release(version: string): Promise<void>;
  /** Replaces the endpoint by one of another version under the same id. */
  upgrade(version: string): Promise<void>;
  /** Publishes no version from now on. */
  hideVersion(): void;
  close(): void;
}

/** Logs that endpoints append to. */
export interface EndpointLogs {
  runs: RunLog;
  arrivals: ObservedArrival[];
  pieceArrivals: PieceArrival[];
  stageArrivals: StageArrival[];
  /** When endpoints ended, by their key. */
  endpointEnds: Map<string, number>;
  /** Whether some streams have neither a length nor chunks. */
  hasUnframed: boolean;
}

/** Starts all endpoints of a site and publishes their records in the store. */
export function startEndpoints(
  store: TopicStore,
  logs: EndpointLogs,
): Promise<EndpointSlot[]> {
  return Promise.all(
    Object.entries(ENDPOINT_COUNTS).flatMap(([pool, count]) =>
      Array.from(
        { length: count },
        (_, index) =>
          startSlot(store, { pool, index, logs, version: FIRST_VERSION }),
      )
    ),
  );
}

/** Starts endpoints of these versions that serve resumable streams. */
export function startChatEndpoints(
  store: TopicStore,
  { versions, logs, firstIndex = 0 }: {
    versions: readonly string[];
    logs: EndpointLogs;
    /** The number of endpoints that were started before. */
    firstIndex?: number;
  },
): Promise<EndpointSlot[]> {
  return Promise.all(
    versions.map((version, index) =>
      startSlot(store, {
        pool: CHAT_POOL,
        index: firstIndex + index,
        logs,
        version,
      })
    ),
  );
}

async function startSlot(
  store: TopicStore,
  { pool, index, logs, version }: {
    pool: string;
    index: number;
    logs: EndpointLogs;
    version: string;
  },
): Promise<EndpointSlot> {
  const isEvacuated = pool !== CHAT_POOL && index === EVACUATED_INDEX;
  const place = isEvacuated ? EVACUATED_PLACE : "z";
  let published: string | undefined = version;
  let idSequence = 0;
  let isClosed = false;
  let state = "ready";
  let startedAt = Date.now();
  let coldUntil = 0;
  let signals: SoakSignals = {};
  const start = (): Promise<SoakEndpoint> => {
    startedAt = Date.now();
    const id = `i-${pool}-${index}-${idSequence}`;
    return pool === "stage"
      ? startStageEndpoint(id, {
        position: index,
        ...logs,
        readSignals: () => signals,
      })
      : startServingEndpoint(id, {
        ...logs,
        version,
        startedAt,
        readSignals: () => signals,
        crash: () => void killAndRestart(),
      });
  };
  let endpoint = await start();

  function closeEndpoint(): void {
    logs.endpointEnds.set(readKey(), Date.now());
    endpoint.close();
  }

  function readKey(): string {
    const incarnation = String(startedAt);
    return formatEndpointKey({ id: endpoint.id, incarnation });
  }

  const proxy = await startFaultProxy(endpoint.address);
  const publishRecord = () =>
    store.put(TOPIC.endpoints, endpoint.id, {
      service: pool,
      address: proxy.address,
      zone: place,
      version: published,
      state,
      born: startedAt,
      coldLeftMs: Math.max(0, coldUntil - Date.now()),
    });
  publishRecord();
  const heartbeat = setInterval(publishRecord, HEARTBEAT_MS);

  /** Ends the endpoint; its address refuses connections until it is back. */
  async function killAndRestart(): Promise<void> {
    proxy.refuseConnections(true);
    closeEndpoint();
    await sleep(CRASH_MS);
    await startReplacement();
    proxy.refuseConnections(false);
  }

  async function startSuccessor(): Promise<void> {
    store.put(TOPIC.endpoints, endpoint.id, undefined);
    idSequence++;
    await startReplacement();
  }

  /**
   * Starts an endpoint behind the proxy. Faults overlap, so it closes the endpoint
   * that another one may have started meanwhile.
   */
  async function startReplacement(): Promise<void> {
    const endedKey = readKey();
    const next = await start();
    logs.endpointEnds.set(endedKey, Date.now());
    endpoint.close();
    endpoint = next;
    if (isClosed) return endpoint.close();
    proxy.setTarget(endpoint.address);
    state = "ready";
    publishRecord();
  }

  return {
    proxy,
    pool,
    place,
    readVersion: () => version,
    readKey,
    async replace(duration) {
      closeEndpoint();
      await sleep(duration);
      await startSuccessor();
    },
    async restart(duration) {
      closeEndpoint();
      await sleep(duration);
      await startReplacement();
    },
    async sendSignals(sent, duration) {
      signals = { ...signals, ...sent };
      await sleep(duration);
      signals = {};
    },
    async signalLeaving(duration) {
      signals = { ...signals, isLeaving: true };
      await sleep(duration);
      signals = {};
      closeEndpoint();
      await startSuccessor();
    },
    async runCold(duration) {
      coldUntil = Date.now() + duration;
      publishRecord();
      await sleep(duration);
      publishRecord();
    },
    async release(next) {
      state = "draining";
      publishRecord();
      await sleep(RELEASE_MS);
      version = next;
      published = next;
      await startSuccessor();
    },
    async upgrade(next) {
      closeEndpoint();
      version = next;
      published = next;
      await startReplacement();
    },
    hideVersion() {
      published = undefined;
      publishRecord();
    },
    async leave() {
      state = "draining";
      publishRecord();
      await sleep(4_000);
      await startSuccessor();
    },
    close() {
      isClosed = true;
      clearInterval(heartbeat);
      proxy.close();
      endpoint.close();
    },
  };
}
