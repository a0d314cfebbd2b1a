/**
 * The protocol between entries that forward routes: gossip, and pieces of stage
 * work for the dispatcher of a pool.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { Failure } from "@mangoreach/coordination";
import type { AnswerMeter, Clock, HeldBytes, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import * as z from "zod";
import type { ChannelFault } from "./frame_channel.ts";
import { createMessageReader } from "./message_check.ts";
import { createPeerCaller } from "./peer_caller.ts";
import type { PeerConnections } from "./peer_connection_server.ts";
import { acceptPeerConnections } from "./peer_connection_server.ts";
import type { ObserveBytes } from "./peer_procedure.ts";
import {
  createRouter,
  createRouterListener,
  peerProcedure,
} from "./peer_procedure.ts";
import type { PeerExchange } from "./peer_protocol.ts";
import { exchangeSchema } from "./peer_protocol.ts";
import type {
  PieceRun,
  PieceRunReply,
  ResultRelease,
  WaitsQuery,
  WaitsReply,
} from "./piece_protocol.ts";
import {
  pieceRunReplySchema,
  pieceRunSchema,
  releaseSchema,
  waitsQuerySchema,
  waitsReplySchema,
} from "./piece_protocol.ts";
import type {
  CauseQuery,
  CauseReply,
  RunReport,
  RunReportReply,
} from "./run_protocol.ts";
import {
  causeQuerySchema,
  causeReplySchema,
  runReportReplySchema,
  runReportSchema,
} from "./run_protocol.ts";
import type { PauseReport } from "./pause_protocol.ts";
import { pauseReportSchema } from "./pause_protocol.ts";
import type { StreamQuery, StreamReply, StreamRow } from "./stream_protocol.ts";
import {
  streamQuerySchema,
  streamReplySchema,
  streamRowsSchema,
} from "./stream_protocol.ts";
import type { ConnectForPeer } from "./tunnel.ts";
import { createTunnelServer, TUNNEL_PROTOCOL } from "./tunnel.ts";
import type { TopicReply, TopicRequest } from "./topic_protocol.ts";
import { topicRepliesSchema, topicRequestsSchema } from "./topic_protocol.ts";

/** Handlers of the requests of peers. */
export interface ServingPeerHandlers {
  exchange(message: PeerExchange): PeerExchange;
  /** Runs pieces here; the signal aborts when the peer cancels them. */
  runPieces(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  readWaits(query: WaitsQuery): WaitsReply;
  releaseResults(release: ResultRelease): void;
  /** Notes a pause that an endpoint asked for through this entry. */
  reportPause(report: PauseReport): void;
  /** Counts runs of the contents that this entry is an aggregator for. */
  reportRuns(report: RunReport): RunReportReply;
  /** Tells what is known here about suspected causes of crashes. */
  checkCauses(query: CauseQuery): CauseReply;
  /** Remembers streams that began at the peer. */
  recordStreams(streams: readonly StreamRow[]): void;
  findStream(query: StreamQuery): StreamReply;
  /**
   * The configuration in force here as it was published; null if there is
   * none.
   */
  readConfig(): string | null;
  /**
   * Replies with what this entry has read from the store, in the same order.
   */
  readTopics(requests: readonly TopicRequest[]): Promise<TopicReply[]>;
}

const readExchange = createMessageReader(exchangeSchema);
const readPieceRun = createMessageReader(pieceRunSchema);
const readPieceRunReply = createMessageReader(pieceRunReplySchema);
const readWaitsReply = createMessageReader(waitsReplySchema);
const readWaitsQuery = createMessageReader(waitsQuerySchema);
const readRelease = createMessageReader(releaseSchema);
const readPauseReport = createMessageReader(pauseReportSchema);
const readRunReport = createMessageReader(runReportSchema);
const readRunReportReply = createMessageReader(runReportReplySchema);
const readCauseQuery = createMessageReader(causeQuerySchema);
const readCauseReply = createMessageReader(causeReplySchema);
const readStreamRows = createMessageReader(streamRowsSchema);
const readStreamQuery = createMessageReader(streamQuerySchema);
const readStreamReply = createMessageReader(streamReplySchema);
const readTopicRequests = createMessageReader(topicRequestsSchema);
const readTopicReplies = createMessageReader(topicRepliesSchema);
const readNull = createMessageReader(z.null());
const readConfigText = createMessageReader(z.string().nullable());

function createServingRouter(handlers: ServingPeerHandlers) {
  return createRouter({
    exchange: peerProcedure.input(readExchange)
      .mutation(({ input }) => handlers.exchange(input)),
    runPieces: peerProcedure.input(readPieceRun)
      .mutation(({ input, signal }) =>
        handlers.runPieces(input, signal ?? new AbortController().signal)
      ),
    ping: peerProcedure.query(() => null),
    readWaits: peerProcedure.input(readWaitsQuery)
      .query(({ input }) => handlers.readWaits(input)),
    reportRuns: peerProcedure.input(readRunReport)
      .mutation(({ input }) => handlers.reportRuns(input)),
    checkCauses: peerProcedure.input(readCauseQuery)
      .query(({ input }) => handlers.checkCauses(input)),
    recordStreams: peerProcedure.input(readStreamRows)
      .mutation(({ input }) => {
        handlers.recordStreams(input);
        return null;
      }),
    findStream: peerProcedure.input(readStreamQuery)
      .query(({ input }) => handlers.findStream(input)),
    readTopics: peerProcedure.input(readTopicRequests)
      .query(({ input }) => handlers.readTopics(input)),
    readConfig: peerProcedure.query(() => handlers.readConfig()),
    releaseResults: peerProcedure.input(readRelease)
      .mutation(({ input }) => {
        handlers.releaseResults(input);
        return null;
      }),
    reportPause: peerProcedure.input(readPauseReport)
      .mutation(({ input }) => {
        handlers.reportPause(input);
        return null;
      }),
  });
}

type ServingRouter = ReturnType<typeof createServingRouter>;

/** Options of the server's side of the protocol. */
export interface ServingPeerServerOptions {
  handlers: ServingPeerHandlers;
  isPeer: (request: IncomingMessage) => boolean;
  /** Reports the sizes of the messages of exchanges. */
  onExchangeBytes?: ObserveExchangeBytes;
}

/** Observes the size of each message of an exchange. */
export type ObserveExchangeBytes = (
  direction: "in" | "out",
  bytes: number,
) => void;

/** Creates the listener for requests whose path begins with the prefix. */
export function createServingPeerListener(
  { handlers, isPeer, onExchangeBytes }: ServingPeerServerOptions,
): RequestListener {
  return createRouterListener(
    createServingRouter(handlers),
    isPeer,
    createExchangeObserver(onExchangeBytes),
  );
}

/**
 * Accepts connections from peers at a server; peers of older builds call its
 * listener instead.
 */
export function acceptServingPeers(
  server: Server,
  { handlers, isPeer, onExchangeBytes, onFault, connectForPeer }:
    & ServingPeerServerOptions
    & {
      /** Connects to endpoints for peers that do not reach them. */
      connectForPeer: ConnectForPeer;
      /** Called when a connection is closed for a fault of the peer. */
      onFault?: (fault: ChannelFault) => void;
    },
): PeerConnections {
  const serveTunnel = createTunnelServer(connectForPeer);
  return acceptPeerConnections(server, {
    router: createServingRouter(handlers),
    isPeer,
    onBytes: createExchangeObserver(onExchangeBytes),
    upgrades: {
      [TUNNEL_PROTOCOL]: (upgrade) => void serveTunnel(upgrade),
    },
    ...(onFault === undefined ? {} : { onFault }),
  });
}

function createExchangeObserver(
  onExchangeBytes: ObserveExchangeBytes = () => {},
): ObserveBytes {
  return (path, direction, bytes) => {
    if (path === "exchange") onExchangeBytes(direction, bytes);
  };
}

/** Sends requests to peers; `address` is a control address, `ip:port`. */
export interface ServingPeerClient {
  exchange(
    address: string,
    message: PeerExchange,
  ): Promise<Result<PeerExchange, Failure>>;
  /** Whether the peer answers. */
  ping(address: string): Promise<Result<null, Failure>>;
  runPieces(
    address: string,
    run: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>>;
  readWaits(
    address: string,
    query: WaitsQuery,
  ): Promise<Result<WaitsReply, Failure>>;
  releaseResults(
    address: string,
    release: ResultRelease,
  ): Promise<Result<null, Failure>>;
  reportPause(
    address: string,
    report: PauseReport,
  ): Promise<Result<null, Failure>>;
  reportRuns(
    address: string,
    report: RunReport,
  ): Promise<Result<RunReportReply, Failure>>;
  /** Asks what the peer knows about suspected causes of crashes. */
  checkCauses(
    address: string,
    query: CauseQuery,
  ): Promise<Result<CauseReply, Failure>>;
  recordStreams(
    address: string,
    streams: readonly StreamRow[],
  ): Promise<Result<null, Failure>>;
  findStream(
    address: string,
    query: StreamQuery,
  ): Promise<Result<StreamReply, Failure>>;
  /**
   * The configuration in force there as it was published; null if there is
   * none.
   */
  readConfig(address: string): Promise<Result<string | null, Failure>>;
  /**
   * Requests several topics at once; the reply comes as soon as one has
   * records.
   */
  readTopics(
    address: string,
    requests: readonly TopicRequest[],
  ): Promise<Result<TopicReply[], Failure>>;
  close(): Promise<void>;
}

/** A peer that is only short of processor time answers within a second. */
const CONFIG_TIMEOUT: Millis = 1_000;
const PING_TIMEOUT: Millis = 1_000;

/** A dispatcher replies shortly after the deadline of the results. */
const RUN_TIMEOUT_MARGIN: Millis = 250;

/** Admission waits this long for the reply, and then proceeds without it. */
const WAITS_TIMEOUT: Millis = 100;

/** Endpoints go on crashing meanwhile. */
const CAUSE_TIMEOUT: Millis = 300;

/** A caller that resumes a stream waits for the replies. */
const STREAM_TIMEOUT: Millis = 200;

/** An entry that has not replied by then is paused or unreachable. */
const TOPIC_TIMEOUT_MARGIN: Millis = 300;

/** Creates the client. */
export function createServingPeerClient(
  { clock, siteKey, timeout, heldBytes, meter, onFault, onExchangeBytes }: {
    clock: Clock;
    siteKey: string;
    /** Bounds the replies that this process holds; not bounded if left out. */
    heldBytes?: HeldBytes | undefined;
    /** Counts what answers over HTTP cost; not counted if left out. */
    meter?: AnswerMeter | undefined;
    /** Called when a connection is closed for a fault of the peer. */
    onFault?: ((fault: ChannelFault) => void) | undefined;
    /** Timeout of short exchanges, which a healthy peer does not exceed. */
    timeout: Millis;
    /** Reports the sizes of the messages of exchanges. */
    onExchangeBytes?: ObserveExchangeBytes;
  },
): ServingPeerClient {
  const { request, close } = createPeerCaller<ServingRouter>({
    clock,
    siteKey,
    connectTimeout: timeout,
    heldBytes,
    meter,
    onFault,
    onBytes: createExchangeObserver(onExchangeBytes),
  });

  return {
    exchange: (address, message) =>
      request({
        address,
        path: "exchange",
        type: "mutation",
        input: message,
        read: readExchange,
        timeout,
      }),
    ping: (address) =>
      request({
        address,
        path: "ping",
        type: "query",
        input: undefined,
        read: readNull,
        timeout: PING_TIMEOUT,
      }),
    runPieces: (address, run, signal) =>
      request({
        address,
        path: "runPieces",
        type: "mutation",
        input: run,
        read: readPieceRunReply,
        timeout: run.remaining + RUN_TIMEOUT_MARGIN,
        signal,
      }),
    readWaits: (address, query) =>
      request({
        address,
        path: "readWaits",
        type: "query",
        input: query,
        read: readWaitsReply,
        timeout: WAITS_TIMEOUT,
      }),
    releaseResults: (address, release) =>
      request({
        address,
        path: "releaseResults",
        type: "mutation",
        input: release,
        read: readNull,
        timeout,
      }),
    reportPause: (address, report) =>
      request({
        address,
        path: "reportPause",
        type: "mutation",
        input: report,
        read: readNull,
        timeout,
      }),
    reportRuns: (address, report) =>
      request({
        address,
        path: "reportRuns",
        type: "mutation",
        input: report,
        read: readRunReportReply,
        timeout,
      }),
    checkCauses: (address, query) =>
      request({
        address,
        path: "checkCauses",
        type: "query",
        input: query,
        read: readCauseReply,
        timeout: CAUSE_TIMEOUT,
      }),
    recordStreams: (address, streams) =>
      request({
        address,
        path: "recordStreams",
        type: "mutation",
        input: [...streams],
        read: readNull,
        timeout,
      }),
    findStream: (address, query) =>
      request({
        address,
        path: "findStream",
        type: "query",
        input: query,
        read: readStreamReply,
        timeout: STREAM_TIMEOUT,
      }),
    readConfig: (address) =>
      request({
        address,
        path: "readConfig",
        type: "query",
        input: undefined,
        read: readConfigText,
        timeout: CONFIG_TIMEOUT,
      }),
    readTopics: (address, requests) =>
      request({
        address,
        path: "readTopics",
        type: "query",
        input: [...requests],
        read: readTopicReplies,
        timeout: computeMinWait(requests) + TOPIC_TIMEOUT_MARGIN,
        isBulk: true,
      }),
    close,
  };
}

/** The first topic request that is answered completes the whole call. */
function computeMinWait(requests: readonly TopicRequest[]): Millis {
  return Math.min(
    ...requests.map(({ wait, confirmWait }) => wait + confirmWait),
  );
}
