/**
 * Endpoints of the soak test: plain ones, stage endpoints and an engine. They log
 * the requests that they run, from which the guarantees are checked.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { formatEndpointKey } from "@mangoreach/coordination";
import { HEADER, PATH } from "../../platform/src/wire_names.ts";
import { ENDLESS_SHAPES, writeEndless } from "./endless_answers.ts";
import type { ObservedArrival, SoakSignals } from "./endpoint_signals.ts";
import type { PieceArrival } from "./repeat_checks.ts";
import type { SoakHandler, SoakServer } from "./soak_server.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";

/** One execution of a request at an endpoint. */
export interface ObservedRun {
  /** Endpoint key with the incarnation: a restarted endpoint has not left. */
  endpoint: string;
  account: string | undefined;
  path: string;
  at: number;
}

/** Executions at all endpoints, by request id. */
export type RunLog = Map<string, ObservedRun[]>;

/** A running endpoint. */
export interface SoakEndpoint extends SoakServer {
  readonly id: string;
}

/** Events of a complete stream. */
export const STREAM_EVENTS = 5;
const EVENT_GAP_MS = 20;
/** Events of a complete stream that may be resumed. */
export const CHAT_EVENTS = 12;
const CHAT_EVENT_GAP_MS = 40;
const WORK_MS = 15;
/** Every n-th stream has neither a length nor chunks, and some of them break. */
const UNFRAMED_INTERVAL = 3;
const BROKEN_INTERVAL = 24;
/** Begins the parts of prompts that crash each endpoint. */
export const POISON_PART = "bad";
/** A body that crashes each endpoint. */
export const POISON_BODY = "crash";
const SLOTS = 8;
/** A brittle endpoint has little room and works slowly. */
const BRITTLE = { slots: 2, waiting: 1, workMs: 100, settleMs: 3_000 };
/** Time of a stage call by the position of the endpoint; they differ in speed. */
const STAGE_CALL_MS = [40, 96];
/** Range of the fourth figure in load reports, which changes with each one. */
const WORK_FACTORS = { min: 60, max: 240, step: 37 };

/** Computes the response body for a request id. */
export function computeBody(id: string): string {
  return createHash("sha256").update(id).digest("hex").repeat(4);
}

function readHeader(request: IncomingMessage, name: string) {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Options of {@linkcode startServingEndpoint}. */
export interface ServingEndpointOptions {
  /** Version of its software, which is the content of resumable streams. */
  version: string;
  startedAt: number;
  runs: RunLog;
  /** Log of all requests that reach the endpoint, whether run or refused. */
  arrivals: ObservedArrival[];
  /** Reads the back-pressure signals to send in the next response. */
  readSignals: () => SoakSignals;
  /** Whether some streams have neither a length nor chunks. */
  hasUnframed: boolean;
  /** Ends the endpoint; called by a request with a part that crashes it. */
  crash: () => void;
}

function writeSignals(
  response: ServerResponse,
  { limit, isLeaving, pause, brittle }: SoakSignals,
): void {
  if (brittle !== undefined) {
    response.setHeader(HEADER.rejectLimit, String(brittle.rejectLimit));
  }
  if (limit !== undefined) response.setHeader(HEADER.rateLimit, String(limit));
  if (isLeaving) response.setHeader(HEADER.leaving, "1");
  if (pause !== undefined) {
    response.setHeader(HEADER.retryAfter, String(pause / 1_000));
  }
}

/** Starts an endpoint that serves plain requests and streams. */
export async function startServingEndpoint(
  id: string,
  {
    version,
    startedAt,
    runs,
    arrivals,
    readSignals,
    hasUnframed,
    crash,
  }: ServingEndpointOptions,
): Promise<SoakEndpoint> {
  const endpoint = formatEndpointKey({ id, incarnation: String(startedAt) });
  let running = 0;
  let reports = 0;
  let streams = 0;
  let endless = 0;

  /** Formats a load report with four figures. */
  function formatLoad(): string {
    const { min, max, step } = WORK_FACTORS;
    const slots = readSignals().brittle === undefined ? SLOTS : BRITTLE.slots;
    const factor = min + step * reports++ % (max - min);
    return `${Math.min(running, slots)},${
      Math.max(0, running - slots)
    },${slots},${factor}`;
  }

  /** A brittle endpoint soon lets fewer requests wait. */
  function hasRoom({ brittle }: SoakSignals): boolean {
    return brittle === undefined ||
      Date.now() < brittle.since + BRITTLE.settleMs ||
      running < BRITTLE.slots + BRITTLE.waiting;
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = String(await readCompleteBody(request));
    const requestId = readHeader(request, HEADER.requestId) ?? "";
    response.setHeader(HEADER.requestId, requestId);
    if (readHeader(request, HEADER.targetInstance) !== id) {
      return void response.writeHead(421, { [HEADER.notRun]: "1" }).end();
    }
    const signals = readSignals();
    const arrival: ObservedArrival = {
      endpoint,
      requestId,
      at: Date.now(),
      deadline: Number(readHeader(request, HEADER.deadline) ?? Infinity),
      signals,
    };
    arrivals.push(arrival);
    writeSignals(response, signals);
    response.setHeader(HEADER.load, formatLoad());
    if (signals.pause !== undefined) {
      arrival.respondedAt = Date.now();
      return void response.writeHead(503, { [HEADER.notRun]: "1" }).end();
    }
    if (!hasRoom(signals)) {
      arrival.isRejected = true;
      arrival.respondedAt = Date.now();
      return void response.writeHead(503, { [HEADER.notRun]: "1" }).end();
    }
    const failure = chooseFailure(signals);
    if (failure === "full") {
      return void response.writeHead(503, { [HEADER.notRun]: "1" }).end();
    }
    const path = request.url ?? "";
    const run = {
      endpoint,
      account: readHeader(request, HEADER.account),
      path,
      at: Date.now(),
    };
    runs.set(requestId, [...(runs.get(requestId) ?? []), run]);
    response.setHeader(HEADER.proof, computeBody(requestId).slice(0, 16));
    running++;
    await sleep(signals.brittle === undefined ? WORK_MS : BRITTLE.workMs);
    running--;
    if (hasPoisonPart(request) || body === POISON_BODY) return crash();
    if (failure === "reset") return void response.destroy();
    if (failure === "endless" && response.socket !== null) {
      const shape = ENDLESS_SHAPES[endless++ % ENDLESS_SHAPES.length]!;
      const headers = `${HEADER.requestId}: ${requestId}\r\n` +
        `${HEADER.proof}: ${computeBody(requestId).slice(0, 16)}\r\n`;
      return void await writeEndless(response.socket, { shape, headers });
    }
    if (failure === "error") return void response.writeHead(500).end("failed");
    arrival.respondedAt = Date.now();
    if (path.startsWith("/chat/")) {
      const lastEvent = readHeader(request, HEADER.lastEvent) ?? "0";
      return await writeChat(response, { version, after: Number(lastEvent) });
    }
    if (!path.startsWith("/draft/")) {
      return void response.end(computeBody(requestId));
    }
    response.setHeader("content-type", "text/event-stream");
    const stream = ++streams;
    if (hasUnframed && stream % UNFRAMED_INTERVAL === 0) {
      const isBroken = stream % BROKEN_INTERVAL === 0;
      return await writeUnframed(response, { requestId, isBroken });
    }
    for (let event = 1; event <= STREAM_EVENTS; event++) {
      response.write(`id: ${event}\ndata: ${requestId}\n\n`);
      await sleep(EVENT_GAP_MS);
    }
    response.end();
  }
  return await startEndpoint(id, handle);
}

function chooseFailure({ failing }: SoakSignals) {
  return failing !== undefined && Math.random() < failing.share
    ? failing.how
    : undefined;
}

function hasPoisonPart(request: IncomingMessage): boolean {
  const parts = readHeader(request, HEADER.promptParts) ?? "";
  return parts.split(",").some((part) => part.startsWith(POISON_PART));
}

/**
 * Writes a stream that only its connection delimits. It is inside an event
 * whenever it is broken off, as each one ends with the beginning of the next.
 */
async function writeUnframed(
  response: ServerResponse,
  { requestId, isBroken }: { requestId: string; isBroken: boolean },
): Promise<void> {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  for (let event = 1; event <= STREAM_EVENTS; event++) {
    const end = event === 1 ? "" : "\n\n";
    response.write(`${end}id: ${event}\ndata: ${requestId}`);
    await sleep(EVENT_GAP_MS);
    if (isBroken && event === STREAM_EVENTS - 1) return void response.end();
  }
  response.end("\n\n");
}

/** Writes the events of a stream after the one that the caller has. */
async function writeChat(
  response: ServerResponse,
  { version, after }: { version: string; after: number },
): Promise<void> {
  response.setHeader("content-type", "text/event-stream");
  for (let event = after + 1; event <= CHAT_EVENTS; event++) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${version}\n\n`);
    await sleep(CHAT_EVENT_GAP_MS);
  }
  response.end();
}

interface PieceItem {
  id: string;
  stage: number;
  piece: number;
}

/** A call to a stage endpoint, of pieces or a release of results. */
export interface StageArrival {
  endpoint: string;
  at: number;
  /** Milliseconds for which its answer asks to be left alone. */
  pause: number | undefined;
}

/** Options of {@linkcode startStageEndpoint}. */
export interface StageEndpointOptions {
  position: number;
  /** Log of all pieces that reach the endpoint. */
  pieceArrivals: PieceArrival[];
  /** Log of all calls that reach it. */
  stageArrivals: StageArrival[];
  /** Reads the back-pressure signals; it refuses calls while it pauses. */
  readSignals: () => SoakSignals;
}

/** Starts an endpoint that runs pieces; its results exist as long as it does. */
export async function startStageEndpoint(
  id: string,
  { position, pieceArrivals, stageArrivals, readSignals }: StageEndpointOptions,
): Promise<SoakEndpoint> {
  const callTime = STAGE_CALL_MS[position % STAGE_CALL_MS.length];
  const endpoint = await startEndpoint(id, async (request, response) => {
    const body = JSON.parse(String(await readCompleteBody(request)) || "{}");
    const { pause } = readSignals();
    stageArrivals.push({ endpoint: id, at: Date.now(), pause });
    if (pause !== undefined) {
      writeSignals(response, { pause });
      return void response.writeHead(503, { [HEADER.notRun]: "1" }).end();
    }
    if (request.url === PATH.stageFree) return void response.end("{}");
    if (readHeader(request, HEADER.targetInstance) !== id) {
      return void response.writeHead(421, { [HEADER.notRun]: "1" }).end();
    }
    const pieces = (body.items as PieceItem[])
      .map(({ id, stage, piece }) => `${id}.${stage}.${piece}`);
    const at = Date.now();
    pieceArrivals.push(...pieces.map((piece) => ({ piece, at })));
    await sleep(callTime);
    const items = pieces.map((piece) => ({
      handle: `${endpoint.address}/${piece}`,
    }));
    response.end(JSON.stringify({ items }));
  });
  return endpoint;
}

async function startEndpoint(
  id: string,
  handle: SoakHandler,
): Promise<SoakEndpoint> {
  const server = await startSoakServer(handle);
  return { id, ...server };
}
