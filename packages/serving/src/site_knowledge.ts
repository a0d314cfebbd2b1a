/**
 * What an entry knows from the platform's store: the configuration in force and
 * the endpoints, and how old that is.
 *
 * @module
 */
import type {
  ColdEndpoints,
  EndpointDirectory,
  EndpointInfo,
  EndpointRoster,
  KnowledgeAge,
  PlaceEvacuation,
  RouteTable,
  ServingConfig,
} from "@mangoreach/coordination";
import {
  createColdEndpoints,
  createEndpointDirectory,
  createEndpointRoster,
  createKnowledgeAge,
  createPlaceEvacuation,
  createRouteTable,
} from "@mangoreach/coordination";
import type { TopicName } from "@mangoreach/peers";
import type { Clock, Logger, Millis } from "@mangoreach/shared";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { TopicSink } from "./keyed_follower.ts";
import { followTopic } from "./keyed_follower.ts";
import type { MemberRegistry } from "./member_registry.ts";
import type { ReadTracker } from "./reading_watch.ts";
import { createReadTracker } from "./reading_watch.ts";
import type { KeyedRecord, KeyedSource } from "./serving_handles.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingPlatform } from "./serving_options.ts";
import { TOPIC_TIMINGS } from "./topic_pace.ts";
import type { ReadableSource, TopicRelay } from "./topic_relay.ts";
import { createTopicRelay } from "./topic_relay.ts";

/** Options of {@linkcode createSiteState}. */
export interface SiteStateOptions {
  clock: Clock;
  /** The time of day; counts on while a process is suspended. */
  readWallTime: () => Millis;
  random: () => number;
  log: DecisionLog;
  logger: Logger;
  metrics: ServingMetrics;
  platform: ServingPlatform;
  /** Lets entries share what they read of a topic. */
  createRelayedSource: (
    topic: TopicName,
    source: KeyedSource,
    reads: ReadTracker,
  ) => ReadableSource;
  /** Told of each configuration that comes into force. */
  onConfig: (config: ServingConfig) => void;
  /** Told when endpoints come, leave or go. */
  onEndpoints: () => void;
  /** Takes what the store says of entries. */
  members: Pick<MemberRegistry, "replaceAll" | "apply">;
  /** Told when the store has come back without what was written to it last. */
  onRestored: () => void;
}

/** What an entry knows of its site. */
export interface SiteState {
  /** The configuration in force; undefined before the first. */
  readTable(): RouteTable | undefined;
  /** The same as it was published. */
  readPublished(): string | undefined;
  /** Takes what a peer has in force, if it is newer. */
  applyPublished(value: string): void;
  readonly configAge: KnowledgeAge;
  readonly directory: EndpointDirectory;
  /** Whether an endpoint is cold, or may be. */
  isCold(endpoint: EndpointInfo): boolean;
  /** How long ago the store confirmed what is known of endpoints. */
  readEndpointAge(): Millis;
  /** Notes that nothing listened at an endpoint's address. */
  recordUnreachable(endpoint: EndpointInfo): void;
  /** The place of the endpoint at an address. */
  findPlace(address: string): string | undefined;
  /** All endpoints that may be listening at an address. */
  listAt(address: string): readonly EndpointInfo[];
  /** Passes topics on to other entries. */
  readonly relays: Readonly<Record<TopicName, TopicRelay>>;
  /** How the configuration is read just now. */
  describeConfigReads(): DecisionFields;
  /** Whether endpoints were read at least once. */
  hasEndpoints(): boolean;
  /** Whether the records of entries were read at least once. */
  hasMembers(): boolean;
  /** Follows the store until the signal aborts. */
  follow(signal: AbortSignal): Promise<void>;
}

/** Entries lapsed in an outage come back within two seconds. */
const RECOVERY_GRACE: Millis = 1_800;
/** A guess that an endpoint has left is believed this long without confirmation. */
const LEAVING_MARK_TTL: Millis = 4_000;

/** Lines about records that cannot be read, at most. */
const MAX_UNDECODABLE = 200;

function readValue({ value }: KeyedRecord): string {
  return value ?? "";
}

/** Creates the knowledge of an entry that has read nothing yet. */
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
  /** Endpoints by their address, which may become another's. */
  let byAddress: ReadonlyMap<string, readonly EndpointInfo[]> = new Map();
  /** Keys whose records could not be read. */
  const undecodable = new Set<string>();
  const configAge = createKnowledgeAge({ clock, readWallTime });
  const endpointAge = createKnowledgeAge({ clock, readWallTime });
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
    source: KeyedSource,
    readContent: (record: KeyedRecord) => string,
  ): TopicRelay {
    return createTopicRelay({
      clock,
      source: options.createRelayedSource(topic, source, reads[topic]),
      age: createKnowledgeAge({ clock, readWallTime }),
      readContent,
    });
  }

  function readEndpointContent(record: KeyedRecord): string {
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
    markLifetime: LEAVING_MARK_TTL,
    isEvacuated: evacuation.isEvacuated,
  });

  const roster: EndpointRoster = createEndpointRoster({
    clock,
    returnGrace: RECOVERY_GRACE,
    onChange(endpoints) {
      byAddress = createAddressIndex(endpoints);
      directory.replaceAll(endpoints);
      metrics.setKnown("endpoints", endpoints.length);
      onEndpoints();
    },
  });

  function applyConfig(value: string, source: "store" | "peer"): void {
    const decoded = platform.decodeConfig(value);
    if (decoded.isErr) {
      return log.record("config_rejected", { reason: decoded.error });
    }
    const config = decoded.value;
    const version = table?.config.version ?? 0;
    // Versions only rise: a late answer of the store must not revert.
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
      evacuation.noteRestored();
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
    recordConfirmed: configAge.noteConfirmed,
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

  function applyConfigRecord({ key, value }: KeyedRecord): void {
    if (key !== platform.configKey || value === undefined) return;
    applyConfig(value, "store");
  }

  function applyEvacuation({ key, value }: KeyedRecord): void {
    const place = platform.readEvacuatedPlace(key);
    if (place === undefined) return;
    if (value === undefined) evacuation.takeBack(place);
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
      roster.noteRestored();
      recordRestored("endpoints");
    },
    replaceAll(records) {
      const endpoints = records.flatMap(readEndpoint);
      endpoints.forEach(recordCold);
      roster.replaceAll(endpoints);
      isEndpointsKnown = true;
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
      // The newest word under its id names nothing that can be used.
      else roster.remove(record.key);
    },
    recordConfirmed: endpointAge.noteConfirmed,
    handleUnavailable() {
      roster.noteAway();
      recordDependency("lost", "instance_list");
    },
    handleAvailable() {
      roster.noteBack();
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
      source: "instance_list",
      outcome: endpoint.state,
    });
  }

  function recordCold(endpoint: EndpointInfo): void {
    if (!cold.note(endpoint)) return;
    log.record("endpoint_changed", {
      endpoint: endpoint.id,
      pool: endpoint.pool,
      incarnation: endpoint.incarnation,
      coldLeft: endpoint.coldLeft,
      source: "instance_list",
      outcome: "cold",
    });
  }

  function readEndpoint(record: KeyedRecord): EndpointInfo[] {
    if (record.value === undefined) return [];
    const decoded = platform.decodeEndpoint(record);
    if (decoded.isOk) return [decoded.value];
    recordUndecodable(record.key, decoded.error);
    return [];
  }

  /** Others write there too, again and again: one line for each key. */
  function recordUndecodable(key: string, reason: string): void {
    if (undecodable.has(key) || undecodable.size >= MAX_UNDECODABLE) return;
    undecodable.add(key);
    logger.warn("An endpoint's record cannot be read.", {
      endpoint: key,
      reason,
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
      followTopic({
        clock,
        random,
        signal,
        source: relays[topic].source,
        sink: sinks[topic],
        readTime: configAge.readTime,
        wait: TOPIC_TIMINGS[topic].wait,
        pause: TOPIC_TIMINGS[topic].pause,
      })
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
    isCold: (endpoint) =>
      cold.isCold(endpoint) || evacuation.isReturning(endpoint.place),
    readEndpointAge: endpointAge.read,
    recordUnreachable: cold.noteUnreachable,
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
