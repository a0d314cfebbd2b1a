/**
 * A small site in one process, for tests: entries and stand-ins use real HTTP on
 * loopback, but no other processes are started.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { CallerClient } from "@mangoreach/callers";
import { createCallerClient } from "@mangoreach/callers";
import type { Entry, EntrySettings } from "@mangoreach/entry";
import { parseEntrySettings, startEntry } from "@mangoreach/entry";
import type { LogClient } from "@mangoreach/log";
import { createLogClient } from "@mangoreach/log";
import type { ConfigDocument, PublishOutcome } from "@mangoreach/operators";
import { publishConfig } from "@mangoreach/operators";
import type { Clock } from "@mangoreach/shared";
import {
  createHttpClient,
  createSilentLogger,
  createSystemClock,
} from "@mangoreach/shared";
import type {
  EndpointStandin,
  EngineStandin,
  EngineTimes,
  StageTimes,
  Standin,
} from "@mangoreach/standins";
import {
  startInstanceList,
  startLogService,
  startModelEngine,
  startStageEndpoint,
  startWeightStore,
} from "@mangoreach/standins";

/** A site in one process. */
export interface LocalSite {
  readonly clock: Clock;
  readonly log: Standin;
  readonly logClient: LogClient;
  readonly instanceList: Standin;
  readonly weightStore: Standin;
  readonly entries: Entry[];
  readonly encoders: EndpointStandin[];
  readonly services: EndpointStandin[];
  readonly engines: EngineStandin[];
  publish(
    config: ConfigDocument,
    basedOn?: number,
  ): Promise<PublishOutcome>;
  startEntry(change?: Partial<EntrySettings>): Promise<Entry>;
  /** Adds or changes a record in the instance list. */
  putInstance(id: string, change: Record<string, unknown>): Promise<void>;
  createClient(account?: string): CallerClient;
  stop(): Promise<void>;
}

/** Options of {@linkcode startLocalSite}. */
export interface LocalSiteOptions {
  entries?: number;
  encoders?: number;
  services?: number;
  engines?: number;
  stageTimes?: StageTimes;
  engineTimes?: EngineTimes;
  checksFencing?: boolean;
  /** Models that the engines have loaded at the start; by default all. */
  models?: ConfigDocument["models"];
  timing?: Partial<EntrySettings["timing"]>;
  settings?: Partial<EntrySettings>;
  listLagMs?: number;
  retentionMs?: number;
  config?: ConfigDocument;
}

const FAST_STAGE: StageTimes = { slots: 8, baseMs: 1, perThousandMs: 0 };
const FAST_ENGINE: EngineTimes = {
  slots: 8,
  stepMs: 1,
  perSequenceMs: 0,
  tokensPerStep: 1,
  prefillPerThousandMs: 0,
};
const FAST_TIMING: Partial<EntrySettings["timing"]> = {
  exchangeMs: 50,
  suspectMs: 1_000,
  loseMs: 2_000,
  instanceListMs: 50,
  loadReportMs: 50,
  drainMs: 0,
  lingerMs: 2_000,
};
const POLL_INTERVAL_MS = 10;
const READY_TIMEOUT_MS = 5_000;

/** API keys of the accounts of a local site. */
export const LOCAL_KEYS = {
  handlers: "handlers-test-key-0001",
  portal: "portal-test-key-000001",
} as const;

function createPool(
  name: string,
  kind: ConfigDocument["pools"][number]["kind"],
) {
  return { name, kind, checksFencing: kind === "engine", modelsPerEngine: 1 };
}

/** A configuration with one service, one generating and one plain pipeline. */
export const LOCAL_CONFIG: ConfigDocument = {
  classes: [
    { name: "rulings", target: 0.99, priority: 1 },
    { name: "chat", target: 0.9, priority: 2 },
  ],
  pools: [
    createPool("encoder", "stage"),
    createPool("engine", "engine"),
    createPool("billing", "service"),
  ],
  models: [{ name: "drafter", version: "1", adapters: [], minEngines: 1 }],
  pipelines: [
    {
      name: "draft",
      deadlineMs: 5_000,
      stages: [
        { name: "encode", pool: "encoder" },
        { name: "draft", pool: "engine", model: "drafter", maxTokens: 40 },
      ],
    },
    {
      name: "embed",
      deadlineMs: 5_000,
      stages: [
        { name: "encode", pool: "encoder" },
        { name: "encode_again", pool: "encoder" },
      ],
    },
  ],
  services: [{ name: "billing", pool: "billing", deadlineMs: 2_000 }],
  accounts: [
    { name: "handlers", classes: ["rulings", "chat"] },
    { name: "portal", classes: ["chat"] },
  ],
};

/** Starts a site; waits until its entries are ready and see each other alive. */
export async function startLocalSite(
  options: LocalSiteOptions = {},
): Promise<LocalSite> {
  const clock = createSystemClock();
  const http = createHttpClient();
  const log = await startLogService({
    clock,
    maxAppendsPerSecond: 2_000,
    ...(options.retentionMs === undefined
      ? {}
      : { retentionMs: options.retentionMs }),
  });
  const instanceList = await startInstanceList({
    clock,
    lagMs: options.listLagMs ?? 0,
  });
  const weightStore = await startWeightStore({ clock });
  const logClient = createLogClient({
    clock,
    address: log.address,
    appendTimeoutMs: 500,
  });
  const times = options.stageTimes ?? FAST_STAGE;
  const encoders = await startMany(
    options.encoders ?? 2,
    () => startStageEndpoint({ clock, times }),
  );
  const services = await startMany(
    options.services ?? 2,
    () => startStageEndpoint({ clock, times }),
  );
  const engines = await startMany(options.engines ?? 2, () =>
    startModelEngine({
      clock,
      times: options.engineTimes ?? FAST_ENGINE,
      lagMs: 20,
      loadMs: 20,
      checksFencing: options.checksFencing ?? true,
      models: options.models ?? (options.config ?? LOCAL_CONFIG).models,
    }));
  const entries: Entry[] = [];

  async function putInstance(
    id: string,
    change: Record<string, unknown>,
  ): Promise<void> {
    await http.call({
      method: "PUT",
      address: instanceList.address,
      path: `/instances/${id}`,
      body: JSON.stringify(change),
    });
  }

  async function putInstances(
    pool: string,
    standins: readonly Standin[],
  ): Promise<void> {
    for (const [i, { address }] of standins.entries()) {
      await putInstance(`${pool}-${i + 1}`, {
        incarnation: "1",
        pool,
        place: "odda",
        address,
        state: "live",
      });
    }
  }

  async function startLocalEntry(
    change: Partial<EntrySettings> = {},
  ): Promise<Entry> {
    const name = `entry-${entries.length + 1}`;
    const settings = parseEntrySettings({
      file: name,
      text: JSON.stringify({
        entry: name,
        place: "odda",
        dataCentre: "odda-a",
        callerAddress: { host: "127.0.0.1", port: 0 },
        controlAddress: { host: "127.0.0.1", port: 0 },
        logAddress: log.address,
        instanceListAddress: instanceList.address,
        weightStoreAddress: weightStore.address,
        siteKey: "site-key-of-local-tests",
        operatorKey: "operator-key-of-local-tests",
        accounts: Object.entries(LOCAL_KEYS)
          .map(([account, key]) => ({ name: account, key })),
        timing: { ...FAST_TIMING, ...options.timing },
        ...options.settings,
        ...change,
      }),
    });
    if (settings.isErr) throw new Error(JSON.stringify(settings.error));
    const entry: Entry = await startEntry({
      settings: settings.value,
      clock,
      logger: createSilentLogger(),
      random: Math.random,
      createUniqueText,
      onDrain: () => void entry.stop(),
    });
    entries.push(entry);
    await putInstance(name, {
      incarnation: entry.status.incarnation,
      pool: "entry",
      place: "odda",
      address: entry.controlAddress,
      state: "live",
    });
    return entry;
  }

  function publish(config: ConfigDocument, basedOn = 0) {
    return publishConfig({
      clock,
      log: logClient,
      publishId: createUniqueText(),
      author: "test",
      basedOn,
      config,
      timeoutMs: 2_000,
    });
  }

  function createClient(account: string = "handlers"): CallerClient {
    return createCallerClient({
      clock,
      credentials: {
        account,
        key: LOCAL_KEYS[account as keyof typeof LOCAL_KEYS],
      },
      place: "odda",
      knownAddresses: entries.map((entry) => entry.callerAddress),
      createUniqueText,
    });
  }

  async function stop(): Promise<void> {
    for (const entry of entries) entry.kill();
    await http.close();
    await logClient.close();
    const all = [log, instanceList, weightStore];
    await Promise.all(
      [...all, ...encoders, ...services, ...engines].map((standin) =>
        standin.stop()
      ),
    );
  }

  await putInstances("encoder", encoders);
  await putInstances("billing", services);
  await putInstances("engine", engines);
  await publish(options.config ?? LOCAL_CONFIG);
  for (let i = 0; i < (options.entries ?? 1); i++) await startLocalEntry();
  await waitUntil(clock, () =>
    entries.every(({ status }) =>
      status.isReady &&
      status.peers.filter(({ health }) => health === "alive").length ===
        entries.length - 1
    ));
  return {
    clock,
    log,
    logClient,
    instanceList,
    weightStore,
    entries,
    encoders,
    services,
    engines,
    publish,
    startEntry: startLocalEntry,
    putInstance,
    createClient,
    stop,
  };
}

/** Waits until a condition holds; throws if it does not in time. */
export async function waitUntil(
  clock: Clock,
  condition: () => boolean,
): Promise<void> {
  const timeoutAt = clock.now() + READY_TIMEOUT_MS;
  while (!condition()) {
    if (clock.now() > timeoutAt) throw new Error(`timed out: ${condition}`);
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

function createUniqueText(): string {
  return randomBytes(8).toString("hex");
}

async function startMany<T>(
  count: number,
  start: () => Promise<T>,
): Promise<T[]> {
  return await Promise.all(Array.from({ length: count }, start));
}
