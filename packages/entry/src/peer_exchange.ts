/**
 * The entry's exchange of peer state: strain, newer configurations, and
 * questions about requests that another entry owns.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  EndpointLimits,
  LeavingMark,
  Membership,
  PeerRecord,
} from "@mangoreach/coordination";
import type {
  OutcomeQuestion,
  OutcomeReply,
  PeerClient,
  PeerExchange,
} from "@mangoreach/peers";
import { decodeHeartbeat, startExchangeLoop } from "@mangoreach/peers";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryContext } from "./entry_context.ts";

/** What the exchange works on. */
export interface PeerExchangeOptions {
  membership: Membership;
  directory: EndpointDirectory;
  peers: PeerClient;
  config: Pick<ConfigFollower, "active" | "adopt">;
  markLeaving: (mark: LeavingMark) => void;
  limits: Pick<EndpointLimits, "chooseNews" | "takeNews">;
  /** Requests in progress here. */
  countInFlight: () => number;
  /** The highest priority that missed deadlines here lately, 0 for none. */
  readStrainedPriority: () => number;
  /** Told what another entry is strained by. */
  onStrainedPriority: (strainedPriority: number) => void;
}

/** A running exchange. */
export interface PeerExchangeLoop {
  /** Answers a message of a peer. */
  answer(message: PeerExchange): PeerExchange;
  /** Takes control addresses from the instance list. */
  addSeeds(entries: readonly EndpointInfo[]): void;
  /** Tells some peers at once, such as when this entry begins to leave. */
  notifyPeers(): Promise<void>;
  /** Asks the entry of an incarnation; undefined when it cannot be asked. */
  queryOwner(
    incarnation: string,
    query: OutcomeQuestion,
  ): Promise<OutcomeReply | undefined>;
  readonly task: Promise<void>;
}

/** Starts to exchange peer state. */
export function startPeerExchange(
  context: EntryContext,
  options: PeerExchangeOptions,
): PeerExchangeLoop {
  const { clock, settings, random, signal, timeline, metrics } = context;
  const { membership, directory, peers, config } = options;
  const logger = context.logger.forPart("peers");
  let seeds: string[] = [...settings.peers];

  /** Takes a newer configuration from a peer while the log is away or slow. */
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
    membership.beat({
      inFlight: options.countInFlight(),
      strainedPriority: options.readStrainedPriority(),
      configVersion: config.active?.version ?? 0,
    });
  }

  async function queryOwner(
    incarnation: string,
    query: OutcomeQuestion,
  ): Promise<OutcomeReply | undefined> {
    const owner = findByIncarnation(membership, incarnation);
    if (owner === undefined) return undefined;
    const reply = await peers.askOutcome(owner.controlAddress, query);
    return reply.isOk ? reply.value : undefined;
  }

  const loop = startExchangeLoop({
    clock,
    random,
    signal,
    membership,
    directory,
    interval: settings.timing.exchangeMs,
    beat: updateSelf,
    listSeeds: () => seeds,
    exchange: (address, message) => peers.exchange(address, message),
    markLeaving: options.markLeaving,
    chooseLimitNews: options.limits.chooseNews,
    noteLimitNews: options.limits.takeNews,
    onIntroduced: ({ entry }) =>
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
    notifyPeers: () => loop.tellPeers(),
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
