/**
 * Starts a complete site on loopback: platform stand-ins, endpoints and entries,
 * each in its own process.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EntrySettings } from "@mangoreach/entry";
import type { ConfigDocument } from "@mangoreach/operators";
import type { HttpCall } from "@mangoreach/shared";
import { createHttpClient, parseJson } from "@mangoreach/shared";
import type { Execution, Faults } from "@mangoreach/standins";
import type { LaunchedProcess, LaunchOptions } from "./process_launcher.ts";
import { launchProcess } from "./process_launcher.ts";
import type { Deployment, PoolPlan, SitePlan } from "./site_plan.ts";

/** An entry process of the site. */
export interface SiteEntry {
  name: string;
  place: string;
  dataCentre: string;
  callerAddress: string;
  controlAddress: string;
  process: LaunchedProcess;
}

/** An endpoint of the site; those of a pool may share one process. */
export interface SiteEndpoint {
  id: string;
  pool: string;
  place: string;
  address: string;
  process: LaunchedProcess;
}

/** A launched site, as the demo, the bench and the failure cases use it. */
export interface Site {
  readonly entries: SiteEntry[];
  readonly endpoints: SiteEndpoint[];
  readonly log: { address: string; process: LaunchedProcess };
  readonly instanceListAddress: string;
  /** Settings file for the operators' programs. */
  readonly operatorSettingsFile: string;
  readonly operatorKey: string;
  readonly folder: string;
  startEntry(name: string): Promise<SiteEntry>;
  startEndpoint(id: string): Promise<SiteEndpoint>;
  /** Adds or changes a record in the instance list. */
  putInstance(id: string, change: Record<string, unknown>): Promise<void>;
  removeInstance(id: string): Promise<void>;
  setFaults(address: string, faults: Partial<Faults>): Promise<void>;
  /** Reads the executions of the running endpoints, of all pools by default. */
  readExecutions(pools?: readonly string[]): Promise<Execution[]>;
  call(call: HttpCall): Promise<unknown>;
  /** Reads the metrics of an entry; returns "" if it does not answer. */
  readMetrics(entry: SiteEntry): Promise<string>;
  stop(): Promise<void>;
}

/** Options of {@linkcode launchSite}. */
export interface LaunchSiteOptions {
  deployment: Deployment;
  policy?: EntrySettings["policy"];
  /** Overrides the timing settings of every entry. */
  timing?: Partial<EntrySettings["timing"]>;
  logLevel?: EntrySettings["logLevel"];
  listLagMs?: number;
  /** Options of the log service stand-in. */
  logOptions?: Record<string, unknown>;
  /** Whether the endpoints of a pool share one process. */
  sharesProcesses?: boolean;
}

const SITE_KEY = "demo-site-key-0123456789";
const OPERATOR_KEY = "demo-operator-key-0123456789";
const DEFAULT_LIST_LAG_MS = 500;

/** Starts a site; resolves when all processes are ready. */
export async function launchSite(options: LaunchSiteOptions): Promise<Site> {
  const { plan } = options.deployment;
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-"));
  const http = createHttpClient({ maxReplyBytes: 268_435_456 });
  /** All processes of this site, including replaced ones. */
  const processes = new Set<LaunchedProcess>();
  const launch: Launch = async (launchOptions) => {
    const process = await launchProcess(launchOptions);
    processes.add(process);
    return process;
  };
  const platform = await launchPlatform(options, launch);
  const { models } = options.deployment.config;
  const entries: SiteEntry[] = [];
  const endpoints: SiteEndpoint[] = [];

  async function call(httpCall: HttpCall): Promise<unknown> {
    const reply = await http.call(httpCall);
    if (reply.isErr) {
      throw new Error(`${httpCall.path}: ${reply.error.message}`);
    }
    return parseJson(reply.value.text);
  }

  async function sendJson(address: string, path: string, value: unknown) {
    await call({ method: "PUT", address, path, body: JSON.stringify(value) });
  }

  function putInstance(id: string, change: Record<string, unknown>) {
    return sendJson(platform.instanceList, `/instances/${id}`, change);
  }

  async function removeInstance(id: string): Promise<void> {
    await call({
      method: "DELETE",
      address: platform.instanceList,
      path: `/instances/${id}`,
    });
  }

  async function startEntry(name: string): Promise<SiteEntry> {
    const planned = plan.entries.find((entry) => entry.name === name);
    if (planned === undefined) throw new Error(`no entry ${name} in the plan`);
    const settingsFile = join(folder, `${name}.jsonc`);
    const settings = createEntrySettings(planned, { options, platform });
    writeFileSync(settingsFile, JSON.stringify(settings, null, 2));
    const process = await launch({
      program: "mangoreach-entry",
      args: ["--settings", settingsFile],
      errorFile: join(folder, "logs", `${name}.log`),
    });
    const entry: SiteEntry = {
      ...planned,
      callerAddress: String(process.ready.callers),
      controlAddress: String(process.ready.control),
      process,
    };
    insertOrReplace(entries, entry, (known) => known.name === name);
    await putInstance(name, {
      incarnation: String(process.pid),
      pool: "entry",
      place: planned.place,
      address: entry.controlAddress,
      state: "live",
    });
    return entry;
  }

  async function startPool(pool: PoolPlan): Promise<void> {
    if (!options.sharesProcesses) {
      await Promise.all(
        Array.from(
          { length: pool.count },
          (_, i) => startEndpoint(`${pool.pool}-${i + 1}`),
        ),
      );
      return;
    }
    const process = await launchEndpoints(pool, {
      count: pool.count,
      models,
      launch,
    });
    const addresses = process.ready.addresses as string[];
    for (const [i, address] of addresses.entries()) {
      await addEndpoint(pool, { number: i + 1, address, process });
    }
  }

  async function startEndpoint(id: string): Promise<SiteEndpoint> {
    const pool = plan.pools.find((candidate) =>
      id.startsWith(`${candidate.pool}-`)
    );
    if (pool === undefined) throw new Error(`no pool for endpoint ${id}`);
    const process = await launchEndpoints(pool, {
      count: 1,
      models,
      launch,
    });
    const [address = ""] = process.ready.addresses as string[];
    const number = Number(id.slice(pool.pool.length + 1));
    return await addEndpoint(pool, { number, address, process });
  }

  async function addEndpoint(
    { pool }: PoolPlan,
    { number, address, process }: {
      number: number;
      address: string;
      process: LaunchedProcess;
    },
  ): Promise<SiteEndpoint> {
    const id = `${pool}-${number}`;
    const place = plan.entries[(number - 1) % plan.entries.length]!.place;
    const endpoint = { id, pool, place, address, process };
    insertOrReplace(endpoints, endpoint, (known) => known.id === id);
    await putInstance(id, {
      incarnation: `${process.pid}-${number}`,
      pool,
      place,
      address,
      state: "live",
    });
    return endpoint;
  }

  async function readExecutions(
    pools?: readonly string[],
  ): Promise<Execution[]> {
    const selected = endpoints.filter(({ pool, process }) =>
      !process.hasExited && (pools === undefined || pools.includes(pool))
    );
    const ledgers = await Promise.all(
      selected.map(({ address }) =>
        // An endpoint may be killed between the check and the call.
        call({ method: "GET", address, path: "/ledger" }).catch(() => [])
      ),
    );
    return (ledgers as Execution[][]).flat();
  }

  async function readMetrics({ controlAddress }: SiteEntry): Promise<string> {
    const reply = await http.call({
      method: "GET",
      address: controlAddress,
      path: "/metrics",
      signal: AbortSignal.timeout(1_000),
    });
    return reply.isOk ? reply.value.text : "";
  }

  async function stop(): Promise<void> {
    for (const process of processes) {
      // Only SIGKILL terminates a process that is stopped by SIGSTOP.
      process.send("SIGKILL");
    }
    await http.close();
    rmSync(folder, { recursive: true, force: true });
  }

  mkdirSync(join(folder, "logs"));
  const operatorSettingsFile = join(folder, "operator.jsonc");
  writeFileSync(
    operatorSettingsFile,
    JSON.stringify({
      logAddress: platform.log.address,
      instanceListAddress: platform.instanceList,
      operatorKey: OPERATOR_KEY,
    }),
  );
  await Promise.all(plan.pools.map(startPool));
  await Promise.all(plan.entries.map(({ name }) => startEntry(name)));
  return {
    entries,
    endpoints,
    log: platform.log,
    instanceListAddress: platform.instanceList,
    operatorSettingsFile,
    operatorKey: OPERATOR_KEY,
    folder,
    startEntry,
    startEndpoint,
    putInstance,
    removeInstance,
    setFaults: (address, faults) => sendJson(address, "/faults", faults),
    readExecutions,
    call,
    readMetrics,
    stop,
  };
}

interface Platform {
  log: { address: string; process: LaunchedProcess };
  instanceList: string;
  weightStore: string;
}

async function launchPlatform(
  { listLagMs = DEFAULT_LIST_LAG_MS, logOptions = {} }: LaunchSiteOptions,
  launch: Launch,
): Promise<Platform> {
  const [log, list, store] = await Promise.all([
    launch(createStandinOptions("log", logOptions)),
    launch(createStandinOptions("instance_list", { lagMs: listLagMs })),
    launch(createStandinOptions("weight_store", {})),
  ]);
  return {
    log: { address: readAddress(log), process: log },
    instanceList: readAddress(list),
    weightStore: readAddress(store),
  };
}

/** Starts a process and registers it with the site. */
type Launch = typeof launchProcess;

function createStandinOptions(
  role: string,
  options: Record<string, unknown>,
): LaunchOptions {
  return {
    program: "mangoreach-standin",
    args: ["--role", role, "--options", JSON.stringify(options)],
  };
}

function launchEndpoints(
  pool: PoolPlan,
  { count, models, launch }: {
    count: number;
    models: ConfigDocument["models"];
    launch: Launch;
  },
): Promise<LaunchedProcess> {
  const options = pool.kind === "engine"
    ? { times: pool.times, checksFencing: pool.checksFencing, models }
    : { times: pool.times };
  return launch({
    program: "mangoreach-standin",
    args: [
      "--role",
      pool.kind,
      "--count",
      String(count),
      "--options",
      JSON.stringify(options),
    ],
  });
}

function readAddress({ ready }: LaunchedProcess): string {
  const [address = ""] = ready.addresses as string[];
  return address;
}

function createEntrySettings(
  { name, place, dataCentre }: SitePlan["entries"][number],
  { options, platform }: { options: LaunchSiteOptions; platform: Platform },
) {
  const accounts = options.deployment.plan.accounts
    .map(({ name, key }) => ({ name, key }));
  return {
    entry: name,
    place,
    dataCentre,
    callerAddress: { host: "127.0.0.1", port: 0 },
    controlAddress: { host: "127.0.0.1", port: 0 },
    logAddress: platform.log.address,
    instanceListAddress: platform.instanceList,
    weightStoreAddress: platform.weightStore,
    siteKey: SITE_KEY,
    operatorKey: OPERATOR_KEY,
    accounts,
    timing: options.timing ?? {},
    logLevel: options.logLevel ?? "info",
    policy: options.policy ?? "mangoreach",
  };
}

function insertOrReplace<T>(
  list: T[],
  item: T,
  isSame: (known: T) => boolean,
): void {
  const index = list.findIndex(isSame);
  if (index < 0) list.push(item);
  else list[index] = item;
}
