/**
 * Interfaces that a platform implements: calls to endpoints and to stage
 * endpoints, and reads from compacted topics.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type {
  EndpointInfo,
  EndpointSignals,
  LoadReport,
  PromptPart,
} from "@mangoreach/coordination";
import type { PieceOrder } from "@mangoreach/peers";
import type { BodyDelimiter, HttpFault, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";

/** Header names and values, unchanged and in the order received. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** The stream that a request resumes, of which its caller has some events. */
export interface ResumedStream {
  /**
   * The id of the attempt that brought the first event; undefined if the caller
   * does not name it.
   */
  id: string | undefined;
}

/** The decoded head of a caller's request. */
export interface RequestHead {
  /** The id that the caller gave to this attempt. */
  id: string;
  method: string;
  /** Path and query, unchanged. */
  target: string;
  host: string;
  /** How long the caller waits for the answer. */
  budget: Millis;
  /** The API key of a client account, if the request has one. */
  key: string | undefined;
  promptParts: readonly PromptPart[];
  /** The most tokens of the answer; undefined if the caller does not say. */
  outputTokens: number | undefined;
  /** The number of pieces for each stage, in the order of the stages. */
  pieceCounts: readonly number[];
  pieceKey: string | undefined;
  /** Undefined if the request begins anew. */
  resumed: ResumedStream | undefined;
  /** Headers that are forwarded to the endpoint unchanged. */
  forwardedHeaders: HeaderList;
}

/** A complete request of a caller, as it is forwarded to endpoints. */
export interface ForwardedRequest {
  head: RequestHead;
  body: Buffer;
}

/** One attempt at one endpoint. */
export interface EndpointCall {
  endpoint: EndpointInfo;
  request: ForwardedRequest;
  /** Time left until the deadline. */
  remaining: Millis;
  /** The client account; undefined on public routes or without accounts. */
  account: string | undefined;
  /** 0 is the highest. */
  priority: number;
  /** Results of the last stages; undefined if the route has no stages. */
  inputs: readonly string[] | undefined;
  /** Whether the endpoint still takes it once the connection is open. */
  maySend: () => boolean;
  signal: AbortSignal;
}

/** Why an endpoint did not run a request, as it reported. */
export type NotRunReason = "full" | "other_instance" | "input_gone" | "refused";

/** The answer of an endpoint. */
export type EndpointAnswer =
  /** The endpoint reports that it did not run the request. */
  | (
    & { kind: "not_run"; reason: NotRunReason; load: LoadReport | undefined }
    & Signalled
  )
  /** Not a valid answer to this request, which may have run. */
  | ({ kind: "invalid"; reason: string } & Signalled)
  | EndpointReply;

/** An answer that may carry an endpoint's back-pressure signals. */
export interface Signalled {
  /** Missing if the answer neither sets nor clears signals. */
  signals?: EndpointSignals;
  /** The part of its load report that could not be read; bounded in length. */
  unreadLoad?: string;
}

/** A response to forward to the caller. */
export interface EndpointReply extends Signalled {
  kind: "reply";
  status: number;
  /** Headers that are forwarded to the caller unchanged. */
  headers: HeaderList;
  body: Readable;
  delimiter: BodyDelimiter;
  load: LoadReport | undefined;
}

/** Sends a request to an endpoint; resolves with the head of its answer. */
export type CallEndpoint = (
  call: EndpointCall,
) => Promise<Result<EndpointAnswer, HttpFault>>;

/** One piece in a stage call, with the request it belongs to. */
export interface CalledPiece extends PieceOrder {
  requestId: string;
  /** Time after which its result is no longer needed. */
  remaining: Millis;
}

/** One call to a stage endpoint. */
export interface StageCall {
  endpoint: EndpointInfo;
  pieces: readonly CalledPiece[];
  /** The call is abandoned without an answer after this time. */
  timeout: Millis;
  /** Whether the endpoint still takes it once the connection is open. */
  maySend: () => boolean;
}

/** The outcome of one piece, as a stage endpoint reports it. */
export type StageResult =
  | { kind: "done"; result: string }
  | { kind: "failed"; reason: "late" | "input_gone" | "no_room" | "error" };

/** The answer to a stage call. */
export type StageReply =
  & (
    | { kind: "results"; results: readonly StageResult[] }
    /** The endpoint reports that it ran none of the pieces. */
    | { kind: "not_run"; reason: NotRunReason }
    | { kind: "invalid"; reason: string }
  )
  & Signalled;

/** Options of a release of results. */
export interface ReleaseOptions {
  /** Whether it may be sent once more if the first try has no answer. */
  mayRepeat: () => boolean;
}

/** Client of stage endpoints. */
export interface StageEndpoints {
  run(call: StageCall): Promise<Result<StageReply, HttpFault>>;
  /** Frees results at their producer; only the answer's signals are used. */
  release(
    address: string,
    results: readonly string[],
    options: ReleaseOptions,
  ): Promise<Signalled>;
  /** Returns the address of the endpoint that stores a result. */
  findProducer(result: string): string;
}

/** A record of a compacted topic; without a value the key was deleted. */
export interface TopicRecord {
  key: string;
  value: string | undefined;
}

/** A record with its position in the topic. */
export interface PositionedRecord extends TopicRecord {
  /** The store's offset; missing if the records are consecutive. */
  offset?: number | undefined;
}

/** A position in a topic, from which it is read further. */
export interface TopicPosition {
  /**
   * Incremented when the store is restored from an older copy. Offsets are then
   * assigned again, so those of different eras can't be compared.
   */
  era: number;
  offset: number;
}

/** The result of a read from a compacted topic. */
export interface TopicReadResult {
  records: readonly PositionedRecord[];
  /** The position of the next read. */
  next: TopicPosition;
  /** A snapshot with the newest record of every key, instead of changes. */
  isSnapshot?: boolean;
  /** Relayed by another entry, which batches changes. */
  isRelayed?: boolean;
  /**
   * Age of the data at the time of the request; negative if the store confirmed
   * it later, 0 if missing.
   */
  age?: Millis;
}

/** Why a topic could not be read. */
export type TopicReadError =
  /**
   * The records from this offset on are no longer available, or the position is
   * of an earlier era: read a snapshot.
   */
  | "expired"
  | "unavailable";

/** Reads a compacted topic, which keeps the newest record of each key. */
export interface TopicSource {
  /** Reads a snapshot: the newest record of every key. */
  readSnapshot(): Promise<Result<TopicReadResult, TopicReadError>>;
  /** Reads records from a position; waits up to `wait` for the first one. */
  readFrom(
    position: TopicPosition,
    wait: Millis,
  ): Promise<Result<TopicReadResult, TopicReadError>>;
}
