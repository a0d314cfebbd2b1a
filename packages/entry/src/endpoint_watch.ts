/**
 * Watches the endpoints: follows the instance list, and reads load reports and
 * cache events of each engine in a task of its own.
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
  isHeldBack: (endpoint: EndpointInfo) => boolean;
  /** Told the control addresses of entries in the list. */
  onEntries: (entries: readonly EndpointInfo[]) => void;
}

/** A running watch. */
export interface EndpointWatch {
  /** Marks an endpoint that said itself, or to a peer, that it is leaving. */
  markLeaving(endpointKey: string, ground: LeavingEvidence): void;
  /** Whether an engine holds a model, or nothing is known of it yet. */
  holdsModel(endpoint: EndpointInfo, model: string): boolean;
  readonly tasks: Promise<void>[];
}

/** Pools are refreshed this often, so that expired marks heal. */
const REFRESH_INTERVAL: Millis = 250;
/** What engines hold is read with every so many load reports. */
const STATE_EVERY = 3;
/** Cache events are read with every so many load reports. */
const EVENTS_EVERY = 4;
/** Load reports read a second at most, however many engines there are. */
const MAX_READINGS_PER_SECOND = 4;

/** Starts to watch the endpoints. */
export function startEndpointWatch(
  context: EntryContext,
  options: EndpointWatchOptions,
): EndpointWatch {
  const { clock, settings, random, signal, timeline } = context;
  const { directory, pools, instanceList } = options;
  const logger = context.logger.forPart("endpoints");
  /** Models that an engine held when it was last asked. */
  const holdings = new Map<string, ReadonlySet<string>>();
  const watched = new Map<string, AbortController>();
  const tasks = createTaskSet((error) =>
    logger.error("Reading load failed.", { error: String(error) })
  );
  let isListAway = false;

  function takeList(instances: readonly EndpointInfo[]): void {
    isListAway = false;
    directory.replaceAll(instances.filter(({ pool }) => pool !== ENTRY_POOL));
    options.onEntries(instances.filter(({ pool }) => pool === ENTRY_POOL));
    pools.refresh();
  }

  function markLeaving(endpointKey: string, ground: LeavingEvidence): void {
    if (!directory.markLeaving(endpointKey, ground)) return;
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
      holdings.delete(key);
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
    let reading = 0;
    while (!ended.aborted) {
      await clock.sleep(computeInterval() * (0.75 + random() / 2), ended);
      if (ended.aborted) return;
      if (options.isHeldBack(engine)) continue;
      const report = await options.engines.readLoad(engine);
      if (report.isOk) {
        pools.recordReport(engine, report.value);
      }
      if (reading++ % STATE_EVERY === 0) await readHoldings(engine);
      if (reading % EVENTS_EVERY !== 0) continue;
      const events = await options.engines.readCacheEvents(engine, lastEvent);
      if (events.isErr) continue;
      options.affinity.applyEvents(key, events.value);
      lastEvent = events.value.at(-1)?.sequence ?? lastEvent;
    }
  }

  async function readHoldings(engine: EndpointInfo): Promise<void> {
    const state = await options.orders.readState(engine);
    if (state.isErr) return;
    const names = state.value.models.map(({ name }) => name);
    holdings.set(formatEndpointKey(engine), new Set(names));
  }

  function holdsModel(endpoint: EndpointInfo, model: string): boolean {
    return holdings.get(formatEndpointKey(endpoint))?.has(model) ?? true;
  }

  /** Grows with the engines, so that the cost of reading does not. */
  function computeInterval(): Millis {
    const bounded = watched.size * 1_000 / MAX_READINGS_PER_SECOND;
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
      if (!isListAway) logger.warn("The instance list is away.", { message });
      isListAway = true;
    },
  }).observe(({ instances }) => takeList(instances)).then(() => undefined);

  return { markLeaving, holdsModel, tasks: [following, refreshPools()] };
}
