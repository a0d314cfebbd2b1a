/**
 * The processes and stand-ins of one run of the soak, and how faults reach them.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { formatEndpointKey } from "@mangoreach/coordination";
import { CONFIG_KEY, PATH, TOPIC } from "../../platform/src/wire_names.ts";
import type { FaultProxy, ProxyMode } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";
import { findPorts } from "./free_ports.ts";
import type { KeyedStore, StoreMode } from "./keyed_store.ts";
import { startKeyedStore } from "./keyed_store.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { RunLog, SoakEndpoint } from "./soak_endpoints.ts";
import { startServingEndpoint, startStageEndpoint } from "./soak_endpoints.ts";
import type { PlannedFault } from "./soak_plan.ts";

/** A running site. */
export interface SoakSite {
  /** Where callers connect: a proxy before each entry. */
  readonly callerAddresses: readonly string[];
  readonly runs: RunLog;
  readonly revokedAt: number | undefined;
  readonly leftAt: ReadonlyMap<string, number>;
  /** Harms the site and heals it again. */
  applyFault(fault: PlannedFault): Promise<void>;
  /** Ends all that was started here. */
  stop(): Promise<void>;
}

interface Entry {
  name: string;
  settingsFile: string;
  logFile: string;
  ready: string;
  child: ChildProcess | undefined;
  callerProxy: FaultProxy;
  storeProxy: FaultProxy;
}

const STOP_SIGNALS = {
  entry_killed: "SIGKILL",
  entry_stopped: "SIGTERM",
} as const;
const STORE_MODES = {
  store_silent: "silent",
  store_failing: "failing",
  store_slow: "slow",
} as const;
const LINK_MODES = {
  link_delayed: "delayed",
  link_one_way: "one_way",
  link_silent: "silent",
} as const;
const PROGRAM = "target/mangoreach-platform.cjs";
const START_LIMIT_MS = 15_000;
const STOP_S = 8;
const HEARTBEAT_MS = 400;
/** In the order in which a fault's target counts them. */
const ENDPOINT_COUNTS = { plain: 3, stage: 2, engine: 1 };

/** Starts a site of some entries; resolves once all are ready. */
export async function startSoakSite(
  { entryCount, folder }: { entryCount: number; folder: string },
): Promise<SoakSite> {
  mkdirSync(folder, { recursive: true });
  const runs: RunLog = new Map();
  const leftAt = new Map<string, number>();
  const store = await startKeyedStore();
  let version = 1;
  let revokedAt: number | undefined;
  const publish = () =>
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(version, { isRevoked: revokedAt !== undefined }),
    );
  publish();
  const endpoints = await startEndpoints(store, runs);
  const entries: Entry[] = [];
  for (let index = 0; index < entryCount; index++) {
    entries.push(await createEntry(`entry-${index}`, { store, folder }));
  }
  entries.forEach(startEntry);
  await Promise.all(entries.map(waitUntilReady));

  async function applyFault(fault: PlannedFault): Promise<void> {
    const entry = entries[fault.target % entries.length]!;
    const link = endpoints[fault.target % endpoints.length]!;
    const proxies = [entry.callerProxy, entry.storeProxy, link.proxy];
    const proxy = proxies[fault.target % proxies.length]!;
    const { kind, duration } = fault;
    switch (kind) {
      case "entry_killed":
      case "entry_stopped":
        return await replaceEntry(entry, STOP_SIGNALS[kind], duration);
      case "entry_paused":
        entry.child?.kill("SIGSTOP");
        await sleep(duration);
        return void entry.child?.kill("SIGCONT");
      case "store_silent":
      case "store_failing":
      case "store_slow":
        return await runStoreFault(store, STORE_MODES[kind], duration);
      case "link_reset":
        return proxy.dropAll();
      case "link_delayed":
      case "link_one_way":
      case "link_silent":
        return await runLinkFault(proxy, LINK_MODES[kind], duration);
      case "endpoint_killed":
        return await link.replace(duration);
      case "endpoint_leaves":
        leftAt.set(link.readKey(), Date.now());
        return await link.leave();
      case "endpoint_restarted":
        return await link.restart(duration);
      case "foreign_records":
        return writeForeignRecords(store, fault.target);
      case "key_revoked":
        revokedAt = Date.now();
        version++;
        return publish();
      case "config_changed":
        version++;
        return publish();
    }
  }

  async function stop(): Promise<void> {
    for (const { child } of entries) child?.kill("SIGKILL");
    for (const { callerProxy, storeProxy } of entries) {
      callerProxy.close();
      storeProxy.close();
    }
    endpoints.forEach((endpoint) => endpoint.close());
    store.close();
    await sleep(50);
  }

  return {
    callerAddresses: entries.map(({ callerProxy }) => callerProxy.address),
    runs,
    get revokedAt() {
      return revokedAt;
    },
    leftAt,
    applyFault,
    stop,
  };
}

/** What another writer puts beside the endpoints' records. */
function writeForeignRecords(store: KeyedStore, number: number): void {
  const whole = { service: "plain", zone: "z", state: "ready" };
  const contents = [
    { ...whole },
    { ...whole, address: number },
    { ...whole, address: "127.0.0.1:1", state: "warming" },
    [number],
  ];
  contents.forEach((content, index) =>
    store.put(TOPIC.endpoints, `other-${number}-${index}`, content)
  );
  store.putUnreadable(TOPIC.endpoints);
}

async function runStoreFault(
  store: KeyedStore,
  mode: StoreMode,
  duration: number,
): Promise<void> {
  store.setMode(mode);
  await sleep(duration);
  store.setMode("good");
}

async function runLinkFault(
  proxy: FaultProxy,
  mode: ProxyMode,
  duration: number,
): Promise<void> {
  proxy.setMode(mode);
  await sleep(duration);
  proxy.setMode("passing");
  // Bytes are lost in between: what is open would wait for ever.
  if (mode !== "delayed") proxy.dropAll();
}

async function createEntry(
  name: string,
  { store, folder }: { store: KeyedStore; folder: string },
): Promise<Entry> {
  const [callers = "", ready = "", addresses = "", control = "", metrics = ""] =
    await findPorts(5);
  const storeProxy = await startFaultProxy(store.address);
  const callerProxy = await startFaultProxy(callers);
  const settingsFile = join(folder, `${name}.jsonc`);
  const settings = {
    entry: name,
    place: "z",
    coreShare: 1,
    coreSpeed: 1,
    logLevel: "info",
    callers,
    ready,
    addresses,
    control,
    metrics,
    seeds: [],
    store: storeProxy.address,
    revokeMs: 5_000,
    stopS: STOP_S,
    repeatShare: 0.2,
    repeatSlack: 56,
  };
  writeFileSync(settingsFile, JSON.stringify(settings));
  return {
    name,
    settingsFile,
    logFile: join(folder, `${name}.log`),
    ready,
    child: undefined,
    callerProxy,
    storeProxy,
  };
}

function startEntry(entry: Entry): void {
  const child = spawn(process.execPath, [
    "--max-old-space-size=150",
    PROGRAM,
    "--settings",
    entry.settingsFile,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const log = createWriteStream(entry.logFile, { flags: "a" });
  child.stdout?.pipe(log, { end: false });
  child.stderr?.pipe(log, { end: false });
  entry.child = child;
}

async function waitUntilReady({ name, ready }: Entry): Promise<void> {
  const limit = Date.now() + START_LIMIT_MS;
  while (Date.now() < limit) {
    const reply = await fetch(`http://${ready}${PATH.ready}`).catch(() =>
      undefined
    );
    if (reply?.status === 200) return;
    await sleep(50);
  }
  throw new Error(`${name} did not get ready`);
}

async function replaceEntry(
  entry: Entry,
  signal: "SIGKILL" | "SIGTERM",
  duration: number,
): Promise<void> {
  const { child } = entry;
  if (child === undefined) return;
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill(signal);
  child.kill("SIGCONT");
  await Promise.race([exited, sleep(1_000 * STOP_S)]);
  child.kill("SIGKILL");
  await sleep(duration);
  if (entry.child === child) startEntry(entry);
}

interface EndpointSlot {
  readonly proxy: FaultProxy;
  /** Tells its starts apart. */
  readKey(): string;
  /** Kills it; after a while another starts at the same address. */
  replace(duration: number): Promise<void>;
  /** Kills it; after a while it starts again under its id. */
  restart(duration: number): Promise<void>;
  /** Announces that it leaves; another takes its place after that. */
  leave(): Promise<void>;
  close(): void;
}

function startEndpoints(
  store: KeyedStore,
  runs: RunLog,
): Promise<EndpointSlot[]> {
  return Promise.all(
    Object.entries(ENDPOINT_COUNTS).flatMap(([pool, count]) =>
      Array.from(
        { length: count },
        (_, index) => startSlot(store, { pool, index, runs }),
      )
    ),
  );
}

async function startSlot(
  store: KeyedStore,
  { pool, index, runs }: { pool: string; index: number; runs: RunLog },
): Promise<EndpointSlot> {
  let idNumber = 0;
  let isClosed = false;
  let state = "ready";
  let startedAt = Date.now();
  const start = (): Promise<SoakEndpoint> => {
    startedAt = Date.now();
    const id = `i-${pool}-${index}-${idNumber}`;
    return pool === "stage"
      ? startStageEndpoint(id)
      : startServingEndpoint(id, { startedAt, runs });
  };
  let endpoint = await start();
  const proxy = await startFaultProxy(endpoint.address);
  const announce = () =>
    store.put(TOPIC.endpoints, endpoint.id, {
      service: pool,
      address: proxy.address,
      zone: "z",
      state,
      born: startedAt,
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
