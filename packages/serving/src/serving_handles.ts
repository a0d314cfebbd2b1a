/**
 * What serving needs from the outside: endpoints, stage endpoints and a keyed
 * topic. Whoever starts an entry passes in implementations for its platform.
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
import type { HttpFault, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";

/** Header names and values as they came, in order. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** The decoded head of a caller's request. */
export interface RequestHead {
  /** The caller's id of this attempt. */
  id: string;
  method: string;
  /** Path and query, unchanged. */
  target: string;
  host: string;
  /** Time that the caller waits. */
  budget: Millis;
  /** The key of a client account. */
  key: string | undefined;
  promptParts: readonly PromptPart[];
  /** Pieces of each stage, by its number. */
  pieceCounts: readonly number[];
  pieceKey: string | undefined;
  /** Headers that go on to the endpoint unchanged. */
  passedHeaders: HeaderList;
}

/** A whole request of a caller. */
export interface PassedRequest {
  head: RequestHead;
  body: Buffer;
}

/** One attempt at one endpoint. */
export interface EndpointCall {
  endpoint: EndpointInfo;
  request: PassedRequest;
  /** Time left until nobody waits for the answer. */
  remaining: Millis;
  /** The name of the client account, if there are accounts. */
  account: string | undefined;
  /** 0 is the highest. */
  priority: number;
  /** Results of the last stages; undefined where the route has no stages. */
  inputs: readonly string[] | undefined;
  signal: AbortSignal;
}

/** Why an endpoint did not run a request, by its own word. */
export type NotRunReason = "full" | "other_instance" | "input_gone" | "refused";

/** What an endpoint answered. */
export type EndpointAnswer =
  /** Its word that the request did not run there. */
  | (
    & { kind: "not_run"; reason: NotRunReason; load: LoadReport | undefined }
    & Signalled
  )
  /** Not an answer to this request; it may have run. */
  | ({ kind: "invalid"; reason: string } & Signalled)
  | EndpointReply;

/** An answer that may carry an endpoint's signals. */
export interface Signalled {
  /** Missing where the answer says nothing of them, one way or the other. */
  signals?: EndpointSignals;
}

/** An answer to be passed through. */
export interface EndpointReply extends Signalled {
  kind: "reply";
  status: number;
  /** Headers that go on to the caller unchanged. */
  headers: HeaderList;
  body: Readable;
  load: LoadReport | undefined;
}

/** Sends a request to an endpoint; resolves when the head of its answer is in. */
export type CallEndpoint = (
  call: EndpointCall,
) => Promise<Result<EndpointAnswer, HttpFault>>;

/** One piece in a call, with the request it belongs to. */
export interface CalledPiece extends PieceOrder {
  requestId: string;
  /** Milliseconds after which its result is of no use. */
  remaining: Millis;
}

/** One call of stage work. */
export interface StageCall {
  endpoint: EndpointInfo;
  pieces: readonly CalledPiece[];
  /** After this time without an answer the call is given up. */
  timeout: Millis;
}

/** What a stage endpoint says of one piece. */
export type StageResult =
  | { kind: "done"; result: string }
  | { kind: "failed"; reason: "late" | "input_gone" | "no_room" | "error" };

/** What became of a stage call. */
export type StageReply =
  & (
    | { kind: "results"; results: readonly StageResult[] }
    /** Its word that nothing ran. */
    | { kind: "not_run"; reason: NotRunReason }
    | { kind: "invalid"; reason: string }
  )
  & Signalled;

/** Speaks to stage endpoints. */
export interface StageEndpoints {
  run(call: StageCall): Promise<Result<StageReply, HttpFault>>;
  /** Frees results at their maker; of its answer only the signals matter. */
  release(
    address: string,
    results: readonly string[],
  ): Promise<Signalled>;
  /** The address of the endpoint that holds a result. */
  readMaker(result: string): string;
}

/** One key of a keyed topic; without a value it was dropped. */
export interface KeyedRecord {
  key: string;
  value: string | undefined;
}

/** A record as it was read. */
export interface ReadRecord extends KeyedRecord {
  /** The store's offset; missing where the records follow each other. */
  offset?: number | undefined;
}

/** Where a keyed topic is read on. */
export interface TopicPosition {
  /**
   * Rises when the store comes back from an older copy of itself. Offsets are
   * given out again then, so those of two eras cannot be compared.
   */
  era: number;
  offset: number;
}

/** A reading of a keyed topic. */
export interface KeyedReading {
  records: readonly ReadRecord[];
  /** Where to read on. */
  next: TopicPosition;
  /** It holds the newest record of every key, not the changes asked for. */
  isNewest?: boolean;
  /** It comes from another entry, which gathers changes. */
  isRelayed?: boolean;
  /**
   * How old it was when it was asked for; negative if the store confirmed it
   * later, 0 if it is missing.
   */
  age?: Millis;
}

/** Why a topic could not be read. */
export type KeyedFault =
  /**
   * The records from this offset on are gone, or it is of an earlier era: read
   * the newest again.
   */
  | "expired"
  | "unavailable";

/** Reads a topic whose newest record of each key is kept. */
export interface KeyedSource {
  /** The newest record of every key. */
  readNewest(): Promise<Result<KeyedReading, KeyedFault>>;
  /** Records from there on; waits up to `wait` for the first. */
  readFrom(
    position: TopicPosition,
    wait: Millis,
  ): Promise<Result<KeyedReading, KeyedFault>>;
}
