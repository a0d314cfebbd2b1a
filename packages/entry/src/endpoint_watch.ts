/**
 * Watches the endpoints: follows the instance list, and polls the load reports
 * and cache events of each engine in a separate task.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  LeavingEvidence,
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

/** Options of {@linkcode startEndpointWatch}. */
export interface EndpointWatchOptions {
  instanceList: InstanceListClient;
  engines: EngineClient;
  orders: EngineOrderClient;
  directory: EndpointDirectory;
  pools: PoolSet;
  affinity: PrefixAffinity;
  /** Whether a pool consists of model engines. */
  isEnginePool: (pool: string) => boolean;
  /** Whether an engine has asked for fewer requests; it is then not polled. */
  isThrottled: (endpoint: EndpointInfo) => boolean;
  /** Called with the entries in the instance list, for their control addresses. */
  onEntries: (entries: readonly EndpointInfo[]) => void;
}

/** A running watch. */
export interface EndpointWatch {
  /** Marks an endpoint as leaving, as it reported here or to a peer. */
  markLeaving(endpointKey: string, evidence: LeavingEvidence): void;
  /** Whether an engine has a model loaded; true if its models are unknown. */
  hasModel(endpoint: EndpointInfo, model: string): boolean;
  readonly tasks: Promise<void>[];
}

/** Time between pool refreshes, which also drop expired leaving marks. */
const REFRESH_INTERVAL: Millis = 250;
/** Load reports per reading of an engine's loaded models. */
const LOADS_PER_STATE_READ = 3;
/** Load reports per reading of an engine's cache events. */
const LOADS_PER_EVENT_READ = 4;
/** Maximum load reports read per second, regardless of the number of engines. */
const MAX_LOAD_READS_PER_SECOND = 4;

/** Starts to watch the endpoints. */
export function startEndpointWatch(
  context: EntryContext,
  options: EndpointWatchOptions,
): EndpointWatch {
  const { clock, settings, random, signal, timeline } = context;
  const { directory, pools, instanceList } = options;
  const logger = context.logger.forPart("endpoints");
  /** Models that each engine had loaded when it was last polled. */
  const loadedModels = new Map<string, ReadonlySet<string>>();
  const watched = new Map<string, AbortController>();
  const tasks = createTaskSet((error) =>
    logger.error("Polling an engine failed.", { error: String(error) })
  );
  let isListDown = false;

  function applyList(instances: readonly EndpointInfo[]): void {
    isListDown = false;
    directory.replaceAll(instances.filter(({ pool }) => pool !== ENTRY_POOL));
    options.onEntries(instances.filter(({ pool }) => pool === ENTRY_POOL));
    pools.refresh();
  }

  function markLeaving(endpointKey: string, evidence: LeavingEvidence): void {
    if (!directory.markLeaving(endpointKey, evidence)) return;
    timeline.record("endpoint_leaving", { endpoint: endpointKey });
    pools.refresh();
  }

  /** Starts and stops polling tasks as engines are added and removed. */
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

  /** The interval grows with the number of engines to bound the polling rate. */
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
    onUnavailable: ({ message }) => {
      if (!isListDown) logger.warn("Instance list unavailable.", { message });
      isListDown = true;
    },
  }).observe(({ instances }) => applyList(instances)).then(() => undefined);

  return { markLeaving, hasModel, tasks: [following, refreshPools()] };
}
