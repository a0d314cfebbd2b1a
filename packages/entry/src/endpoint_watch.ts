/**
 * Watches the endpoints: follows the instance list, and reads load reports and
 * cache events of each engine in a task of its own.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  LeavingGround,
  PrefixAffinity,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { EngineClient, EngineOrderClient } from "@mangoreach/engines";
import type { InstanceListClient } from "@mangoreach/instance_list";
import { ENTRY_POOL } from "@mangoreach/instance_list";
import type { Millis } from "@mangoreach/shared";
import { createTaskSet } from "@mangoreach/shared";
import type { EntryContext } from "./entry_context.ts";
import type { PoolSet } from "./pool_set.ts";

/** What the watch works on. */
export interface EndpointWatchOptions {
  instanceList: InstanceListClient;
  engines: EngineClient;
  orders: EngineOrderClient;
  directory: EndpointDirectory;
  pools: PoolSet;
  affinity: PrefixAffinity;
  /** Whether a pool is one of model engines. */
  isEnginePool: (pool: string) => boolean;
  /** Whether an engine has asked to be sent less, and is left alone. */
  isThrottled: (endpoint: EndpointInfo) => boolean;
  /** Told the control addresses of entries in the list. */
  onEntries: (entries: readonly EndpointInfo[]) => void;
}

/** A running watch. */
export interface EndpointWatch {
  /** Marks an endpoint that said itself, or to a peer, that it is leaving. */
  markLeaving(endpointKey: string, evidence: LeavingGround): void;
  /** Whether an engine holds a model, or nothing is known of it yet. */
  hasModel(endpoint: EndpointInfo, model: string): boolean;
  readonly tasks: Promise<void>[];
}

/** Pools are refreshed this often, so that expired marks heal. */
const REFRESH_INTERVAL: Millis = 250;
/** What engines hold is read with every so many load reports. */
const LOADS_PER_STATE_READ = 3;
/** Cache events are read with every so many load reports. */
const LOADS_PER_EVENT_READ = 4;
/** Load reports read a second at most, however many engines there are. */
const MAX_LOAD_READS_PER_SECOND = 4;

/** Starts to watch the endpoints. */
export function startEndpointWatch(
  context: EntryContext,
  options: EndpointWatchOptions,
): EndpointWatch {
  const { clock, settings, random, signal, timeline } = context;
  const { directory, pools, instanceList } = options;
  const logger = context.logger.forPart("endpoints");
  /** Models that an engine held when it was last asked. */
  const loadedModels = new Map<string, ReadonlySet<string>>();
  const watched = new Map<string, AbortController>();
  const tasks = createTaskSet((error) =>
    logger.error("Reading load failed.", { error: String(error) })
  );
  let isListDown = false;

  function applyList(instances: readonly EndpointInfo[]): void {
    isListDown = false;
    directory.replaceAll(instances.filter(({ pool }) => pool !== ENTRY_POOL));
    options.onEntries(instances.filter(({ pool }) => pool === ENTRY_POOL));
    pools.refresh();
  }

  function markLeaving(endpointKey: string, evidence: LeavingGround): void {
    if (!directory.markLeaving(endpointKey, evidence)) return;
    timeline.record("endpoint_leaving", { endpoint: endpointKey });
    pools.refresh();
  }

  /** Starts and ends the reading tasks as engines come and go. */
  function updateWatched(): void {
    const engines = directory.listAll()
      .filter(({ pool }) => options.isEnginePool(pool));
    const keys = new Set(engines.map(formatEndpointKey));
    for (const [key, controller] of watched) {
      if (keys.has(key)) continue;
      controller.abort();
      watched.delete(key);
      loadedModels.delete(key);
    }
    for (const engine of engines) {
      const key = formatEndpointKey(engine);
      if (watched.has(key)) continue;
      const controller = new AbortController();
      watched.set(key, controller);
      tasks.add(readEngine(engine, controller.signal));
    }
  }

  async function readEngine(
    engine: EndpointInfo,
    stopped: AbortSignal,
  ): Promise<void> {
    const key = formatEndpointKey(engine);
    const ended = AbortSignal.any([signal, stopped]);
    let lastEvent = -1;
    let reads = 0;
    while (!ended.aborted) {
      await clock.sleep(computeInterval() * (0.75 + random() / 2), ended);
      if (ended.aborted) return;
      if (options.isThrottled(engine)) continue;
      const report = await options.engines.readLoad(engine);
      if (report.isOk) {
        pools.recordReport(engine, report.value);
      }
      if (reads++ % LOADS_PER_STATE_READ === 0) await readModels(engine);
      if (reads % LOADS_PER_EVENT_READ !== 0) continue;
      const events = await options.engines.readCacheEvents(engine, lastEvent);
      if (events.isErr) continue;
      options.affinity.applyEvents(key, events.value);
      lastEvent = events.value.at(-1)?.sequence ?? lastEvent;
    }
  }

  async function readModels(engine: EndpointInfo): Promise<void> {
    const state = await options.orders.readState(engine);
    if (state.isErr) return;
    const names = state.value.models.map(({ name }) => name);
    loadedModels.set(formatEndpointKey(engine), new Set(names));
  }

  function hasModel(endpoint: EndpointInfo, model: string): boolean {
    return loadedModels.get(formatEndpointKey(endpoint))?.has(model) ?? true;
  }

  /** Grows with the engines, so that the cost of reading does not. */
  function computeInterval(): Millis {
    const bounded = watched.size * 1_000 / MAX_LOAD_READS_PER_SECOND;
    return Math.max(settings.timing.loadReportMs, bounded);
  }

  async function refreshPools(): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(REFRESH_INTERVAL, signal);
      pools.refresh();
      updateWatched();
    }
    for (const controller of watched.values()) controller.abort();
    await tasks.waitUntilEmpty();
  }

  const following = instanceList.follow({
    interval: settings.timing.instanceListMs,
    signal,
    random,
    onAway: ({ message }) => {
      if (!isListDown) logger.warn("Instance list unavailable.", { message });
      isListDown = true;
    },
  }).observe(({ instances }) => applyList(instances)).then(() => undefined);

  return { markLeaving, hasModel, tasks: [following, refreshPools()] };
}
