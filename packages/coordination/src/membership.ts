/**
 * What entries know of each other. Each exchanges a bounded number of records
 * with a bounded number of others, so the cost for one entry does not grow with
 * the fleet; what grows is only the age of news from far away.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { drawSome } from "./draw.ts";
import { listStrong } from "./strong_members.ts";

/** What an entry says of itself. */
export interface PeerRecord {
  /** Name of the entry from its settings. */
  entry: string;
  /** Changes with every start of the process. */
  incarnation: string;
  /** When this incarnation started; a later one replaces an earlier one. */
  startedAt: Millis;
  place: string;
  /** Where callers connect, `ip:port`. */
  callerAddress: string;
  /** Where peers and operators connect, `ip:port`. */
  controlAddress: string;
  state: PeerState;
  /** Rises by one with every heartbeat. */
  heartbeat: number;
  configVersion: number;
  /** Requests in progress. */
  inFlight: number;
  /** Processor time that it may use, in cores; what many need is done by large ones. */
  capacity: number;
  /** The highest priority that missed deadlines there lately, 0 for none. */
  strainedPriority: number;
}

/** Whether an entry takes new work. */
export type PeerState =
  | "live"
  /**
   * It lacks what it needs for callers, as after a start or while the store is
   * away, but stays: what it does for other entries it does on.
   */
  | "unready"
  | "leaving";

/** How certain this entry is of another. */
export type PeerHealth = "alive" | "suspected" | "lost";

/** A peer as seen from here. */
export interface PeerView {
  record: PeerRecord;
  /** Time since its heartbeat last rose here. */
  age: Millis;
  health: PeerHealth;
}

/** A peer that could not be reached. */
export interface PeerSuspicion {
  incarnation: string;
  /** The last that was heard of it. */
  heartbeat: number;
}

/** Options of {@linkcode createMembership}. */
export interface MembershipOptions {
  clock: Clock;
  self: PeerRecord;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  suspectAfter: Millis;
  loseAfter: Millis;
  /** How many times longer news may take among so many peers. */
  scalePatience?: (peers: number) => number;
}

/** The peers of one entry. */
export interface Membership {
  readonly self: PeerRecord;
  /** Changes what this entry says of itself and raises its heartbeat. */
  beat(change: Partial<Pick<PeerRecord, OwnChange>>): void;
  /** Takes in records of others; returns those that were news. */
  merge(records: readonly PeerRecord[]): PeerRecord[];
  /** Takes in records that may be old: suspected until there is later news. */
  mergeDoubtful(records: readonly PeerRecord[]): PeerRecord[];
  /**
   * Notes that a peer could not be reached; it is suspected until it is heard of
   * with a later heartbeat. Returns whether that was news.
   */
  markSuspected(suspicion: PeerSuspicion): boolean;
  /** Some suspicions of late, to be passed on, at most `limit`. */
  chooseSuspicions(limit: number): PeerSuspicion[];
  list(): PeerView[];
  /**
   * Records to send: one's own first, then others drawn at random, at most
   * `limit`; in a mixed fleet those of some large instances besides, on which all
   * must agree.
   */
  chooseRecords(limit: number): PeerRecord[];
  /** Whom to exchange with next: mostly own place, sometimes another. */
  choosePartner(): PeerRecord | undefined;
}

type OwnChange =
  | "state"
  | "configVersion"
  | "inFlight"
  | "strainedPriority";

interface KnownPeer {
  record: PeerRecord;
  seenAt: Millis;
  suspected?: { heartbeat: number; at: Millis };
}

const OTHER_PLACE_SHARE = 0.3;
/** A lost peer is tried now and then, so that two halves of a cut find back. */
const LOST_PARTNER_SHARE = 0.1;
/** Large instances whose heartbeats go along with every message. */
const MAX_STRONG_RECORDS = 8;
/** A suspicion is passed on for so long. */
const SUSPICION_LIFETIME: Millis = 5_000;
/** A peer not heard of for this many times `loseAfter` is forgotten. */
const FORGET_FACTOR = 30;

/** Creates the view of an entry that knows only itself. */
export function createMembership(
  options: MembershipOptions,
): Membership {
  const { clock, self, random, suspectAfter, loseAfter } = options;
  const { scalePatience = () => 1 } = options;
  const peers = new Map<string, KnownPeer>();
  let own = self;

  function beat(change: Partial<Pick<PeerRecord, OwnChange>>): void {
    own = { ...own, ...change, heartbeat: own.heartbeat + 1 };
  }

  function merge(records: readonly PeerRecord[]): PeerRecord[] {
    return records.filter(mergeRecord);
  }

  function mergeDoubtful(records: readonly PeerRecord[]): PeerRecord[] {
    const added = records.filter(mergeRecord);
    const seenAt = clock.now() - scalePatience(peers.size) * suspectAfter;
    for (const record of added) peers.set(record.entry, { record, seenAt });
    return added;
  }

  function mergeRecord(record: PeerRecord): boolean {
    if (record.entry === own.entry) {
      outrank(record);
      return false;
    }
    const known = peers.get(record.entry);
    if (known !== undefined && !isNewer(record, known.record)) return false;
    const isSame = known?.record.incarnation === record.incarnation;
    peers.set(record.entry, {
      record,
      seenAt: clock.now(),
      ...(isSame && known.suspected ? { suspected: known.suspected } : {}),
    });
    return true;
  }

  function markSuspected({ incarnation, heartbeat }: PeerSuspicion): boolean {
    const peer = [...peers.values()]
      .find(({ record }) => record.incarnation === incarnation);
    if (peer === undefined || peer.record.heartbeat > heartbeat) return false;
    if ((peer.suspected?.heartbeat ?? -1) >= heartbeat) return false;
    peer.suspected = { heartbeat, at: clock.now() };
    return true;
  }

  function isSuspected({ record, suspected }: KnownPeer): boolean {
    return suspected !== undefined && record.heartbeat <= suspected.heartbeat;
  }

  function chooseSuspicions(limit: number): PeerSuspicion[] {
    const now = clock.now();
    const recent = [...peers.values()].flatMap((peer) => {
      const { record: { incarnation }, suspected } = peer;
      if (suspected === undefined || !isSuspected(peer)) return [];
      if (now - suspected.at > SUSPICION_LIFETIME) return [];
      return [{ incarnation, heartbeat: suspected.heartbeat }];
    });
    return drawSome(recent, { count: limit, random });
  }

  /**
   * The time of day may have been set back before this process started: by its
   * start it seems older than its predecessor, and peers would drop its news.
   */
  function outrank({ incarnation, startedAt }: PeerRecord): void {
    if (incarnation === own.incarnation || startedAt < own.startedAt) return;
    own = { ...own, startedAt: startedAt + 1 };
  }

  function list(): PeerView[] {
    const now = clock.now();
    const views: PeerView[] = [];
    for (const [entry, peer] of peers) {
      const age = now - peer.seenAt;
      if (age > FORGET_FACTOR * loseAfter) peers.delete(entry);
      else {views.push({
          record: peer.record,
          age,
          health: judgeHealth(peer, age),
        });}
    }
    return views;
  }

  function judgeHealth(peer: KnownPeer, age: Millis): PeerHealth {
    const patience = scalePatience(peers.size);
    if (age >= patience * loseAfter) return "lost";
    const isSilent = age >= patience * suspectAfter;
    return isSilent || isSuspected(peer) ? "suspected" : "alive";
  }

  /**
   * Not the freshest: those are the same few in every message, and news of the
   * others stays where it is. At 66 peers nine in ten heartbeats are known within
   * 7.3 s in place of 12.6 s (replay of 40 s, ages at all peers).
   */
  function chooseRecords(limit: number): PeerRecord[] {
    const known = list()
      .filter(({ health }) => health !== "lost")
      .map(({ record }) => record);
    const strong = listStrong(known, ({ capacity }) => capacity);
    const isMixed = strong.length < known.length;
    const always = new Set(
      isMixed ? drawSome(strong, { count: MAX_STRONG_RECORDS, random }) : [],
    );
    const others = known.filter((record) => !always.has(record));
    return [own, ...always, ...drawSome(others, { count: limit - 1, random })];
  }

  function choosePartner(): PeerRecord | undefined {
    const views = list();
    const isLostTurn = random() < LOST_PARTNER_SHARE;
    const usable = views.filter(({ health }) =>
      (health === "lost") === isLostTurn
    );
    const candidates = usable.length > 0 ? usable : views;
    const wantsOther = random() < OTHER_PLACE_SHARE;
    const preferred = candidates.filter(({ record }) =>
      (record.place !== own.place) === wantsOther
    );
    const from = preferred.length > 0 ? preferred : candidates;
    return from[Math.floor(random() * from.length)]?.record;
  }

  return {
    get self() {
      return own;
    },
    beat,
    merge,
    mergeDoubtful,
    markSuspected,
    chooseSuspicions,
    list,
    chooseRecords,
    choosePartner,
  };
}

/** Whether `a` is later news than `b` about the same entry. */
function isNewer(a: PeerRecord, b: PeerRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.startedAt > b.startedAt;
  return a.heartbeat > b.heartbeat;
}
