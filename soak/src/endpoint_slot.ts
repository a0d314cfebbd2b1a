/**
 * Endpoints of a site that end, leave and come back.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatEndpointKey } from "@mangoreach/coordination";
import { TOPIC } from "../../platform/src/wire_names.ts";
import type { SeenArrival, SoakSignals } from "./endpoint_signals.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";
import type { KeyedStore } from "./keyed_store.ts";
import type { RunLog, SoakEndpoint } from "./soak_endpoints.ts";
import { startServingEndpoint, startStageEndpoint } from "./soak_endpoints.ts";

const HEARTBEAT_MS = 400;
/** In the order in which a fault's target counts them. */
const ENDPOINT_COUNTS = { plain: 3, stage: 2, engine: 1 };

/** The third endpoint of a pool lies in a place of its own. */
const FAR_INDEX = 2;
/** The place that is evacuated. */
export const FAR_PLACE = "y";

/** The place of an endpoint: one after the other listens behind its proxy. */
export interface EndpointSlot {
  readonly proxy: FaultProxy;
  readonly pool: string;
  readonly place: string;
  /** Tells its starts apart. */
  readKey(): string;
  /** Kills it; after a while another starts at the same address. */
  replace(duration: number): Promise<void>;
  /** Kills it; after a while it starts again under its id. */
  restart(duration: number): Promise<void>;
  /** Announces that it leaves; another takes its place after that. */
  leave(): Promise<void>;
  /** Says so in its answers for a while; the store hears nothing of it. */
  say(signals: SoakSignals, duration: number): Promise<void>;
  /** Says in its answers that it leaves, and goes after a while. */
  sayLeaving(duration: number): Promise<void>;
  /** Announces that it is cold; returns when it is warm again. */
  turnCold(duration: number): Promise<void>;
  close(): void;
}

/** Where endpoints write down what they see. */
export interface EndpointLogs {
  runs: RunLog;
  arrivals: SeenArrival[];
}

/** Starts all endpoints of a site; they announce themselves in the store. */
export function startEndpoints(
  store: KeyedStore,
  logs: EndpointLogs,
): Promise<EndpointSlot[]> {
  return Promise.all(
    Object.entries(ENDPOINT_COUNTS).flatMap(([pool, count]) =>
      Array.from(
        { length: count },
        (_, index) => startSlot(store, { pool, index, logs }),
      )
    ),
  );
}

async function startSlot(
  store: KeyedStore,
  { pool, index, logs }: { pool: string; index: number; logs: EndpointLogs },
): Promise<EndpointSlot> {
  const place = index === FAR_INDEX ? FAR_PLACE : "z";
  let idNumber = 0;
  let isClosed = false;
  let state = "ready";
  let startedAt = Date.now();
  let coldUntil = 0;
  let signals: SoakSignals = {};
  const start = (): Promise<SoakEndpoint> => {
    startedAt = Date.now();
    const id = `i-${pool}-${index}-${idNumber}`;
    return pool === "stage"
      ? startStageEndpoint(id)
      : startServingEndpoint(id, {
        ...logs,
        startedAt,
        readSignals: () => signals,
      });
  };
  let endpoint = await start();
  const proxy = await startFaultProxy(endpoint.address);
  const announce = () =>
    store.put(TOPIC.endpoints, endpoint.id, {
      service: pool,
      address: proxy.address,
      zone: place,
      state,
      born: startedAt,
      coldLeftMs: Math.max(0, coldUntil - Date.now()),
    });
  announce();
  const heartbeat = setInterval(announce, HEARTBEAT_MS);

  async function startNext(): Promise<void> {
    store.put(TOPIC.endpoints, endpoint.id, undefined);
    idNumber++;
    await startAgain();
  }

  /** Faults overlap: another one may have started an endpoint meanwhile. */
  async function startAgain(): Promise<void> {
    const next = await start();
    endpoint.close();
    endpoint = next;
    if (isClosed) return endpoint.close();
    proxy.setTarget(endpoint.address);
    state = "ready";
    announce();
  }

  return {
    proxy,
    pool,
    place,
    readKey: () =>
      formatEndpointKey({
        id: endpoint.id,
        incarnation: String(startedAt),
      }),
    async replace(duration) {
      endpoint.close();
      await sleep(duration);
      await startNext();
    },
    async restart(duration) {
      endpoint.close();
      await sleep(duration);
      await startAgain();
    },
    async say(said, duration) {
      signals = { ...signals, ...said };
      await sleep(duration);
      signals = {};
    },
    async sayLeaving(duration) {
      signals = { ...signals, isLeaving: true };
      await sleep(duration);
      signals = {};
      endpoint.close();
      await startNext();
    },
    async turnCold(duration) {
      coldUntil = Date.now() + duration;
      announce();
      await sleep(duration);
      announce();
    },
    async leave() {
      state = "draining";
      announce();
      await sleep(4_000);
      await startNext();
    },
    close() {
      isClosed = true;
      clearInterval(heartbeat);
      proxy.close();
      endpoint.close();
    },
  };
}
