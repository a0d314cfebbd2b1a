/**
 * A site with engines that crash on a certain request body, with real connections
 * and the store of the soak test. Its entries run in the process of the test
 * unless told otherwise.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import type { SiteEntries } from "./in_process_entries.ts";
import { formatPlace } from "./entry_settings.ts";
import { startInProcessEntries } from "./in_process_entries.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";
import { createSoakConfig } from "./soak_config.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";

/** A running site. */
export interface CrashingSite<Entries extends SiteEntries = SiteEntries> {
  readonly entries: Entries;
  readonly store: TopicStore;
  /** Caller addresses of the entries. */
  readonly callers: readonly string[];
  /** Ids of the engines that crashed, in order. */
  readonly ended: readonly string[];
  /** Kills all entries at once and starts new ones without their state. */
  replaceEntries(): Promise<void>;
  /** When the engines crashed, in order. */
  readonly endedAt: readonly number[];
  /** When requests that crash engines reached them, in order. */
  readonly arrivedAt: readonly number[];
  stop(): Promise<void>;
}

/** A body that crashes the engine that runs it. */
export const CRASHING_BODY = "crashing";
/** Parts of a prompt that do so too begin with this. */
export const CRASHING_PART = "bad";
const WORK_MS = 30;
/** Time until the record of a crashed engine is removed and the next one starts. */
const REMOVAL_DELAY_MS = 50;
const ENGINES = 10;
/** All entries are to know a cause this long after the crash that shows it. */
const SETTLE_MS = 3_000;

/** Options of a site. */
export interface SiteOptions {
  /** Number of places that entries and engines are in by turns. */
  places?: number;
  /** Whether another engine listens at the address of one that crashed at once. */
  isBackAtOnce?: boolean;
}

/** Starts the site; resolves once all entries are ready. */
export function startCrashingSite(
  entryCount: number,
  options: SiteOptions = {},
): Promise<CrashingSite> {
  return createCrashingSite({ entryCount, ...options }, startInProcessEntries);
}

/** Starts the site with entries of another kind. */
export async function createCrashingSite<Entries extends SiteEntries>(
  { entryCount, places = 1, isBackAtOnce = false }: SiteOptions & {
    entryCount: number;
  },
  startEntries: (
    options: { count: number; store: string; places: number },
  ) => Promise<Entries>,
): Promise<CrashingSite<Entries>> {
  const store = await startTopicStore();
  store.put(
    TOPIC.operators,
    CONFIG_KEY,
    createSoakConfig(1, { isRevoked: false }),
  );
  const ended: string[] = [];
  const endedAt: number[] = [];
  const arrivedAt: number[] = [];
  const closers = new Set<() => void>();
  let engineCount = 0;
  let isStopped = false;

  async function startEngine(): Promise<void> {
    const number = engineCount++;
    let id = `i-${number}`;
    const server = await startSoakServer(async (received, response) => {
      const body = String(await readCompleteBody(received));
      const requestId = String(received.headers[HEADER.requestId]);
      response.setHeader(HEADER.requestId, requestId);
      response.setHeader(HEADER.proof, "proof");
      const parts = String(received.headers[HEADER.promptParts] ?? "");
      const isCrashing = body === CRASHING_BODY ||
        parts.split(",").some((part) => part.startsWith(CRASHING_PART));
      if (isCrashing) arrivedAt.push(Date.now());
      await sleep(WORK_MS);
      if (isCrashing && isBackAtOnce) {
        received.socket.destroy();
        return void replaceEngine();
      }
      if (isCrashing) return void killEngine();
      response.end("id: 1\ndata: done\n\n");
    });
    closers.add(server.close);
    publishRecord();

    function publishRecord(): void {
      store.put(TOPIC.endpoints, id, {
        service: "plain",
        address: server.address,
        zone: formatPlace(number % places),
        state: "ready",
        born: Date.now(),
      });
    }

    function recordEnd(): void {
      ended.push(id);
      endedAt.push(Date.now());
    }

    /** Another engine listens at the address before anyone may notice. */
    async function replaceEngine(): Promise<void> {
      recordEnd();
      const before = id;
      id = `i-${engineCount++}`;
      await sleep(REMOVAL_DELAY_MS);
      store.put(TOPIC.endpoints, before, undefined);
      publishRecord();
    }

    async function killEngine(): Promise<void> {
      if (!closers.delete(server.close)) return;
      recordEnd();
      server.close();
      await sleep(REMOVAL_DELAY_MS);
      store.put(TOPIC.endpoints, id, undefined);
      if (!isStopped) await startEngine();
    }
  }

  await Promise.all(Array.from({ length: ENGINES }, startEngine));
  const entries = await startEntries({
    count: entryCount,
    places,
    store: store.address,
  });

  return {
    get callers() {
      return entries.callers;
    },
    entries,
    store,
    ended,
    endedAt,
    arrivedAt,
    replaceEntries: entries.replace,
    async stop() {
      isStopped = true;
      entries.kill();
      closers.forEach((close) => close());
      store.close();
      await sleep(REMOVAL_DELAY_MS);
    },
  };
}

/** A request that crashes engines. */
export interface CrashingRequest {
  target: string;
  body: string;
  parts?: readonly string[];
}

/** Sends a request through an entry; resolves with the status. */
export async function sendCrashingRequest(
  { callers }: Pick<CrashingSite, "callers">,
  { entry, id, target, body, parts = [] }: CrashingRequest & {
    entry: number;
    id: string;
  },
): Promise<number> {
  const reply = await request(`http://${callers[entry]}${target}`, {
    method: "POST",
    body,
    headers: {
      host: "soak.example",
      authorization: "Bearer key-1",
      [HEADER.requestId]: id,
      [HEADER.deadline]: "2000",
      ...(parts.length === 0 ? {} : {
        [HEADER.promptParts]: parts.map((part) => `${part}:100`).join(),
      }),
    },
  });
  await reply.body.dump();
  return reply.statusCode;
}

/**
 * Counts the requests that reached engines later than all entries are to know
 * their cause, after this many crashes.
 */
export function countLateArrivals(
  { arrivedAt, endedAt }: Pick<CrashingSite, "arrivedAt" | "endedAt">,
  crashes: number,
): number {
  const knownAt = (endedAt[crashes - 1] ?? Infinity) + SETTLE_MS;
  return arrivedAt.filter((at) => at > knownAt).length;
}
