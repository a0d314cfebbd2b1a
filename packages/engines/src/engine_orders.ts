/**
 * Orders to model engines: which models, versions and adapters to load and
 * which role to run in. An order contains the complete desired state, so a
 * delayed or repeated order does no lasting harm: the next order replaces it.
 *
 * Wire format: `POST /orders` with `{"fence":…,"desired":…}` returns 200 with
 * `{"fence":…}`, or 409 with `{"highest_fence":…}` from an engine that checks
 * fencing numbers. `GET /state` returns the state that the engine is in.
 *
 * @module
 */
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type {
  AnswerMeter,
  Clock,
  HttpCall,
  HttpReply,
  Millis,
} from "@mangoreach/shared";
import {
  createHttpClient,
  createListSchema,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import * as z from "zod";

/** Which phases of generation an engine runs: prefill, decode or both. */
export type EngineRole = "both" | "prefill" | "decode";

/** A model, the version of its weights, and its adapters. */
export interface ModelAssignment {
  name: string;
  version: string;
  adapters: string[];
}

/** The complete state that an engine is to reach. */
export interface DesiredState {
  models: ModelAssignment[];
  role: EngineRole;
}

const stateSchema = z.object({
  incarnation: z.string(),
  fence: z.number().int(),
  models: createListSchema(z.object({
    name: z.string(),
    version: z.string(),
    adapters: createListSchema(z.string()),
  })),
  role: z.enum(["both", "prefill", "decode"]),
});

/** The state that an engine reports. */
export type EngineState = z.infer<typeof stateSchema>;

/** An order that is sent under a lease. */
export interface EngineOrder {
  endpoint: EndpointInfo;
  /** The fencing number of the lease. */
  fence: number;
  desired: DesiredState;
}

/** Options of {@linkcode createEngineOrderClient}. */
export interface EngineOrderClientOptions {
  clock: Clock;
  timeoutMs: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** Sends orders to engines and reads their state and cached prefixes. */
export interface EngineOrderClient {
  /**
   * Sends an order; fails with `rejected` if the engine has seen a higher
   * fencing number.
   */
  send(order: EngineOrder): Promise<Result<void, Failure>>;
  readState(endpoint: EndpointInfo): Promise<Result<EngineState, Failure>>;
  /** Downloads the cache entry of a prefix from an engine. */
  exportCache(
    endpoint: EndpointInfo,
    prefix: string,
  ): Promise<Result<string, Failure>>;
  /** Uploads the cache entry of a prefix to an engine. */
  importCache(
    endpoint: EndpointInfo,
    cache: { prefix: string; data: string },
  ): Promise<Result<void, Failure>>;
  close(): Promise<void>;
}

const OK = 200;
const CONFLICT = 409;

/** Creates a client for the orders to all engines. */
export function createEngineOrderClient(
  { clock, timeoutMs, meter }: EngineOrderClientOptions,
): EngineOrderClient {
  const http = createHttpClient({ meter });

  async function callEngine(
    endpoint: EndpointInfo,
    call: Omit<HttpCall, "address" | "signal">,
  ): Promise<Result<HttpReply, Failure>> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({
      ...call,
      address: endpoint.address,
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr) {
      return Result.err(createCallFailure(endpoint.id, reply.error));
    }
    const { status } = reply.value;
    if (status === OK) return Result.ok(reply.value);
    return Result.err(createFailure("rejected", {
      verdict: status === CONFLICT ? "not_run" : "may_have_run",
      message: status === CONFLICT
        ? `${endpoint.id}: knows a higher fencing number`
        : `${endpoint.id}: answered ${status}`,
    }));
  }

  async function send(
    { endpoint, fence, desired }: EngineOrder,
  ): Promise<Result<void, Failure>> {
    const reply = await callEngine(endpoint, {
      method: "POST",
      path: "/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ fence, desired }),
    });
    return reply.map(() => undefined);
  }

  async function readState(
    endpoint: EndpointInfo,
  ): Promise<Result<EngineState, Failure>> {
    const reply = await callEngine(endpoint, { method: "GET", path: "/state" });
    if (reply.isErr) return Result.err(reply.error);
    const state = stateSchema.safeParse(readReplyJson(reply.value));
    if (state.success) return Result.ok(state.data);
    return Result.err(createFailure("bad_reply", {
      verdict: "not_run",
      message: `${endpoint.id}: the state is malformed`,
    }));
  }

  async function exportCache(
    endpoint: EndpointInfo,
    prefix: string,
  ): Promise<Result<string, Failure>> {
    const reply = await callEngine(endpoint, {
      method: "GET",
      path: `/cache/${encodeURIComponent(prefix)}`,
    });
    return reply.map(({ text }) => text);
  }

  async function importCache(
    endpoint: EndpointInfo,
    { prefix, data }: { prefix: string; data: string },
  ): Promise<Result<void, Failure>> {
    const reply = await callEngine(endpoint, {
      method: "PUT",
      path: `/cache/${encodeURIComponent(prefix)}`,
      body: data,
    });
    return reply.map(() => undefined);
  }

  return { send, readState, exportCache, importCache, close: http.close };
}
