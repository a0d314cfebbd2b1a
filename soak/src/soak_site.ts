/**
 * The processes and stand-ins of one run of the soak, and how faults reach them.
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
import type { EndpointSlot } from "./endpoint_slot.ts";
import { FAR_PLACE, startEndpoints } from "./endpoint_slot.ts";
import type { HarmedSpan, SeenArrival } from "./endpoint_signals.ts";
import type { FaultProxy, ProxyMode } from "./fault_proxy.ts";
import type { KeyedStore, StoreMode } from "./keyed_store.ts";
import { startKeyedStore } from "./keyed_store.ts";
import type { KeyedSpan } from "./promises.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { RunLog } from "./soak_endpoints.ts";
import type { Entry } from "./soak_entry.ts";
import {
  createEntry,
  replaceEntry,
  startEntry,
  waitUntilReady,
} from "./soak_entry.ts";
import type { PlannedFault } from "./soak_plan.ts";

/** A running site. */
export interface SoakSite {
  /** Where callers connect: a proxy before each entry. */
  readonly callerAddresses: readonly string[];
  readonly runs: RunLog;
  /** All that reached plain endpoints and engines. */
  readonly arrivals: readonly SeenArrival[];
  readonly harmed: readonly HarmedSpan[];
  readonly revokedAt: number | undefined;
  readonly leftAt: ReadonlyMap<string, number>;
  readonly coldSpans: readonly KeyedSpan[];
  readonly evacuations: readonly KeyedSpan[];
  /** Harms the site and heals it again. */
  applyFault(fault: PlannedFault): Promise<void>;
  /** Ends all that was started here. */
  stop(): Promise<void>;
}

/** The copy is older than the store's absence by this. */
const COPY_AGE_MS = 1_500;
/** So much longer than the bound on new work for an evacuated place. */
const EVACUATION_MS = 5_500;
/** So much longer than the word of a cold endpoint takes. */
const COLD_MS = 2_500;
/** Below what its callers want of an endpoint, in requests a second. */
const LIMIT = 4;
/** A limit must be kept after 3 s; it is counted for some seconds more. */
const LIMITED_MS = 5_000;
const PAUSE_MS = 1_500;
/** Longer than what may still reach an endpoint that leaves. */
const LEAVING_MS = 3_500;
/** An entry that is stopped takes up to so long until the next has started. */
const STOP_TIME_MS = 9_000;

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

/** Starts a site of some entries; resolves once all are ready. */
export async function startSoakSite(
  { entryCount, folder }: { entryCount: number; folder: string },
): Promise<SoakSite> {
  mkdirSync(folder, { recursive: true });
  const runs: RunLog = new Map();
  const arrivals: SeenArrival[] = [];
  const harmed: HarmedSpan[] = [];
  const leftAt = new Map<string, number>();
  const coldSpans: KeyedSpan[] = [];
  const evacuations: KeyedSpan[] = [];
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
  const endpoints = await startEndpoints(store, { runs, arrivals });
  const entries: Entry[] = [];
  for (let index = 0; index < entryCount; index++) {
    entries.push(await createEntry(`entry-${index}`, { store, folder }));
  }
  entries.forEach(startEntry);
  try {
    await Promise.all(entries.map(waitUntilReady));
  } catch (error) {
    // Its processes would go on when nobody knows of them any more.
    await stop();
    throw error;
  }

  async function applyFault(fault: PlannedFault): Promise<void> {
    const entry = entries[fault.target % entries.length]!;
    const link = endpoints[fault.target % endpoints.length]!;
    const proxies = [entry.callerProxy, entry.storeProxy, link.proxy];
    const proxy = proxies[fault.target % proxies.length]!;
    const speakers = endpoints.filter(({ pool }) => pool !== "stage");
    const speaker = speakers[fault.target % speakers.length]!;
    const { kind, duration } = fault;
    noteHarm(fault, { entry, proxy });
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
      case "endpoint_limited":
        return await speaker.say({ limit: LIMIT }, LIMITED_MS + duration);
      case "endpoint_paused":
        return await speaker.say({ pause: PAUSE_MS }, duration);
      case "endpoint_says_leaving":
        return await speaker.sayLeaving(LEAVING_MS + duration);
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
        return await runColdSpell(link, COLD_MS + duration);
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

  /** A link to an endpoint holds up what all entries send there. */
  function noteHarm(
    { kind, duration }: PlannedFault,
    { entry, proxy }: { entry: Entry; proxy: FaultProxy },
  ): void {
    const from = Date.now();
    const isOfEntry = kind.startsWith("entry_");
    if (!isOfEntry && !kind.startsWith("link_")) return;
    const isOwnLink = proxy === entry.callerProxy || proxy === entry.storeProxy;
    const hit = isOfEntry || isOwnLink ? [entry] : entries;
    harmed.push(...hit.map(({ callerProxy }) => ({
      entry: callerProxy.address,
      kind: isOfEntry ? "stopped" as const : "cut" as const,
      from,
      until: from + duration + (isOfEntry ? STOP_TIME_MS : 0),
    })));
  }

  async function runEvacuation(duration: number): Promise<void> {
    const mark = formatEvacuationKey(FAR_PLACE);
    const from = Date.now();
    const spans = endpoints.filter(({ place }) => place === FAR_PLACE)
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

  async function runColdSpell(
    slot: EndpointSlot,
    duration: number,
  ): Promise<void> {
    const endpoint = slot.readKey();
    const from = Date.now();
    coldSpans.push({ endpoint, from, until: from + duration });
    await slot.turnCold(duration);
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
    arrivals,
    harmed,
    get revokedAt() {
      return revokedAt;
    },
    leftAt,
    coldSpans,
    evacuations,
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
