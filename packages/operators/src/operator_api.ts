/**
 * Client of the operator API on the control port of entries.
 *
 * @module
 */
import type {
  ClassAttainment,
  Failure,
  PeerState,
  PoolStatus,
} from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type {
  Clock,
  HttpCall,
  HttpReply,
  Millis,
  TimelineEvent,
} from "@mangoreach/shared";
import {
  createHttpClient,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import { Result } from "true-myth";

/** Paths on the control port. */
export const OPERATOR_PATHS = {
  status: "/operators/status",
  drain: "/operators/drain",
  timeline: "/operators/timeline",
  metrics: "/metrics",
  health: "/healthz",
  ready: "/readyz",
} as const;

/** The state of one entry. */
export interface EntryStatus {
  entry: string;
  incarnation: string;
  place: string;
  dataCentre: string;
  callerAddress: string;
  state: PeerState;
  isReady: boolean;
  configVersion: number;
  isLogReachable: boolean;
  inProgress: number;
  peers: { entry: string; health: string; configVersion: number }[];
  attainment: ClassAttainment[];
  pools: NamedPoolStatus[];
}

/** The state of a pool as seen by one entry. */
export interface NamedPoolStatus extends PoolStatus {
  pool: string;
  /** Seconds that endpoints spent on requests that were answered in time. */
  usefulSeconds: number;
  /** Seconds that endpoints spent on all other requests. */
  wastedSeconds: number;
}

/** Options of {@linkcode createOperatorClient}. */
export interface OperatorClientOptions {
  clock: Clock;
  operatorKey: string;
  timeoutMs: Millis;
}

/** Reads the status and timeline of entries and drains them. */
export interface OperatorClient {
  readStatus(address: string): Promise<Result<EntryStatus, Failure>>;
  readTimeline(address: string): Promise<Result<TimelineEvent[], Failure>>;
  drain(address: string): Promise<Result<void, Failure>>;
  close(): Promise<void>;
}

const OK = 200;

/** Creates the client. */
export function createOperatorClient(
  { clock, operatorKey, timeoutMs }: OperatorClientOptions,
): OperatorClient {
  const http = createHttpClient({ maxReplyBytes: 33_554_432 });

  async function callEntry(
    call: Pick<HttpCall, "method" | "address" | "path">,
  ): Promise<Result<HttpReply, Failure>> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({
      ...call,
      headers: { authorization: `Bearer ${operatorKey}` },
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr) {
      return Result.err(createCallFailure(call.address, reply.error));
    }
    if (reply.value.status === OK) return Result.ok(reply.value);
    return Result.err(createFailure("rejected", {
      verdict: "not_run",
      message: `${call.address}: answered ${reply.value.status}`,
    }));
  }

  async function readJson<T>(
    address: string,
    path: string,
  ): Promise<Result<T, Failure>> {
    const reply = await callEntry({ method: "GET", address, path });
    return reply.map((value) => readReplyJson(value) as T);
  }

  return {
    readStatus: (address) =>
      readJson<EntryStatus>(address, OPERATOR_PATHS.status),
    readTimeline: (address) =>
      readJson<TimelineEvent[]>(address, OPERATOR_PATHS.timeline),
    async drain(address) {
      const reply = await callEntry({
        method: "POST",
        address,
        path: OPERATOR_PATHS.drain,
      });
      return reply.map(() => undefined);
    },
    close: http.close,
  };
}
