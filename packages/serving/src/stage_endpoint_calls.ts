/**
 * Tracks the calls of a dispatcher to the endpoints of a stage pool: which
 * endpoints accept a call now, and what is in progress at each.
 *
 * @module
 */
import type {
  BatchEndpoint,
  EndpointInfo,
  SendAllowance,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { ResultStorage } from "./result_storage.ts";

/** An endpoint to which calls can be sent. */
export interface CallableEndpoint extends BatchEndpoint {
  /** Key of the incarnation; its result storage is tracked under this key. */
  readonly key: string;
  calls: number;
  freeAt: Millis;
  /** The endpoint was full or completed no piece; no calls before this time. */
  blockedUntil: Millis;
}

/** Options of {@linkcode createStageEndpointCalls}. */
export interface StageEndpointCallsOptions {
  clock: Clock;
  loads: EndpointLoads;
  storage: ResultStorage;
  /** Lists the endpoints that accept new work now. */
  listEndpoints: () => readonly EndpointInfo[];
  allowance: Pick<SendAllowance, "maySend" | "recordSend" | "readWait">;
}

/** The calls in progress at the endpoints of one pool. */
export interface StageEndpointCalls {
  /** Lists the healthy endpoints that accept a call now. */
  list(): CallableEndpoint[];
  /** Counts the healthy endpoints that accept a call now or soon. */
  count(): number;
  begin(endpoint: CallableEndpoint, expected: Millis): void;
  end(endpoint: CallableEndpoint): void;
  /**
   * Pauses calls to an endpoint that is full or completed no piece of a call.
   */
  block(endpoint: CallableEndpoint): void;
}

/** A full endpoint has storage again after about half the time of a call. */
const BLOCK_TIME: Millis = 150;
/** An endpoint whose limit allows a call within this time is counted. */
const MAX_LIMIT_WAIT: Millis = 1_000;

/** Creates the calls of a dispatcher that has sent none. */
export function createStageEndpointCalls(
  { clock, loads, storage, listEndpoints, allowance }:
    StageEndpointCallsOptions,
): StageEndpointCalls {
  const states = new Map<string, CallableEndpoint>();

  function list(): CallableEndpoint[] {
    const endpoints = listEndpoints();
    const keys = new Set(endpoints.map(formatEndpointKey));
    for (const [key, { calls }] of states) {
      if (calls === 0 && !keys.has(key)) states.delete(key);
    }
    const now = clock.now();
    return loads.listHealthy(endpoints).map(({ info, slowdown }) => {
      const key = formatEndpointKey(info);
      const free = { calls: 0, freeAt: 0, roomTaken: 0, blockedUntil: 0 };
      const endpoint = states.get(key) ??
        { key, info, slowdown, ...free };
      states.set(key, endpoint);
      const roomTaken = storage.readUsed(key);
      return Object.assign(endpoint, { info, slowdown, roomTaken });
    }).filter(({ blockedUntil, info }) =>
      blockedUntil <= now && allowance.maySend(info)
    );
  }

  // Endpoints that accept a call soon count: their rate bounds queueing delays.
  function count(): number {
    return loads.listHealthy(listEndpoints())
      .filter(({ info }) => allowance.readWait(info) <= MAX_LIMIT_WAIT).length;
  }

  return {
    list,
    count,
    begin(endpoint, expected) {
      endpoint.calls++;
      endpoint.freeAt = clock.now() + endpoint.slowdown * expected;
      loads.begin(endpoint.info);
      allowance.recordSend(endpoint.info);
    },
    end(endpoint) {
      endpoint.calls--;
    },
    block(endpoint) {
      endpoint.blockedUntil = clock.now() + BLOCK_TIME;
    },
  };
}
