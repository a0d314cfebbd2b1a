/**
 * The peers' protocol of entries that pass routes through: news of each other,
 * and pieces of stage work for the entry that feeds a pool.
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
  WaitsQuestion,
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
import type { TopicNews, TopicQuestion } from "./topic_protocol.ts";
import { topicRepliesSchema, topicRequestsSchema } from "./topic_protocol.ts";

/** What an entry does for its peers. */
export interface ServingPeerHandlers {
  exchange(message: PeerExchange): PeerExchange;
  /** Runs pieces here; the signal aborts when the peer gives them up. */
  runPieces(run: PieceRun, signal: AbortSignal): Promise<PieceRunReply>;
  readWaits(question: WaitsQuestion): PieceWaits;
  releaseResults(release: ResultRelease): void;
  /** Counts runs of contents that this entry keeps count for. */
  reportRuns(report: RunReport): RunReportReply;
  /** The configuration in force here as it was published; null without one. */
  readConfig(): string | null;
  /** Answers from what this entry read of the store, in the same order. */
  readTopics(questions: readonly TopicQuestion[]): Promise<TopicNews[]>;
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

/** Asks peers; `address` is a control address, `ip:port`. */
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
    question: WaitsQuestion,
  ): Promise<Result<PieceWaits, Failure>>;
  releaseResults(
    address: string,
    release: ResultRelease,
  ): Promise<Result<null, Failure>>;
  reportRuns(
    address: string,
    report: RunReport,
  ): Promise<Result<RunReportReply, Failure>>;
  /** The configuration in force there as it was published; null without one. */
  readConfig(address: string): Promise<Result<string | null, Failure>>;
  /** Asks about several topics at once; answered as soon as one has news. */
  readTopics(
    address: string,
    questions: readonly TopicQuestion[],
  ): Promise<Result<TopicNews[], Failure>>;
  close(): Promise<void>;
}

/** A peer that is only short of processor answers within a second. */
const CONFIG_TIMEOUT: Millis = 1_000;
const PING_TIMEOUT: Millis = 1_000;

/** A feeder answers a little after the results are of no use any more. */
const RUN_TIMEOUT_MARGIN: Millis = 250;

/** Admission waits for the answer, and does without it after this time. */
const WAITS_TIMEOUT: Millis = 100;

/** An entry that answers later than it should is paused or cut off. */
const TOPIC_TIMEOUT_MARGIN: Millis = 300;

/** Creates the handle. */
export function createServingPeerClient(
  { clock, siteKey, timeout }: {
    clock: Clock;
    siteKey: string;
    /** Limit of a short exchange; a peer that needs longer is in trouble. */
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
    readWaits: (address, question) =>
      caller.request(
        { address, schema: pieceWaitsSchema, timeout: WAITS_TIMEOUT },
        (client, options) => client.readWaits.query(question, options),
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
    readTopics: (address, questions) =>
      caller.request(
        {
          address,
          schema: topicRepliesSchema,
          timeout: computeMinWait(questions) + TOPIC_TIMEOUT_MARGIN,
        },
        (client, options) => client.readTopics.query([...questions], options),
      ),
    close: () => caller.close(),
  };
}

/** The first question that is answered ends the others. */
function computeMinWait(questions: readonly TopicQuestion[]): Millis {
  return Math.min(
    ...questions.map(({ wait, confirmWait }) => wait + confirmWait),
  );
}
