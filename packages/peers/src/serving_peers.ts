/**
 * The protocol between entries that forward routes: gossip, and pieces of stage
 * work for the dispatcher of a pool.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";
import type { Failure, PieceWaits } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import * as z from "zod";
import { createPeerCaller } from "./peer_caller.ts";
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
} from "./piece_protocol.ts";
import {
  pieceRunReplySchema,
  pieceRunSchema,
  pieceWaitsSchema,
  releaseSchema,
  waitsQuerySchema,
} from "./piece_protocol.ts";
import type { RunReport, RunReportReply } from "./run_protocol.ts";
import { runReportReplySchema, runReportSchema } from "./run_protocol.ts";
import type { TopicReply, TopicRequest } from "./topic_protocol.ts";
import { topicRepliesSchema, topicRequestsSchema } from "./topic_protocol.ts";

/** Handlers of the requests of peers. */
export interface ServingPeerHandlers {
  exchange(message: PeerExchange): PeerExchange;
  /** Runs pieces here; the signal aborts when the peer cancels them. */
  runPieces(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  readWaits(query: WaitsQuery): PieceWaits;
  releaseResults(release: ResultRelease): void;
  /** Counts runs of the contents that this entry is an aggregator for. */
  reportRuns(report: RunReport): RunReportReply;
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

function createServingRouter(handlers: ServingPeerHandlers) {
  return createRouter({
    exchange: peerProcedure.input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    runPieces: peerProcedure.input(pieceRunSchema)
      .mutation(({ input, signal }) =>
        handlers.runPieces(input, signal ?? new AbortController().signal)
      ),
    ping: peerProcedure.query(() => null),
    readWaits: peerProcedure.input(waitsQuerySchema)
      .query(({ input }) => handlers.readWaits(input)),
    reportRuns: peerProcedure.input(runReportSchema)
      .mutation(({ input }) => handlers.reportRuns(input)),
    readTopics: peerProcedure.input(topicRequestsSchema)
      .query(({ input }) => handlers.readTopics(input)),
    readConfig: peerProcedure.query(() => handlers.readConfig()),
    releaseResults: peerProcedure.input(releaseSchema)
      .mutation(({ input }) => {
        handlers.releaseResults(input);
        return null;
      }),
  });
}

type ServingRouter = ReturnType<typeof createServingRouter>;

/** Creates the listener for requests whose path begins with the prefix. */
export function createServingPeerListener(
  { handlers, isPeer }: {
    handlers: ServingPeerHandlers;
    isPeer: (request: IncomingMessage) => boolean;
  },
): RequestListener {
  return createRouterListener(createServingRouter(handlers), isPeer);
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
  ): Promise<Result<PieceWaits, Failure>>;
  releaseResults(
    address: string,
    release: ResultRelease,
  ): Promise<Result<null, Failure>>;
  reportRuns(
    address: string,
    report: RunReport,
  ): Promise<Result<RunReportReply, Failure>>;
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

/** An entry that has not replied by then is paused or unreachable. */
const TOPIC_TIMEOUT_MARGIN: Millis = 300;

/** Creates the client. */
export function createServingPeerClient(
  { clock, siteKey, timeout }: {
    clock: Clock;
    siteKey: string;
    /** Timeout of short exchanges, which a healthy peer does not exceed. */
    timeout: Millis;
  },
): ServingPeerClient {
  const caller = createPeerCaller<ServingRouter>({
    clock,
    siteKey,
    connectTimeout: timeout,
  });

  return {
    exchange: (address, message) =>
      caller.request(
        { address, schema: exchangeSchema, timeout },
        (client, options) => client.exchange.mutate(message, options),
      ),
    ping: (address) =>
      caller.request(
        { address, schema: z.null(), timeout: PING_TIMEOUT },
        (client, options) => client.ping.query(undefined, options),
      ),
    runPieces: (address, run, signal) =>
      caller.request(
        {
          address,
          schema: pieceRunReplySchema,
          timeout: run.remaining + RUN_TIMEOUT_MARGIN,
          signal,
        },
        (client, options) => client.runPieces.mutate(run, options),
      ),
    readWaits: (address, query) =>
      caller.request(
        { address, schema: pieceWaitsSchema, timeout: WAITS_TIMEOUT },
        (client, options) => client.readWaits.query(query, options),
      ),
    releaseResults: (address, release) =>
      caller.request(
        { address, schema: z.null(), timeout },
        (client, options) => client.releaseResults.mutate(release, options),
      ),
    reportRuns: (address, report) =>
      caller.request(
        { address, schema: runReportReplySchema, timeout },
        (client, options) => client.reportRuns.mutate(report, options),
      ),
    readConfig: (address) =>
      caller.request(
        { address, schema: z.string().nullable(), timeout: CONFIG_TIMEOUT },
        (client, options) => client.readConfig.query(undefined, options),
      ),
    readTopics: (address, requests) =>
      caller.request(
        {
          address,
          schema: topicRepliesSchema,
          timeout: computeMinWait(requests) + TOPIC_TIMEOUT_MARGIN,
        },
        (client, options) => client.readTopics.query([...requests], options),
      ),
    close: () => caller.close(),
  };
}

/** The first topic request that is answered completes the whole call. */
function computeMinWait(requests: readonly TopicRequest[]): Millis {
  return Math.min(
    ...requests.map(({ wait, confirmWait }) => wait + confirmWait),
  );
}
