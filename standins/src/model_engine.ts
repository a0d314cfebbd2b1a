/**
 * Stand-in of a model engine: continuous batching, a prefix cache in limited
 * memory, priorities, resume and cancel, late cache events with gaps, lagging
 * load reports, and orders with or without a check of fencing numbers.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { CancelTimer, Clock, Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import { computeDigest } from "./derive.ts";
import type { EngineTimes, Sequence } from "./engine_batch.ts";
import { createEngineBatch, createSequenceTokens } from "./engine_batch.ts";
import type { EndpointStandin } from "./stage_endpoint.ts";
import type { StandinRequest, StandinState } from "./standin_server.ts";
import { startStandin, takeFault } from "./standin_server.ts";

/** Options of {@linkcode startModelEngine}. */
export interface ModelEngineOptions {
  clock: Clock;
  port?: number;
  times: EngineTimes;
  /** Prefixes that fit into the cache. */
  cacheSize?: number;
  /** Load reports and cache events are this old. */
  lagMs?: Millis;
  /** Whether orders with an old fencing number are refused. */
  checksFencing?: boolean;
  /** Models held from the start; any other must be ordered. */
  models?: EngineModels[];
  /** How long loading a model takes. */
  loadMs?: Millis;
}

/** The orders that a stand-in engine carried out. */
export interface OrderRecord {
  fence: number;
  desired: unknown;
}

/** A running engine. */
export interface EngineStandin extends EndpointStandin {
  readonly orders: OrderRecord[];
  /** Cuts all open streams, as a broken network would. */
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

interface Reader {
  response: ServerResponse;
  next: number;
}

interface Generation {
  sequence: Sequence;
  lingerMs: Millis;
  readers: Set<Reader>;
  stopLinger: CancelTimer | undefined;
}

/** A model that an engine holds. */
export interface EngineModels {
  name: string;
  version: string;
  adapters: string[];
}

const DEFAULT_CACHE = 32;
const DEFAULT_LAG: Millis = 300;
const DEFAULT_LOAD: Millis = 300;
/** A cached prefix leaves this share of the prefill to do. */
const CACHED_PREFILL_SHARE = 0.3;
/** Every so many cache events one is lost. */
const EVENT_GAP = 10;
const KEPT_EVENTS = 1_000;
/** Finished generations can be resumed for this long. */
const KEEP_FINISHED: Millis = 10_000;
const LEAVING_HEADERS = { "x-endpoint-state": "leaving" };

/** Starts a model engine. */
export async function startModelEngine(
  options: ModelEngineOptions,
): Promise<EngineStandin> {
  const { clock, times, port = 0, lagMs = DEFAULT_LAG } = options;
  const incarnation = randomUUID();
  const generations = new Map<string, Generation>();
  const cache = createPrefixCache(options.cacheSize ?? DEFAULT_CACHE, clock);
  const orders: OrderRecord[] = [];
  let models: EngineModels[] = options.models ?? [];
  let role = "both";
  let highestFence = -1;
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
  let report = { running: 0, queued: 0, takenAt: clock.now() };

  function generate(
    { response, body }: StandinRequest,
    { ledger, faults }: StandinState,
  ): void {
    const call = parseJson(body) as GenerateBody;
    if (isLeaving) return refuse(response, "leaving");
    const isHeld = models.some(({ name }) => name === call.model);
    if (!isHeld) return refuse(response, "not_loaded");
    ledger.push({
      requestId: call.request_id,
      stage: call.stage,
      attempt: call.attempt,
      at: clock.now(),
    });
    const streamId = randomUUID();
    const generation = createGeneration(call, streamId);
    generations.set(streamId, generation);
    const isWrong = takeFault(faults, "wrongEchoes");
    openStream(response);
    sendEvent(response, "start", {
      request_id: isWrong ? `${call.request_id}-other` : call.request_id,
      stage: call.stage,
      attempt: call.attempt,
      stream_id: streamId,
    });
    addReader(generation, { response, next: 0 });
    batch.add(generation.sequence);
    if (takeFault(faults, "cutAnswers")) {
      clock.startTimer(times.stepMs * 3, () => response.destroy());
    }
  }

  function createGeneration(call: GenerateBody, id: string): Generation {
    const isCached = cache.use(call.prefix);
    const prefill = times.prefillPerThousandMs * call.prompt.length / 1_000;
    const sequence: Sequence = {
      id,
      priority: call.priority,
      arrival: arrivals++,
      prefix: call.prefix,
      tokens: createSequenceTokens(call.prompt, call.max_tokens),
      generated: 0,
      prefillLeft: isCached ? prefill * CACHED_PREFILL_SHARE : prefill,
      onProgress: () => sendWaiting(generation),
    };
    const generation: Generation = {
      sequence,
      lingerMs: call.linger_ms,
      readers: new Set(),
      stopLinger: undefined,
    };
    return generation;
  }

  function addReader(generation: Generation, reader: Reader): void {
    generation.stopLinger?.();
    generation.stopLinger = undefined;
    generation.readers.add(reader);
    reader.response.once("close", () => {
      generation.readers.delete(reader);
      if (generation.readers.size === 0) startLinger(generation);
    });
  }

  function startLinger(generation: Generation): void {
    const isDone =
      generation.sequence.generated === generation.sequence.tokens.length;
    const wait = isDone ? KEEP_FINISHED : generation.lingerMs;
    generation.stopLinger = clock.startTimer(wait, () => drop(generation));
  }

  function drop({ sequence, readers }: Generation): void {
    batch.remove(sequence);
    generations.delete(sequence.id);
    for (const { response } of readers) response.destroy();
  }

  function sendWaiting({ sequence, readers }: Generation): void {
    for (const reader of readers) {
      let text = "";
      for (; reader.next < sequence.generated; reader.next++) {
        const data = JSON.stringify(sequence.tokens[reader.next]);
        text += `event: token\nid: ${reader.next}\ndata: {"text":${data}}\n\n`;
      }
      const isDone = reader.next === sequence.tokens.length;
      if (isDone) text += `event: end\ndata: {"count":${reader.next}}\n\n`;
      if (text !== "") reader.response.write(text);
      if (isDone) reader.response.end();
    }
  }

  function resume({ response, parts, query }: StandinRequest): void {
    const generation = generations.get(parts[0] ?? "");
    if (generation === undefined) {
      return sendJson(response, { status: 404, body: { error: "no stream" } });
    }
    openStream(response);
    addReader(generation, { response, next: Number(query.get("next") ?? 0) });
    sendWaiting(generation);
  }

  function cancel({ response, parts }: StandinRequest): void {
    const generation = generations.get(parts[0] ?? "");
    if (generation !== undefined) drop(generation);
    sendJson(response, { status: 200, body: {} });
  }

  function readLoad({ response }: StandinRequest): void {
    const now = clock.now();
    if (now - report.takenAt >= lagMs) {
      // The reading that is handed out now is from the last time.
      const { running, queued } = batch;
      const next = { running, queued, takenAt: now };
      sendReport(response, report.takenAt === 0 ? next : report);
      report = next;
      return;
    }
    sendReport(response, report);
  }

  function sendReport(response: ServerResponse, shown: typeof report): void {
    sendJson(response, {
      status: 200,
      headers: isLeaving ? LEAVING_HEADERS : {},
      body: {
        running: shown.running,
        queued: shown.queued,
        slots: times.slots,
        age_ms: Math.max(0, clock.now() - shown.takenAt),
      },
    });
  }

  function takeOrder({ response, body }: StandinRequest): void {
    const order = parseJson(body) as OrderRecord & {
      desired: { models: EngineModels[]; role: string };
    };
    if (options.checksFencing && order.fence < highestFence) {
      return sendJson(response, {
        status: 409,
        body: { highest_fence: highestFence },
      });
    }
    highestFence = Math.max(highestFence, order.fence);
    orders.push(order);
    role = order.desired.role;
    const kept = new Set(order.desired.models.map(({ name }) => name));
    models = models.filter(({ name }) => kept.has(name));
    clock.startTimer(options.loadMs ?? DEFAULT_LOAD, () => {
      // A newer order has replaced this one while it loaded.
      if (orders.at(-1) === order) models = order.desired.models;
    });
    sendJson(response, { status: 200, body: { fence: order.fence } });
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
    onStop: () => {
      for (const generation of generations.values()) drop(generation);
    },
    routes: (state) => {
      slowFactor = () => state.faults.slowFactor;
      addBusy = (seconds) => state.busySeconds += seconds;
      return {
        "POST /generate": (request) => generate(request, state),
        "GET /streams/*": resume,
        "DELETE /streams/*": cancel,
        "GET /load": readLoad,
        "GET /cache_events": ({ response, query }) =>
          sendJson(response, {
            status: 200,
            body: {
              events: cache.readEvents(Number(query.get("after")), lagMs),
            },
          }),
        "POST /orders": takeOrder,
        "GET /state": ({ response }) =>
          sendJson(response, {
            status: 200,
            body: { incarnation, fence: highestFence, models, role },
          }),
        "GET /cache/*": ({ response, parts }) => {
          const isHeld = cache.has(parts[0] ?? "");
          sendJson(response, {
            status: isHeld ? 200 : 404,
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
          sendJson(response, { status: 200, body: orders }),
      };
    },
  });
  return Object.assign(standin, {
    orders,
    leave() {
      isLeaving = true;
    },
    stay() {
      isLeaving = false;
    },
    countBusy: () => batch.running + batch.queued,
    cutStreams() {
      for (const { readers } of generations.values()) {
        for (const { response } of readers) response.destroy();
      }
    },
  });
}

interface CacheEventRecord {
  sequence: number;
  kind: "stored" | "evicted";
  prefix: string;
  at: Millis;
}

function createPrefixCache(capacity: number, clock: Clock) {
  const prefixes = new Set<string>();
  const events: CacheEventRecord[] = [];
  let sequence = 0;

  function record(kind: CacheEventRecord["kind"], prefix: string): void {
    const event = { sequence: sequence++, kind, prefix, at: clock.now() };
    if (event.sequence % EVENT_GAP !== EVENT_GAP - 1) events.push(event);
    if (events.length > KEPT_EVENTS) events.shift();
  }

  /** Uses a prefix; returns whether it was cached. */
  function use(prefix: string): boolean {
    if (prefix === "") return false;
    const isCached = prefixes.delete(prefix);
    prefixes.add(prefix);
    if (!isCached) record("stored", prefix);
    if (prefixes.size > capacity) {
      const [oldest] = prefixes;
      prefixes.delete(oldest!);
      record("evicted", oldest!);
    }
    return isCached;
  }

  function readEvents(after: number, lagMs: Millis) {
    const visibleUntil = clock.now() - lagMs;
    return events
      .filter((event) => event.sequence > after && event.at <= visibleUntil)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
  }

  return { use, readEvents, has: (prefix: string) => prefixes.has(prefix) };
}

function openStream(response: ServerResponse): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
}

function sendEvent(
  response: ServerResponse,
  event: string,
  data: unknown,
): void {
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}
