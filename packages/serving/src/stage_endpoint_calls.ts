/**
 * Tracks the calls of a dispatcher to the endpoints of a stage pool: which
 * endpoints accept a call now, what is in progress at each, and how fast they
 * are.
 *
 * @module
 */
import type {
  BatchEndpoint,
  EndpointInfo,
  SendAllowance,
} from "@mangoreach/coordination";
import {
  createEndpointSpeeds,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { ResultStorage } from "./result_storage.ts";

/** An endpoint to which calls can be sent. */
export interface CallableEndpoint extends BatchEndpoint {
  /** Key of the incarnation; its result storage is tracked under this key. */
  readonly key: string;
  calls: number;
  freeAt: Millis;
  timeRatio: number;
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
  allowance: Pick<
    SendAllowance,
    "maySend" | "recordSend" | "recordEnd" | "readWait"
  >;
}

/** The calls in progress at the endpoints of one pool. */
export interface StageEndpointCalls {
  /** Lists the healthy endpoints that accept a call now. */
  list(): CallableEndpoint[];
  /**
   * Sums the speeds of the healthy endpoints that accept a call now or soon.
   * Where speeds are about equal, this is the number of endpoints.
   */
  sumSpeeds(): number;
  begin(endpoint: CallableEndpoint, expected: Millis): void;
  /** A call was rejected if the endpoint had no room for it. */
  end(endpoint: CallableEndpoint, isRejected: boolean): void;
  /** Records a call by the ratio of its measured to its expected time. */
  recordTime(endpoint: CallableEndpoint, ratio: number): void;
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
  const speeds = createEndpointSpeeds(clock);

  /** Lists the healthy endpoints with the time ratios of their calls. */
  function listMeasured(endpoints: readonly EndpointInfo[]) {
    const healthy = loads.listHealthy(endpoints);
    const ratios = speeds.estimateRatios(healthy.map(({ info }) => info));
    return healthy.map(({ info, slowdown }, index) => ({
      info,
      slowdown,
      timeRatio: ratios[index] ?? 1,
    }));
  }

  function list(): CallableEndpoint[] {
    const endpoints = listEndpoints();
    const keys = new Set(endpoints.map(formatEndpointKey));
    for (const [key, { calls }] of states) {
      if (calls === 0 && !keys.has(key)) states.delete(key);
    }
    const now = clock.now();
    return listMeasured(endpoints).map((measured) => {
      const { info } = measured;
      const key = formatEndpointKey(info);
      const free = { calls: 0, freeAt: 0, roomTaken: 0, blockedUntil: 0 };
      const endpoint = states.get(key) ??
        { key, ...measured, ...free };
      states.set(key, endpoint);
      const roomTaken = storage.readUsed(key);
      return Object.assign(endpoint, { ...measured, roomTaken });
    }).filter(({ blockedUntil, info }) =>
      blockedUntil <= now && allowance.maySend(info)
    );
  }

  // Endpoints that accept a call soon count: their rate bounds queueing delays.
  function sumSpeeds(): number {
    return listMeasured(listEndpoints())
      .filter(({ info }) => allowance.readWait(info) <= MAX_LIMIT_WAIT)
      .reduce((sum, { timeRatio }) => sum + 1 / timeRatio, 0);
  }

  return {
    list,
    sumSpeeds,
    begin(endpoint, expected) {
      const { slowdown, timeRatio } = endpoint;
      endpoint.calls++;
      // The ratio is exactly 1 where speeds are about equal.
      const ratio = timeRatio === 1 ? slowdown : timeRatio;
      endpoint.freeAt = clock.now() + ratio * expected;
      loads.begin(endpoint.info);
      allowance.recordSend(endpoint.info);
    },
    end(endpoint, isRejected) {
      endpoint.calls--;
      allowance.recordEnd(endpoint.info, isRejected);
    },
    recordTime: ({ info }, ratio) => speeds.record(info, ratio),
    block(endpoint) {
      endpoint.blockedUntil = clock.now() + BLOCK_TIME;
    },
  };
}
