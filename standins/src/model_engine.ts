/**
 * Stand-in of a model engine: continuous batching, a prefix cache of limited
 * size, priorities, resume and cancel, delayed cache events with gaps, delayed
 * load reports, and orders with or without a check of fencing numbers.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import { computeDigest } from "./derive.ts";
import type { EngineTimes, Sequence } from "./engine_batch.ts";
import { createEngineBatch, createSequenceTokens } from "./engine_batch.ts";
import type {
  OrderedInventoryOptions,
  OrderRecord,
} from "./ordered_inventory.ts";
import { createOrderedInventory } from "./ordered_inventory.ts";
import { createEngineStreams } from "./engine_streams.ts";
import { createPrefixCache } from "./prefix_cache.ts";
import type { EndpointStandin } from "./stage_endpoint.ts";
import type { StandinRequest, StandinState } from "./standin_server.ts";
import { consumeFault, startStandin } from "./standin_server.ts";

/** Options of {@linkcode startModelEngine}. */
export interface ModelEngineOptions extends OrderedInventoryOptions {
  port?: number;
  times: EngineTimes;
  /** Prefixes that fit into the cache. */
  cacheSize?: number;
  /** Delay of load reports and cache events. */
  lagMs?: Millis;
}

/** A running engine. */
export interface EngineStandin extends EndpointStandin {
  readonly orders: OrderRecord[];
  /** Closes the connections of all open streams, as a network failure would. */
  cutStreams(): void;
}

interface GenerateBody {
  request_id: string;
  stage: string;
  attempt: number;
  model: string;
  prompt: string;
  prefix: string;
  max_tokens: number;
  priority: number;
  linger_ms: number;
}

const DEFAULT_CACHE = 32;
const DEFAULT_LAG: Millis = 300;
/** Share of the prefill that remains if the prefix is cached. */
const CACHED_PREFILL_SHARE = 0.3;
const LEAVING_HEADERS = { "x-endpoint-state": "leaving" };

/** Starts a model engine. */
export async function startModelEngine(
  options: ModelEngineOptions,
): Promise<EngineStandin> {
  const { clock, times, port = 0, lagMs = DEFAULT_LAG } = options;
  const incarnation = randomUUID();
  const cache = createPrefixCache(options.cacheSize ?? DEFAULT_CACHE, clock);
  const inventory = createOrderedInventory(options);
  let isLeaving = false;
  let arrivals = 0;
  let slowFactor = () => 1;
  let addBusy = (_seconds: number) => {};
  const batch = createEngineBatch({
    clock,
    times,
    readSlowFactor: () => slowFactor(),
    onBusy: (seconds) => addBusy(seconds),
  });
  const streams = createEngineStreams({ clock, batch });
  let report = { running: 0, queued: 0, takenAt: clock.now() };

  function generate(
    { response, body }: StandinRequest,
    { ledger, faults }: StandinState,
  ): void {
    const call = parseJson(body) as GenerateBody;
    if (isLeaving) return refuse(response, "leaving");
    if (!inventory.hasModel(call.model)) return refuse(response, "not_loaded");
    ledger.push({
      requestId: call.request_id,
      stage: call.stage,
      attempt: call.attempt,
      at: clock.now(),
    });
    const streamId = randomUUID();
    const isWrong = consumeFault(faults, "wrongEchoes");
    streams.open({
      response,
      lingerMs: call.linger_ms,
      start: {
        request_id: isWrong ? `${call.request_id}-other` : call.request_id,
        stage: call.stage,
        attempt: call.attempt,
        stream_id: streamId,
      },
      createSequence: (onProgress) =>
        createSequence(call, { id: streamId, onProgress }),
    });
    if (consumeFault(faults, "cutAnswers")) {
      clock.startTimer(times.stepMs * 3, () => response.destroy());
    }
  }

  function createSequence(
    call: GenerateBody,
    { id, onProgress }: Pick<Sequence, "id" | "onProgress">,
  ): Sequence {
    const isCached = cache.use(call.prefix);
    const prefill = times.prefillPerThousandMs * call.prompt.length / 1_000;
    return {
      id,
      priority: call.priority,
      arrival: arrivals++,
      prefix: call.prefix,
      tokens: createSequenceTokens(call.prompt, call.max_tokens),
      generated: 0,
      prefillLeft: isCached ? prefill * CACHED_PREFILL_SHARE : prefill,
      onProgress,
    };
  }

  function readLoad({ response }: StandinRequest): void {
    const now = clock.now();
    if (now - report.takenAt >= lagMs) {
      // Sends the previous report, so that reports lag behind the load.
      const { running, queued } = batch;
      const next = { running, queued, takenAt: now };
      sendReport(response, report.takenAt === 0 ? next : report);
      report = next;
      return;
    }
    sendReport(response, report);
  }

  function sendReport(response: ServerResponse, reported: typeof report): void {
    sendJson(response, {
      status: 200,
      headers: isLeaving ? LEAVING_HEADERS : {},
      body: {
        running: reported.running,
        queued: reported.queued,
        slots: times.slots,
        age_ms: Math.max(0, clock.now() - reported.takenAt),
      },
    });
  }

  function refuse(response: ServerResponse, reason: string): void {
    sendJson(response, {
      status: 503,
      headers: isLeaving ? LEAVING_HEADERS : {},
      body: { verdict: "not_run", reason },
    });
  }

  const standin = await startStandin({
    clock,
    port,
    onStop: streams.removeAll,
    routes: (state) => {
      slowFactor = () => state.faults.slowFactor;
      addBusy = (seconds) => state.busySeconds += seconds;
      return {
        "POST /generate": (request) => generate(request, state),
        "GET /streams/*": streams.resume,
        "DELETE /streams/*": streams.cancel,
        "GET /load": readLoad,
        "GET /cache_events": ({ response, query }) =>
          sendJson(response, {
            status: 200,
            body: {
              events: cache.readEvents(Number(query.get("after")), lagMs),
            },
          }),
        "POST /orders": inventory.handleOrder,
        "GET /state": ({ response }) =>
          sendJson(response, {
            status: 200,
            body: { incarnation, ...inventory.readState() },
          }),
        "GET /cache/*": ({ response, parts }) => {
          const isPrefixCached = cache.has(parts[0] ?? "");
          sendJson(response, {
            status: isPrefixCached ? 200 : 404,
            body: { cache: computeDigest(parts[0]) },
          });
        },
        "PUT /cache/*": ({ response, parts }) => {
          cache.use(parts[0] ?? "");
          sendJson(response, { status: 200, body: {} });
        },
        "PUT /leaving": ({ response, body }) => {
          isLeaving = parseJson(body) === true;
          sendJson(response, { status: 200, body: {} });
        },
        "GET /orders": ({ response }) =>
          sendJson(response, { status: 200, body: inventory.orders }),
      };
    },
  });
  return Object.assign(standin, {
    orders: inventory.orders,
    leave() {
      isLeaving = true;
    },
    stay() {
      isLeaving = false;
    },
    countBusy: () => batch.running + batch.queued,
    cutStreams: streams.closeReaders,
  });
}
