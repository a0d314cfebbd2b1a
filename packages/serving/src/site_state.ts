/**
 * The local copy that an entry keeps of the site's state in the platform's
 * store (the configuration in force, the endpoints and the entries), and its
 * age.
 *
 * @module
 */
import type {
  ColdEndpoints,
  DataAge,
  EndpointDirectory,
  EndpointInfo,
  EndpointRegistry,
  PlaceEvacuation,
  RouteTable,
  ServingConfig,
  VersionHistory,
} from "@mangoreach/coordination";
import {
  createColdEndpoints,
  createDataAge,
  createEndpointDirectory,
  createEndpointRegistry,
  createPlaceEvacuation,
  createRouteTable,
  createVersionHistory,
} from "@mangoreach/coordination";
import type { TopicName } from "@mangoreach/peers";
import type { Clock, Logger, Millis } from "@mangoreach/shared";
import { keepRunning } from "@mangoreach/shared";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { TopicSink } from "./topic_follower.ts";
import { followTopic } from "./topic_follower.ts";
import type { MemberRegistry } from "./member_registry.ts";
import type { ReadTracker } from "./read_tracker.ts";
import { createReadTracker } from "./read_tracker.ts";
import type { TopicRecord, TopicSource } from "./platform_interfaces.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingPlatform } from "./serving_options.ts";
import { TOPIC_TIMINGS } from "./topic_timing.ts";
import type { ReadableSource, TopicRelay } from "./topic_relay.ts";
import { createTopicRelay } from "./topic_relay.ts";

/** Options of {@linkcode createSiteState}. */
export interface SiteStateOptions {
  clock: Clock;
  /** Wall-clock time; it advances while the process is suspended. */
  readWallTime: () => Millis;
  random: () => number;
  log: DecisionLog;
  logger: Logger;
  metrics: ServingMetrics;
  platform: ServingPlatform;
  /**
   * Wraps the store's source of a topic in one that can also read from peers.
   */
  createRelayedSource: (
    topic: TopicName,
    source: TopicSource,
    reads: ReadTracker,
  ) => ReadableSource;
  /** Called with each configuration that comes into force. */
  onConfig: (config: ServingConfig) => void;
  /** Called when endpoints are added, start to leave or are removed. */
  onEndpoints: () => void;
  /** Receives the store's records of entries. */
  members: Pick<MemberRegistry, "replaceAll" | "apply">;
  /**
   * Called when the store was restored from an older copy that lacks recent
   * writes.
   */
  onRestored: () => void;
  /** Called when following a topic has failed, before it starts again. */
  onError: (error: unknown) => void;
}

/** An entry's local copy of the state of its site. */
export interface SiteState {
  /** Returns the configuration in force; undefined before the first. */
  readTable(): RouteTable | undefined;
  /** Returns the configuration in force as it was published. */
  readPublished(): string | undefined;
  /** Applies a peer's configuration if it is newer than the one in force. */
  applyPublished(value: string): void;
  readonly configAge: DataAge;
  readonly directory: EndpointDirectory;
  readonly history: VersionHistory;
  /** Whether an endpoint is cold, or may be cold. */
  isCold(endpoint: EndpointInfo): boolean;
  /** Returns how long ago the store confirmed the endpoints. */
  readEndpointAge(): Millis;
  /**
   * Whether a restart of an endpoint would be known here: not during an outage of
   * the store, nor before endpoints have registered again.
   */
  isEndpointListCurrent(): boolean;
  /** Records that nothing listened at an endpoint's address. */
  recordUnreachable(endpoint: EndpointInfo): void;
  /** Returns the place of the endpoint at an address. */
  findPlace(address: string): string | undefined;
  /** Lists all endpoints that may be listening at an address. */
  listAt(address: string): readonly EndpointInfo[];
  /** The relays that serve each topic to other entries. */
  readonly relays: Readonly<Record<TopicName, TopicRelay>>;
  /**
   * Describes the current and the last read of the configuration, for log
   * lines.
   */
  describeConfigReads(): DecisionFields;
  /** Whether endpoints were read at least once. */
  hasEndpoints(): boolean;
  /** Whether the records of entries were read at least once. */
  hasMembers(): boolean;
  /** Follows the store until the signal aborts. */
  follow(signal: AbortSignal): Promise<void>;
}

/**
 * Endpoints that expired during an outage of the store return within two
 * seconds.
 */
const RECOVERY_GRACE: Millis = 1_800;
/** Endpoints that restarted during an outage have registered again by then. */
const REGISTRATION_TIME: Millis = 2_500;
/** An unconfirmed mark that an endpoint is leaving expires after this. */
const LEAVING_MARK_TTL: Millis = 4_000;

/** Maximum number of log lines about records that cannot be decoded. */
const MAX_UNDECODABLE = 200;
const MAX_REASON_LENGTH = 1_000;

function readValue({ value }: TopicRecord): string {
  return value ?? "";
}

/** Creates the state of an entry that has read nothing yet. */
export function createSiteState(
  options: SiteStateOptions,
): SiteState {
  const { clock, readWallTime, random, log, logger, metrics, platform } =
    options;
  const { onConfig, onEndpoints } = options;
  let table: RouteTable | undefined;
  let published: string | undefined;
  let isEndpointsKnown = false;
  let isMembersKnown = false;
  /** Until then, records of endpoints may be older than the last outage. */
  let outdatedUntil: Millis = -Infinity;
  /** Endpoints by address; an address may be reused by another endpoint. */
  let byAddress: ReadonlyMap<string, readonly EndpointInfo[]> = new Map();
  /** Keys of records that could not be decoded. */
  const undecodable = new Set<string>();
  const configAge = createDataAge({ clock, readWallTime });
  const endpointAge = createDataAge({ clock, readWallTime });
  const reads: Record<TopicName, ReadTracker> = {
    config: createWatch("config"),
    endpoints: createWatch("endpoints"),
    members: createWatch("members"),
  };
  const relays: Record<TopicName, TopicRelay> = {
    config: createRelay("config", platform.configSource, readValue),
    endpoints: createRelay(
      "endpoints",
      platform.endpointSource,
      readEndpointContent,
    ),
    members: createRelay("members", platform.members.source, readValue),
  };

  function createWatch(topic: TopicName): ReadTracker {
    return createReadTracker({
      clock,
      onEnd: (source, outcome) => metrics.countReading(topic, source, outcome),
    });
  }

  function createRelay(
    topic: TopicName,
    source: TopicSource,
    readContent: (record: TopicRecord) => string,
  ): TopicRelay {
    return createTopicRelay({
      clock,
      source: options.createRelayedSource(topic, source, reads[topic]),
      age: createDataAge({ clock, readWallTime }),
      readContent,
    });
  }

  function readEndpointContent(record: TopicRecord): string {
    if (record.value === undefined) return "";
    const decoded = platform.decodeEndpoint(record);
    return decoded.isOk ? JSON.stringify(decoded.value) : record.value;
  }

  const evacuation: PlaceEvacuation = createPlaceEvacuation({
    clock,
    onChange(place, change) {
      log.record("place_changed", {
        place,
        configAge: configAge.read(),
        outcome: change,
      });
      onEndpoints();
    },
  });

  const cold: ColdEndpoints = createColdEndpoints(clock);

  const directory = createEndpointDirectory({
    clock,
    markTtl: LEAVING_MARK_TTL,
    isEvacuated: evacuation.isEvacuated,
    // A change is applied before the read that brought it counts.
    readListAge: endpointAge.read,
  });

  const history = createVersionHistory(clock);

  const roster: EndpointRegistry = createEndpointRegistry({
    clock,
    recoveryGrace: RECOVERY_GRACE,
    onChange(endpoints) {
      byAddress = createAddressIndex(endpoints);
      directory.replaceAll(endpoints);
      // Records of the first snapshot are applied one by one.
      if (isEndpointsKnown) history.update(endpoints);
      metrics.setKnown("endpoints", endpoints.length);
      onEndpoints();
    },
  });

  function applyConfig(value: string, source: "store" | "peer"): void {
    const decoded = platform.decodeConfig(value);
    if (decoded.isErr) {
      const reason = decoded.error.slice(0, MAX_REASON_LENGTH);
      return log.record("config_rejected", { reason });
    }
    const config = decoded.value;
    const version = table?.config.version ?? 0;
    // Versions only rise: a late response of the store must not revert to an
    // older configuration.
    if (config.version <= version) return;
    table = createRouteTable(config);
    published = value;
    metrics.setConfigVersion(config.version);
    onConfig(config);
    log.record("config_in_force", {
      version: config.version,
      before: version,
      source,
      routes: config.routes.length,
      accounts: config.accounts?.length,
    });
  }

  const configSink: TopicSink = {
    handleRestored() {
      evacuation.handleStoreRestored();
      recordRestored("config");
    },
    replaceAll(records) {
      records.forEach(applyConfigRecord);
      evacuation.replaceAll(
        records.filter(({ value }) => value !== undefined)
          .flatMap(({ key }) => platform.readEvacuatedPlace(key) ?? []),
      );
    },
    apply(record) {
      applyConfigRecord(record);
      applyEvacuation(record);
    },
    recordConfirmed: configAge.recordConfirmed,
    handleUnavailable: () => recordDependency("lost", "config"),
    handleAvailable: () => recordDependency("regained", "config"),
  };

  function recordRestored(topic: TopicName): void {
    log.record("store_restored", {
      topic,
      configVersion: table?.config.version,
      configAge: configAge.read(),
    });
  }

  function applyConfigRecord({ key, value }: TopicRecord): void {
    if (key !== platform.configKey || value === undefined) return;
    applyConfig(value, "store");
  }

  function applyEvacuation({ key, value }: TopicRecord): void {
    const place = platform.readEvacuatedPlace(key);
    if (place === undefined) return;
    if (value === undefined) evacuation.clearEvacuated(place);
    else evacuation.markEvacuated(place);
  }

  function recordDependency(change: "lost" | "regained", name: string): void {
    log.record(`dependency_${change}`, {
      dependency: name,
      configAge: configAge.read(),
      endpointAge: endpointAge.read(),
    });
  }

  const endpointSink: TopicSink = {
    handleRestored() {
      roster.handleRestored();
      history.handleGap();
      recordRestored("endpoints");
    },
    replaceAll(records) {
      const endpoints = records.flatMap(readEndpoint);
      endpoints.forEach(recordCold);
      roster.replaceAll(endpoints);
      isEndpointsKnown = true;
      history.handleGap();
      history.update(roster.list());
    },
    apply(record) {
      if (record.value === undefined) {
        log.record("endpoint_changed", {
          endpoint: record.key,
          source: "instance_list",
          outcome: "removed",
        });
        return roster.remove(record.key);
      }
      const [endpoint] = readEndpoint(record);
      if (endpoint !== undefined) putEndpoint(endpoint);
      // The newest record of this id does not describe a usable endpoint.
      else roster.remove(record.key);
    },
    recordConfirmed: endpointAge.recordConfirmed,
    handleUnavailable() {
      outdatedUntil = Infinity;
      roster.handleUnavailable();
      recordDependency("lost", "instance_list");
    },
    handleAvailable() {
      outdatedUntil = clock.now() + REGISTRATION_TIME;
      roster.handleAvailable();
      recordDependency("regained", "instance_list");
    },
  };

  const memberSink: TopicSink = {
    handleRestored() {
      recordRestored("members");
      options.onRestored();
    },
    replaceAll(records) {
      options.members.replaceAll(records);
      isMembersKnown = true;
    },
    apply: options.members.apply,
    recordConfirmed: () => {},
    handleUnavailable: () => recordDependency("lost", "members"),
    handleAvailable: () => recordDependency("regained", "members"),
  };

  function putEndpoint(endpoint: EndpointInfo): void {
    recordCold(endpoint);
    if (!roster.put(endpoint)) return;
    log.record("endpoint_changed", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      address: endpoint.address,
      incarnation: endpoint.incarnation,
      version: endpoint.version,
      source: "instance_list",
      outcome: endpoint.state,
    });
  }

  function recordCold(endpoint: EndpointInfo): void {
    if (!cold.record(endpoint)) return;
    log.record("endpoint_changed", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      incarnation: endpoint.incarnation,
      coldLeft: endpoint.coldLeft,
      source: "instance_list",
      outcome: "cold",
    });
  }

  function readEndpoint(record: TopicRecord): EndpointInfo[] {
    if (record.value === undefined) return [];
    const decoded = platform.decodeEndpoint(record);
    if (decoded.isOk) return [decoded.value];
    recordUndecodable(record.key, decoded.error);
    return [];
  }

  /** Logs one line per key: other writers may write to the topic repeatedly. */
  function recordUndecodable(key: string, reason: string): void {
    metrics.countUndecodable("endpoints");
    if (undecodable.has(key) || undecodable.size >= MAX_UNDECODABLE) return;
    undecodable.add(key);
    logger.warn("An endpoint's record cannot be read.", {
      endpoint: key,
      reason: reason.slice(0, MAX_REASON_LENGTH),
    });
  }

  async function follow(signal: AbortSignal): Promise<void> {
    const sinks: Record<TopicName, TopicSink> = {
      config: configSink,
      endpoints: endpointSink,
      members: memberSink,
    };
    const topics = Object.keys(sinks) as TopicName[];
    await Promise.all(topics.map((topic) =>
      keepRunning(() =>
        followTopic({
          clock,
          random,
          signal,
          source: relays[topic].source,
          sink: sinks[topic],
          readTime: configAge.readTime,
          wait: TOPIC_TIMINGS[topic].wait,
          pause: TOPIC_TIMINGS[topic].pause,
        }), { clock, signal, onError: options.onError })
    ));
  }

  function listAt(address: string): readonly EndpointInfo[] {
    return byAddress.get(address) ?? [];
  }

  return {
    readTable: () => table,
    readPublished: () => published,
    applyPublished: (value) => applyConfig(value, "peer"),
    configAge,
    directory,
    history,
    isCold: (endpoint) =>
      cold.isCold(endpoint) || evacuation.isReturning(endpoint.place),
    readEndpointAge: endpointAge.read,
    isEndpointListCurrent: () => clock.now() >= outdatedUntil,
    recordUnreachable: cold.recordUnreachable,
    findPlace: (address) => listAt(address).at(-1)?.place,
    listAt,
    relays,
    describeConfigReads: () => reads.config.describe(),
    hasEndpoints: () => isEndpointsKnown,
    hasMembers: () => isMembersKnown,
    follow,
  };
}

function createAddressIndex(
  endpoints: readonly EndpointInfo[],
): Map<string, EndpointInfo[]> {
  const groups = new Map<string, EndpointInfo[]>();
  for (const endpoint of endpoints) {
    const present = groups.get(endpoint.address);
    if (present === undefined) groups.set(endpoint.address, [endpoint]);
    else present.push(endpoint);
  }
  return groups;
}
