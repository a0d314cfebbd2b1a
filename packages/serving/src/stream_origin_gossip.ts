/**
 * Shares between entries where streams began, so that a caller may resume a
 * stream at any entry, also after the one that began it has gone.
 *
 * Each stream has a few keepers, chosen by rendezvous hashing. The first event
 * does not wait for them.
 *
 * @module
 */
import type {
  BegunStream,
  Membership,
  PeerRecord,
  PeerView,
  PoolVersions,
  StreamOrigin,
  StreamOrigins,
  VersionHistory,
} from "@mangoreach/coordination";
import {
  isStaying,
  listByRendezvous,
  MAX_HISTORY_AGE,
} from "@mangoreach/coordination";
import type { StreamQuery, StreamReply, StreamRow } from "@mangoreach/peers";
import { MAX_POOL_VERSIONS, MAX_STREAM_ROWS } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { StreamLog } from "./stream_log.ts";

/** Options of {@linkcode createStreamOriginGossip}. */
export interface StreamOriginGossipOptions {
  clock: Clock;
  origins: StreamOrigins;
  history: VersionHistory;
  /** Returns how long ago the store confirmed the endpoints. */
  readEndpointAge: () => Millis;
  membership: Pick<Membership, "list">;
  /** Outlives all entries; other entries are faster and cost less. */
  streamLog: StreamLog;
  /** Sends streams to a peer, which remembers them. */
  send: (address: string, rows: readonly StreamRow[]) => Promise<unknown>;
  /** Queries a peer; resolves with undefined if it did not reply. */
  query: (
    address: string,
    query: StreamQuery,
  ) => Promise<StreamReply | undefined>;
}

/** What an entry and its peers know of a stream that a caller resumes. */
export interface StreamKnowledge {
  /** Undefined if no entry that replied remembers it, nor the store. */
  origin: StreamOrigin | undefined;
  /** The versions of each pool, as seen by this entry and by peers. */
  histories: readonly ReadonlyMap<string, PoolVersions>[];
  /** Whether a peer that may know more, or the store, did not reply yet. */
  isPartial: boolean;
}

/** Shares the origins of streams, for one entry. */
export interface StreamOriginGossip {
  /** Remembers a stream here and at its keepers. */
  record(stream: BegunStream): void;
  /** Remembers the streams of a peer. */
  handleRows(rows: readonly StreamRow[]): void;
  answer(query: StreamQuery): StreamReply;
  /** Asks peers and the store for a stream that is not remembered here. */
  find(
    key: string | undefined,
    pools: readonly string[],
  ): Promise<StreamKnowledge>;
}

/** One keeper may be frozen, and another one lost with its place. */
const KEEPERS = 3;
/**
 * Entries differ in which peers they know, so the keepers of a stream may rank
 * lower at another entry.
 */
const QUERIED_PEERS = 8;
/** Streams that begin at nearly the same time are sent together. */
const BATCH_WINDOW: Millis = 5;

/** Creates the gossip of one entry. */
export function createStreamOriginGossip(
  options: StreamOriginGossipOptions,
): StreamOriginGossip {
  const { clock, origins, history, membership } = options;
  /** By the control address of the peer. */
  let pending = new Map<string, StreamRow[]>();

  function record(stream: BegunStream): void {
    origins.record(stream);
    // The calls to the store cost; with one version, any endpoint will do.
    if (history.hasSeveral(stream.origin.pool)) {
      options.streamLog.write(encodeStream(stream));
    }
    for (const { controlAddress } of listKeepers(stream.key)) {
      if (pending.size === 0) clock.startTimer(BATCH_WINDOW, sendPending);
      const rows = pending.get(controlAddress) ?? [];
      pending.set(controlAddress, rows);
      if (rows.length < MAX_STREAM_ROWS) rows.push(encodeStream(stream));
    }
  }

  function sendPending(): void {
    const batches = pending;
    pending = new Map();
    for (const [address, rows] of batches) void options.send(address, rows);
  }

  /** Lists the usable peers, those that rank highest for a stream first. */
  function listPeers(
    key: string,
    mayUse: (view: PeerView) => boolean,
  ): PeerRecord[] {
    return listByRendezvous(
      membership.list().filter(mayUse).map(({ record }) => record),
      { key, readName: ({ entry }) => entry },
    );
  }

  function listKeepers(key: string): PeerRecord[] {
    return listPeers(key, isStaying).slice(0, KEEPERS);
  }

  function answer({ key, pools }: StreamQuery): StreamReply {
    const origin = key === null ? undefined : origins.find(key);
    const stream = key === null || origin === undefined
      ? null
      : encodeStream({ key, origin, lifetime: 0 });
    const isFresh = options.readEndpointAge() <= MAX_HISTORY_AGE;
    return { stream, history: isFresh ? pools.map(encodeVersions) : [] };
  }

  function encodeVersions(pool: string): StreamReply["history"][number] {
    const { watchedFor, versions } = history.read(pool);
    return {
      pool,
      watchedFor,
      versions: versions.slice(0, MAX_POOL_VERSIONS).map(
        ({ version, seenAgo }) => [version ?? UNKNOWN_VERSION, seenAgo],
      ),
    };
  }

  async function find(
    key: string | undefined,
    pools: readonly string[],
  ): Promise<StreamKnowledge> {
    const own = answer({ key: key ?? null, pools: [...pools] });
    if (own.stream !== null) return createKnowledge([own]);
    const peers = listPeers(key ?? "", ({ health }) => health !== "lost")
      .slice(0, QUERIED_PEERS);
    const query = { key: key ?? null, pools: [...pools] };
    const replies = await queryUntilFound(peers, query);
    const known = createKnowledge([own, ...replies]);
    if (known.origin !== undefined) return known;
    const origin = key === undefined ? undefined : await findLogged(key);
    // An entry that has just started may not know its peers yet.
    const isPartial = peers.length === 0 || replies.length < peers.length ||
      (origin === undefined && options.streamLog.isReading());
    return { ...known, origin, isPartial };
  }

  /** Finds a stream whose keepers have all gone. */
  async function findLogged(key: string): Promise<StreamOrigin | undefined> {
    const rows = await options.streamLog.readRows();
    rows.map(decodeStream).forEach(origins.record);
    return origins.find(key);
  }

  /** Resolves once a peer remembers the stream, or all have been asked. */
  function queryUntilFound(
    peers: readonly PeerRecord[],
    query: StreamQuery,
  ): Promise<StreamReply[]> {
    const replies: StreamReply[] = [];
    return new Promise((resolve) => {
      let open = peers.length;
      if (open === 0) resolve(replies);
      for (const { controlAddress } of peers) {
        void options.query(controlAddress, query).then((reply) => {
          if (reply !== undefined) replies.push(reply);
          open--;
          const isFound = reply !== undefined && reply.stream !== null;
          if (isFound || open === 0) resolve(replies);
        });
      }
    });
  }

  return {
    record,
    handleRows: (rows) => rows.map(decodeStream).forEach(origins.record),
    answer,
    find,
  };
}

/** Stands for a version that is not known in messages. */
const UNKNOWN_VERSION = "";

function encodeStream({ key, origin, lifetime }: BegunStream): StreamRow {
  const { pool, endpoint, version = UNKNOWN_VERSION } = origin;
  return [key, pool, endpoint, version, lifetime];
}

function decodeStream(
  [key, pool, endpoint, version, lifetime]: StreamRow,
): BegunStream {
  const origin = { pool, endpoint, version: decodeVersion(version) };
  return { key, origin, lifetime };
}

function decodeVersion(version: string): string | undefined {
  return version === UNKNOWN_VERSION ? undefined : version;
}

function createKnowledge(replies: readonly StreamReply[]): StreamKnowledge {
  const known = replies.flatMap(({ stream }) =>
    stream === null ? [] : [decodeStream(stream).origin]
  );
  const histories = replies.map(({ history }) =>
    new Map(history.map(({ pool, watchedFor, versions }) => {
      const sightings = versions.map(([version, seenAgo]) => ({
        version: decodeVersion(version),
        seenAgo,
      }));
      return [pool, { watchedFor, versions: sightings }] as const;
    }))
  );
  return { origin: known[0], histories, isPartial: false };
}
