/**
 * Checks whether an entry's configuration is the one that its peers have in
 * force, and fetches theirs if it is newer.
 *
 * @module
 */
import type { Membership } from "@mangoreach/coordination";
import {
  createDiscoveryCheck,
  createPeerVersionTracker,
} from "@mangoreach/coordination";
import type { ServingPeerClient } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { createConfigAgeLog } from "./config_age_log.ts";
import type { DecisionLog } from "./decision_log.ts";
import { refreshFromPeer } from "./peer_config.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { SiteState } from "./site_state.ts";

/** Options of {@linkcode createConfigFreshness}. */
export interface ConfigFreshnessOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "setConfigAge">;
  siteState: Pick<
    SiteState,
    "readTable" | "configAge" | "applyPublished" | "describeConfigReads"
  >;
  /** Whether peers may know a newer version, but none has replied yet. */
  isAwaitingPeers: () => boolean;
}

/** The peers whose configurations are followed in addition to the store. */
export interface FollowedPeers {
  membership: Pick<Membership, "list">;
  peers: Pick<ServingPeerClient, "readConfig">;
}

/** Compares the configuration of an entry with those of its peers. */
export interface ConfigFreshness {
  /** Returns the version in force here; 0 before the first. */
  readVersion(): number;
  /** Records the newest version that a live peer has. */
  recordPeerVersion(version: number): void;
  /** Records the version of one peer, which may be newer. */
  noteVersion(version: number): void;
  /** Whether a peer has a version that this entry should have by now. */
  isBehindPeers(): boolean;
  /**
   * Logs a stale configuration and fetches newer ones from peers until the
   * signal aborts.
   */
  follow(signal: AbortSignal, followed: FollowedPeers): Promise<void>;
}

/** Each check wakes the process; the age limit for keys is in seconds. */
const CHECK_INTERVAL: Millis = 400;

/** Creates the check of an entry that knows no configuration yet. */
export function createConfigFreshness(
  { clock, random, log, metrics, siteState, isAwaitingPeers }:
    ConfigFreshnessOptions,
): ConfigFreshness {
  const versions = createPeerVersionTracker(clock);
  const isDiscovering = createDiscoveryCheck(clock);

  function readVersion(): number {
    return siteState.readTable()?.config.version ?? 0;
  }

  function noteVersion(version: number): void {
    if (version > versions.readNewest()) versions.record(version);
  }

  function hasNewerPeer(): boolean {
    return versions.readNewest() > readVersion();
  }

  /**
   * What peers tell an entry that has just started is older than its own
   * reading of the store, which may have come back from a copy.
   */
  function isBehindPeers(): boolean {
    if (isAwaitingPeers()) return true;
    if (hasNewerPeer() && isDiscovering()) return true;
    return versions.isBehind(readVersion(), siteState.configAge.read());
  }

  async function follow(
    signal: AbortSignal,
    { membership, peers }: FollowedPeers,
  ): Promise<void> {
    const ageLog = createConfigAgeLog({
      clock,
      log,
      metrics,
      readAge: siteState.configAge.read,
      describe: () => ({
        configVersion: readVersion(),
        peersVersion: versions.readNewest(),
        ...siteState.describeConfigReads(),
      }),
    });
    while (!signal.aborted) {
      ageLog.check();
      if (hasNewerPeer() && isBehindPeers()) {
        await refreshFromPeer({
          random,
          listNewerPeers: () => listNewerPeers(membership),
          fetch: async (address) => {
            const reply = await peers.readConfig(address);
            return reply.isOk ? reply.value ?? undefined : undefined;
          },
          apply: siteState.applyPublished,
        });
      }
      await clock.sleep(CHECK_INTERVAL, signal);
    }
  }

  function listNewerPeers(membership: FollowedPeers["membership"]): string[] {
    return membership.list()
      .filter(({ health, record }) =>
        health !== "lost" && record.configVersion > readVersion()
      )
      .map(({ record }) => record.controlAddress);
  }

  return {
    readVersion,
    recordPeerVersion: versions.record,
    noteVersion,
    isBehindPeers,
    follow,
  };
}
