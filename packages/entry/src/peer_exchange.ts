/**
 * The entry's exchange of state with its peers (gossip): the priorities that miss
 * deadlines, newer configurations, and queries about requests that another entry
 * owns.
 *
 * @module
 */
import type {
  BrittlePools,
  EndpointDirectory,
  EndpointInfo,
  EndpointLimits,
  LeavingMark,
  Membership,
  PeerRecord,
} from "@mangoreach/coordination";
import type {
  OutcomeQuery,
  OutcomeReply,
  PeerClient,
  PeerExchange,
} from "@mangoreach/peers";
import { decodeHeartbeat, startExchangeLoop } from "@mangoreach/peers";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryContext } from "./entry_context.ts";

/** Options of {@linkcode startPeerExchange}. */
export interface PeerExchangeOptions {
  membership: Membership;
  directory: EndpointDirectory;
  peers: PeerClient;
  config: Pick<ConfigFollower, "active" | "adopt">;
  markLeaving: (mark: LeavingMark) => void;
  limits: Pick<EndpointLimits, "chooseUpdates" | "applyUpdate">;
  brittle: Pick<BrittlePools, "listUpdates" | "applyUpdate">;
  /** Counts the requests in progress at this entry. */
  countInFlight: () => number;
  /** The highest priority that recently missed deadlines here, 0 for none. */
  readStrainedPriority: () => number;
  /** Called with the priority that misses deadlines at a peer. */
  onStrainedPriority: (strainedPriority: number) => void;
}

/** A running exchange. */
export interface PeerExchangeLoop {
  /** Answers a message of a peer. */
  answer(message: PeerExchange): PeerExchange;
  /** Replaces the control addresses known from the instance list. */
  addSeeds(entries: readonly EndpointInfo[]): void;
  /** Notifies some peers immediately, such as when this entry starts leaving. */
  notifyPeers(): Promise<void>;
  /** Queries the entry with an incarnation; undefined if it is unreachable. */
  queryOwner(
    incarnation: string,
    query: OutcomeQuery,
  ): Promise<OutcomeReply | undefined>;
  readonly task: Promise<void>;
}

/** Starts exchanging state with peers. */
export function startPeerExchange(
  context: EntryContext,
  options: PeerExchangeOptions,
): PeerExchangeLoop {
  const { clock, settings, random, signal, timeline, metrics } = context;
  const { membership, directory, peers, config } = options;
  const logger = context.logger.forPart("peers");
  let seeds: string[] = [...settings.peers];

  /** Fetches a newer configuration from a peer if the log is unavailable or slow. */
  async function fetchNewerConfig(
    { heartbeats }: PeerExchange,
    address: string,
  ): Promise<void> {
    const version = config.active?.version ?? 0;
    const newest = Math.max(
      ...heartbeats.map((row) => decodeHeartbeat(row).configVersion),
    );
    if (newest <= version) return;
    const newer = await peers.readConfig(address);
    if (newer.isOk && newer.value !== undefined) config.adopt(newer.value);
  }

  function updateSelf(): void {
    membership.updateSelf({
      inFlight: options.countInFlight(),
      strainedPriority: options.readStrainedPriority(),
      configVersion: config.active?.version ?? 0,
    });
  }

  async function queryOwner(
    incarnation: string,
    query: OutcomeQuery,
  ): Promise<OutcomeReply | undefined> {
    const owner = findByIncarnation(membership, incarnation);
    if (owner === undefined) return undefined;
    const reply = await peers.queryOutcome(owner.controlAddress, query);
    return reply.isOk ? reply.value : undefined;
  }

  const loop = startExchangeLoop({
    clock,
    random,
    signal,
    membership,
    directory,
    interval: settings.timing.exchangeMs,
    updateSelf,
    listSeeds: () => seeds,
    exchange: (address, message) => peers.exchange(address, message),
    markLeaving: options.markLeaving,
    chooseLimitUpdates: options.limits.chooseUpdates,
    applyLimitUpdate: options.limits.applyUpdate,
    listBrittleUpdates: options.brittle.listUpdates,
    applyBrittleUpdate: options.brittle.applyUpdate,
    onDiscovered: ({ entry }) =>
      timeline.record("peer_seen", { detail: entry }),
    onHeartbeat: ({ strainedPriority }) =>
      options.onStrainedPriority(strainedPriority),
    onReply: fetchNewerConfig,
    onUnanswered: (address) =>
      logger.debug("No answer from a peer.", { address }),
    onBytes: (direction, bytes) => metrics.countPeerBytes(direction, bytes),
  });

  return {
    answer: loop.answer,
    addSeeds(entries) {
      seeds = [...settings.peers, ...entries.map(({ address }) => address)];
    },
    notifyPeers: () => loop.notifyPeers(),
    queryOwner,
    task: loop.task,
  };
}

function findByIncarnation(
  membership: Membership,
  incarnation: string,
): PeerRecord | undefined {
  return membership.list()
    .find(({ record }) => record.incarnation === incarnation)?.record;
}
