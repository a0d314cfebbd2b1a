/**
 * The configuration that operators publish for routes that are proxied to
 * endpoints: which pool answers which path, within which time, for which client
 * accounts.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";

/** How requests of a route may be repeated. */
export type RouteKind = "idempotent" | "non_idempotent" | "stream";

/** A pool that answers a share of a route's requests. */
export interface WeightedPool {
  pool: string;
  weight: number;
}

/** A stage of work that must complete before a request may run. */
export interface RouteStage {
  pool: string;
  /** Indices of the stages whose results it needs. */
  after: readonly number[];
  /** Approximate size of the result of one piece, in bytes. */
  resultBytes: number;
}

/** One published route. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** The maximum time until the final answer. */
  timeout: Millis;
  /**
   * The latency objective: for the whole answer, or the first event of a
   * stream.
   */
  objective: Millis;
  /** 0 is the highest. */
  priority: number;
  pools: readonly WeightedPool[];
  /** The number of endpoints on which one attempt of a caller may run. */
  maxAttempts: number;
  stages: readonly RouteStage[];
  /** Whether requests need no account key. */
  isPublic: boolean;
  /** Whether a broken stream may resume at another endpoint. */
  isResumable: boolean;
}

/** How the endpoints of a stage pool process batches. */
export interface BatchSpec {
  /** Number of calls that an endpoint runs at once. */
  slots: number;
  /** Maximum number of pieces in one call. */
  maxPieces: number;
  /** Fixed time of a call, independent of its pieces. */
  callTime: Millis;
  /** Approximate additional time of each piece. */
  pieceTime: Millis;
  /** Memory for results at one endpoint, in bytes. */
  storageBytes: number;
  /** How long an endpoint keeps a result that is not freed. */
  resultLifetime: Millis;
}

/** Computes the time of a full call. */
export function computeFullCall(
  { callTime, pieceTime, maxPieces }: BatchSpec,
): Millis {
  return callTime + maxPieces * pieceTime;
}

/** How model engines of a pool run. */
export interface EngineSpec {
  /** Number of requests that one engine runs at once. */
  slots: number;
  /** Number of tokens that fit into one engine's memory. */
  tokenCapacity: number;
}

/** One published pool. */
export interface PoolSpec {
  name: string;
  /**
   * Number of connections that one endpoint accepts from all callers together.
   */
  maxConnections: number;
  /**
   * Requests a second that a cold endpoint tolerates; 0 if it is never cold.
   */
  coldRate: number;
  batching: BatchSpec | undefined;
  engine: EngineSpec | undefined;
}

/** Limits on the size of requests and on how slowly they may be sent. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeout: Millis;
  idleTimeout: Millis;
}

/** One client account. */
export interface AccountSpec {
  name: string;
  keys: readonly string[];
  /** Overrides the route's priority. */
  priority: number | undefined;
}

/** One published configuration. */
export interface ServingConfig {
  version: number;
  routes: readonly Route[];
  pools: readonly PoolSpec[];
  limits: RequestLimits;
  /** Undefined if no keys are required. */
  accounts: readonly AccountSpec[] | undefined;
}
