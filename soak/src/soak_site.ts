/**
 * The processes and stand-ins of one soak run, and the injection of faults.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import {
  CONFIG_KEY,
  formatEvacuationKey,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import type { CutMode, EndpointCut } from "./endpoint_cuts.ts";
import { CUT_MODES } from "./endpoint_cuts.ts";
import type { EndpointSlot } from "./endpoint_slot.ts";
import {
  EVACUATED_PLACE,
  startChatEndpoints,
  startEndpoints,
} from "./endpoint_slot.ts";
import type {
  EntryFaultSpan,
  FailureMode,
  ObservedArrival,
} from "./endpoint_signals.ts";
import type { PieceArrival } from "./repeat_checks.ts";
import type { FaultProxy, ProxyMode } from "./fault_proxy.ts";
import type { StoreMode, TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";
import type { EndpointSpan, StoreFaultSpan } from "./guarantees.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { RunLog, StageArrival } from "./soak_endpoints.ts";
import type { Entry } from "./soak_entry.ts";
import {
  createEntry,
  replaceEntry,
  sendCut,
  startEntry,
  waitUntilReady,
} from "./soak_entry.ts";
import type { PlannedFault } from "./soak_plan.ts";

/** A running site. */
export interface SoakSite {
  /** Addresses for callers: a proxy in front of each entry. */
  readonly callerAddresses: readonly string[];
  /** Endpoints that serve resumable streams. */
  readonly chatEndpoints: readonly EndpointSlot[];
  readonly runs: RunLog;
  /** All requests that reached plain endpoints and engines. */
  readonly arrivals: readonly ObservedArrival[];
  /** All pieces that reached stage endpoints. */
  readonly pieceArrivals: readonly PieceArrival[];
  /** All calls that reached stage endpoints. */
  readonly stageArrivals: readonly StageArrival[];
  /** Lets all stage endpoints refuse calls and ask for a pause of `pause` ms. */
  applyStagePause(pause: number, duration: number): Promise<void>;
  /** When endpoints ended, by their key. */
  readonly endpointEnds: ReadonlyMap<string, number>;
  readonly entryFaults: readonly EntryFaultSpan[];
  readonly revokedAt: number | undefined;
  readonly leftAt: ReadonlyMap<string, number>;
  readonly storeFaults: readonly StoreFaultSpan[];
  readonly coldSpans: readonly EndpointSpan[];
  readonly evacuations: readonly EndpointSpan[];
  readonly endpointCuts: readonly EndpointCut[];
  /** Cuts entries off from all endpoints; resolves once the cut has ended. */
  applyCut(cut: PlannedCut, duration: number): Promise<void>;
  /** Cuts an entry off from others, in both directions; from none, the cut ends. */
  applyIsolation(isolation: EntryIsolation): void;
  /** Starts further endpoints of these versions that serve resumable streams. */
  addChatEndpoints(versions: readonly string[]): Promise<void>;
  /** Resolves once all entries report that they are ready. */
  waitUntilAllReady(): Promise<void>;
  /** Injects a fault; resolves once it has ended. */
  applyFault(fault: PlannedFault): Promise<void>;
  /** Stops all processes, proxies and stand-ins of the site. */
  stop(): Promise<void>;
}

/** Entries to cut off from all endpoints. */
export interface PlannedCut {
  mode: CutMode;
  /** Index of the first one, modulo the number of entries. */
  first: number;
  count: number;
  /** What they no longer reach; by default, endpoints. */
  from?: "endpoints" | "peers";
}

/** An entry to cut off from other processes. */
export interface EntryIsolation {
  /** Index of the entry. */
  target: number;
  mode: CutMode;
  /** What it no longer reaches, and what no longer reaches it. */
  from: readonly ("peers" | "store")[];
}

/** Time between the copy and the start of the store's outage. */
const COPY_AGE_MS = 1_500;
/** Exceeds the time limit after which an evacuated place gets no new work. */
const EVACUATION_MS = 5_500;
/** Exceeds the time in which entries learn that an endpoint is cold. */
const COLD_MS = 2_500;
/** Below the load that callers offer to an endpoint, in requests per second. */
const LIMIT = 4;
/** A limit must be respected after 3 s; arrivals are counted for longer. */
const LIMITED_MS = 5_000;
const PAUSE_MS = 1_500;
/** Entries must serve their callers 3 s after the begin of a cut. */
const CUT_MS = 5_000;
/** Rejections within a second that a brittle endpoint tolerates. */
const REJECT_LIMIT = 3;
/** A brittle endpoint lets fewer requests wait after 3 s. */
const BRITTLE_MS = 5_000;
const SILENT_MS = 1_000;
const FAILING_MS = 1_500;
const FAILING_SHARES = [1, 0.5, 0.8];
const FAILURE_MODES: readonly FailureMode[] = [
  "error",
  "full",
  "reset",
  "endless",
];
/** Exceeds the time in which requests may still reach a leaving endpoint. */
const LEAVING_MS = 3_500;
/** Maximum time from stopping an entry until its replacement has started. */
const STOP_TIME_MS = 9_000;

/** A release is halfway through: two endpoints serve of each version. */
const CHAT_VERSIONS = ["v1", "v1", "v2", "v2"];
/** Releases go in either direction. */
const RELEASED_VERSIONS = ["v1", "v2", "v3"];

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

/** Starts a site; resolves once all entries are ready. */
export async function startSoakSite(
  { entryCount, folder, chatVersions = CHAT_VERSIONS, hasUnframed = false }: {
    entryCount: number;
    folder: string;
    /** Whether some streams have neither a length nor chunks. */
    hasUnframed?: boolean;
    /** The version of each endpoint that serves resumable streams. */
    chatVersions?: readonly string[];
  },
): Promise<SoakSite> {
  mkdirSync(folder, { recursive: true });
  const runs: RunLog = new Map();
  const arrivals: ObservedArrival[] = [];
  const entryFaults: EntryFaultSpan[] = [];
  const endpointCuts: EndpointCut[] = [];
  const leftAt = new Map<string, number>();
  const storeFaults: StoreFaultSpan[] = [];
  const coldSpans: EndpointSpan[] = [];
  const evacuations: EndpointSpan[] = [];
  const store = await startTopicStore();
  let version = 1;
  let revokedAt: number | undefined;
  const publish = () =>
    store.put(
      TOPIC.operators,
      CONFIG_KEY,
      createSoakConfig(version, { isRevoked: revokedAt !== undefined }),
    );
  publish();
  const pieceArrivals: PieceArrival[] = [];
  const endpointEnds = new Map<string, number>();
  const stageArrivals: StageArrival[] = [];
  const logs = {
    runs,
    arrivals,
    pieceArrivals,
    stageArrivals,
    endpointEnds,
    hasUnframed,
  };
  const endpoints = await startEndpoints(store, logs);
  const chatEndpoints = await startChatEndpoints(store, {
    versions: chatVersions,
    logs,
  });
  const entries: Entry[] = [];
  for (let index = 0; index < entryCount; index++) {
    entries.push(await createEntry(`entry-${index}`, { store, folder }));
  }
  entries.forEach(startEntry);
  try {
    await Promise.all(entries.map(waitUntilReady));
  } catch (error) {
    // The caller gets no handle to stop these processes.
    await stop();
    throw error;
  }

  async function applyFault(fault: PlannedFault): Promise<void> {
    const entry = entries[fault.target % entries.length]!;
    const link = endpoints[fault.target % endpoints.length]!;
    const proxies = [entry.callerProxy, entry.storeProxy, link.proxy];
    const proxy = proxies[fault.target % proxies.length]!;
    const reporters = endpoints.filter(({ pool }) => pool !== "stage");
    const reporter = reporters[fault.target % reporters.length]!;
    const { kind, duration } = fault;
    const chat = chatEndpoints[fault.target % chatEndpoints.length]!;
    recordEntryFault(fault, { entry, proxy });
    if (kind.startsWith("store_")) {
      const from = Date.now();
      storeFaults.push({ from, until: from + duration });
    }
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
        return proxy.resetAll();
      case "link_delayed":
      case "link_one_way":
      case "link_silent":
        return await runLinkFault(proxy, LINK_MODES[kind], duration);
      case "endpoint_killed":
        return await link.replace(duration);
      case "endpoint_limited":
        return await reporter.sendSignals(
          { limit: LIMIT },
          LIMITED_MS + duration,
        );
      case "endpoint_paused":
        return await reporter.sendSignals({ pause: PAUSE_MS }, duration);
      case "endpoint_says_leaving":
        return await reporter.signalLeaving(LEAVING_MS + duration);
      case "endpoints_cut":
      case "endpoints_cut_most":
        return await applyCut({
          mode: CUT_MODES[fault.target % CUT_MODES.length]!,
          first: fault.target,
          count: kind === "endpoints_cut" ? 1 : entries.length - 1,
        }, CUT_MS + duration);
      case "endpoint_brittle":
        return await reporter.sendSignals(
          { brittle: { rejectLimit: REJECT_LIMIT, since: Date.now() } },
          BRITTLE_MS + duration,
        );
      case "endpoint_silent":
        link.proxy.setMode("held");
        await sleep(SILENT_MS);
        return link.proxy.setMode("passing");
      case "endpoint_leaves":
        leftAt.set(link.readKey(), Date.now());
        return await link.leave();
      case "endpoint_restarted":
        return await link.restart(duration);
      case "store_from_copy":
        await runStoreFault(store, "failing", duration);
        return store.restore(duration + COPY_AGE_MS);
      case "place_evacuated":
        return await runEvacuation(EVACUATION_MS + duration);
      case "endpoint_cold":
        return await runColdPeriod(link, COLD_MS + duration);
      case "chat_released":
        return await chat.release(
          RELEASED_VERSIONS[fault.target % RELEASED_VERSIONS.length]!,
        );
      case "chat_killed":
        return await chat.replace(duration);
      case "callers_reset":
        return entry.callerProxy.resetAll();
      case "entries_killed":
      case "entries_killed_again":
        return await killAllEntries(duration);
      case "pool_failing":
        return await runFailures(fault);
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

  /** All endpoints of a pool fail a share of what they get. */
  async function runFailures(
    { target, duration }: PlannedFault,
  ): Promise<void> {
    const failing = {
      share: FAILING_SHARES[target % FAILING_SHARES.length]!,
      how: FAILURE_MODES[target % FAILURE_MODES.length]!,
    };
    // Each pool fails in each way.
    const isPlain = Math.floor(target / FAILURE_MODES.length) % 2 === 0;
    const pool = isPlain ? "plain" : "chat";
    const slots = [...endpoints, ...chatEndpoints];
    await Promise.all(
      slots.filter((slot) => slot.pool === pool)
        .map((slot) => slot.sendSignals({ failing }, FAILING_MS + duration)),
    );
  }

  async function applyStagePause(
    pause: number,
    duration: number,
  ): Promise<void> {
    await Promise.all(
      endpoints.filter(({ pool }) => pool === "stage")
        .map((slot) => slot.sendSignals({ pause }, duration)),
    );
  }

  async function killAllEntries(duration: number): Promise<void> {
    const from = Date.now();
    entryFaults.push(...entries.map(({ callerProxy }) => ({
      entry: callerProxy.address,
      kind: "stopped" as const,
      from,
      until: from + duration + STOP_TIME_MS,
    })));
    await Promise.all(
      entries.map((entry) => replaceEntry(entry, "SIGKILL", duration)),
    );
  }

  async function applyCut(
    { mode, first, count, from: target = "endpoints" }: PlannedCut,
    duration: number,
  ): Promise<void> {
    const stores = entries.map(({ storeProxy }) => storeProxy.address);
    const passing = target === "endpoints"
      ? [...stores, ...entries.map(({ control }) => control)]
      : [
        ...stores,
        ...[...endpoints, ...chatEndpoints].map((slot) => slot.proxy.address),
      ];
    const from = Date.now();
    const cut = Array.from(
      { length: count },
      (_, index) => entries[(first + index) % entries.length]!,
    );
    const endpointCut = target === "endpoints" ? cut : [];
    endpointCuts.push(...endpointCut.map(({ callerProxy }) => ({
      entry: callerProxy.address,
      from,
      until: from + duration,
    })));
    cut.forEach((entry) => sendCut(entry, mode, passing));
    await sleep(duration);
    cut.forEach((entry) => sendCut(entry, "none", []));
  }

  function applyIsolation({ target, mode, from }: EntryIsolation): void {
    const isolated = entries[target]!;
    const cutsPeers = from.includes("peers");
    for (const entry of entries) {
      const isTarget = entry === isolated;
      const reached = entries.filter((other) =>
        !cutsPeers || (!isTarget && other !== isolated)
      );
      const reachesStore = !isTarget || !from.includes("store");
      sendCut(entry, from.length === 0 ? "none" : mode, [
        ...(reachesStore ? [entry.storeProxy.address] : []),
        ...reached.map(({ control }) => control),
        ...[...endpoints, ...chatEndpoints].map((slot) => slot.proxy.address),
      ]);
    }
  }

  async function addChatEndpoints(versions: readonly string[]): Promise<void> {
    chatEndpoints.push(
      ...await startChatEndpoints(store, {
        versions,
        logs,
        firstIndex: chatEndpoints.length,
      }),
    );
  }

  /** A fault of a link to an endpoint delays the requests of all entries to it. */
  function recordEntryFault(
    { kind, duration }: PlannedFault,
    { entry, proxy }: { entry: Entry; proxy: FaultProxy },
  ): void {
    const from = Date.now();
    const isEntryFault = kind.startsWith("entry_");
    if (!isEntryFault && !kind.startsWith("link_")) return;
    const isOwnLink = proxy === entry.callerProxy || proxy === entry.storeProxy;
    const affected = isEntryFault || isOwnLink ? [entry] : entries;
    entryFaults.push(...affected.map(({ callerProxy }) => ({
      entry: callerProxy.address,
      kind: isEntryFault ? "stopped" as const : "cut" as const,
      from,
      until: from + duration + (isEntryFault ? STOP_TIME_MS : 0),
    })));
  }

  async function runEvacuation(duration: number): Promise<void> {
    const mark = formatEvacuationKey(EVACUATED_PLACE);
    const from = Date.now();
    const spans = endpoints.filter(({ place }) => place === EVACUATED_PLACE)
      .map((slot) => ({
        endpoint: slot.readKey(),
        from,
        until: from + duration,
      }));
    evacuations.push(...spans);
    store.put(TOPIC.operators, mark, {});
    await sleep(duration);
    store.put(TOPIC.operators, mark, undefined);
  }

  async function runColdPeriod(
    slot: EndpointSlot,
    duration: number,
  ): Promise<void> {
    const endpoint = slot.readKey();
    const from = Date.now();
    coldSpans.push({ endpoint, from, until: from + duration });
    await slot.runCold(duration);
  }

  async function stop(): Promise<void> {
    for (const entry of entries) {
      entry.child?.kill("SIGKILL");
      // An entry that is being replaced must not start after the site's end.
      entry.child = undefined;
    }
    for (const { callerProxy, storeProxy } of entries) {
      callerProxy.close();
      storeProxy.close();
    }
    [...endpoints, ...chatEndpoints].forEach((endpoint) => endpoint.close());
    store.close();
    await sleep(50);
  }

  return {
    callerAddresses: entries.map(({ callerProxy }) => callerProxy.address),
    chatEndpoints,
    runs,
    arrivals,
    pieceArrivals,
    stageArrivals,
    applyStagePause,
    endpointEnds,
    entryFaults,
    endpointCuts,
    applyCut,
    applyIsolation,
    addChatEndpoints,
    async waitUntilAllReady() {
      await Promise.all(entries.map(waitUntilReady));
    },
    get revokedAt() {
      return revokedAt;
    },
    leftAt,
    storeFaults,
    coldSpans,
    evacuations,
    applyFault,
    stop,
  };
}

/** Writes invalid records to the endpoints' topic, as a foreign writer would. */
function writeForeignRecords(store: TopicStore, number: number): void {
  const complete = { service: "plain", zone: "z", state: "ready" };
  const contents = [
    { ...complete },
    { ...complete, address: number },
    { ...complete, address: "127.0.0.1:1", state: "warming" },
    [number],
  ];
  contents.forEach((content, index) =>
    store.put(TOPIC.endpoints, `other-${number}-${index}`, content)
  );
  store.putUnreadable(TOPIC.endpoints);
}

async function runStoreFault(
  store: TopicStore,
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
  // Bytes were dropped, so open connections would wait forever.
  if (mode !== "delayed") proxy.resetAll();
}
