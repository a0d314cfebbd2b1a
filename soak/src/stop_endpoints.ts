/**
 * Configuration and endpoints of the stop soak. Engines stream events at a fixed
 * pace and log how each run ended.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import { startStageEndpoint } from "./soak_endpoints.ts";
import type { SoakServer } from "./soak_server.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";
import type { ObservedStopRun } from "./stop_checks.ts";
import type { StopPlan } from "./stop_plan.ts";
import type { TopicStore } from "./topic_store.ts";

const JOB_MS = 60;
/** Tokens in an event, as callers count them too. */
export const TOKENS_PER_EVENT = 3;
const HEARTBEAT_MS = 1_000;
const STAGE_ENDPOINTS = 2;
/** Slots of an engine; high, so that only its pace delays streams. */
const ENGINE_SLOTS = 512;

/** Creates the configuration in the platform's format. */
export function createStopConfig(version: number): object {
  const route = (name: string, change: object) => ({
    name,
    host: "soak.example",
    pathPrefix: `/${name}/`,
    timeoutMs: 25_000,
    targetLatencyMs: 1_000,
    priority: 1,
    maxAttempts: 1,
    service: "engine",
    kind: "stream",
    ...change,
  });
  return {
    version,
    routes: [
      route("talk", {}),
      route("staged", {
        stages: [{ service: "stage", after: [], bytes: 10 }],
      }),
      route("job", { kind: "non_idempotent", service: "plain" }),
    ],
    services: [
      {
        name: "engine",
        maxConns: 4_000,
        engine: { slots: ENGINE_SLOTS, kvCapacity: 10_000_000 },
      },
      { name: "plain", maxConns: 4_000 },
      {
        name: "stage",
        maxConns: 4_000,
        pieces: {
          slots: 1,
          queue: 2,
          batch: 24,
          callMs: 40,
          itemMs: 1,
          headroomMb: 1,
          handleS: 4,
          linkMbps: 100,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "one", apiKeys: ["key-1"] }],
  };
}

/** Starts engines, plain endpoints and stage endpoints. */
export async function startStopEndpoints(
  store: TopicStore,
  { endpoints, eventGap }: StopPlan,
  runs: Map<string, ObservedStopRun[]>,
): Promise<{ close(): void }[]> {
  const running: { close(): void }[] = [];

  function publishRecord(
    pool: string,
    id: string,
    { address }: SoakServer,
  ): void {
    const born = Date.now();
    const publish = () =>
      store.put(TOPIC.endpoints, id, {
        service: pool,
        address,
        zone: "z",
        state: "ready",
        born,
        coldLeftMs: 0,
      });
    publish();
    const timer = setInterval(publish, HEARTBEAT_MS);
    running.push({ close: () => clearInterval(timer) });
  }

  for (let index = 0; index < endpoints; index++) {
    for (const pool of ["engine", "plain"]) {
      const id = `i-${pool}-${index}`;
      const server = await startSoakServer((request, response) =>
        serveRequest(request, response, { id, runs, eventGap })
      );
      running.push(server);
      publishRecord(pool, id, server);
    }
  }
  for (let index = 0; index < STAGE_ENDPOINTS; index++) {
    const id = `i-stage-${index}`;
    const server = await startStageEndpoint(id, {
      position: 0,
      stageArrivals: [],
      readSignals: () => ({}),
      pieceArrivals: [],
    });
    running.push(server);
    publishRecord("stage", id, server);
  }
  return running;
}

async function serveRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { id, runs, eventGap }: {
    id: string;
    runs: Map<string, ObservedStopRun[]>;
    eventGap: number;
  },
): Promise<void> {
  await readCompleteBody(request);
  const { headers, url = "" } = request;
  const requestId = String(headers[HEADER.requestId]);
  response.setHeader(HEADER.requestId, requestId);
  if (headers[HEADER.targetInstance] !== id) {
    return void response.writeHead(421, { [HEADER.notRun]: "1" }).end();
  }
  const run: ObservedStopRun = {
    at: Date.now(),
    endedAt: Infinity,
    isWhole: false,
    events: 0,
  };
  runs.set(requestId, [...(runs.get(requestId) ?? []), run]);
  response.setHeader(HEADER.proof, "proof");
  response.on("close", () => run.endedAt = Math.min(run.endedAt, Date.now()));
  if (url.startsWith("/job/")) {
    await sleep(JOB_MS);
    if (response.destroyed) return;
    run.isWhole = true;
    return void response.end("done");
  }
  response.setHeader("content-type", "text/event-stream");
  const tokens = Number(String(headers[HEADER.tokenCounts]).split(",")[1]);
  for (let event = 1; event <= tokens / TOKENS_PER_EVENT; event++) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${requestId}\n\n`);
    run.events = event;
    await sleep(eventGap);
  }
  if (response.destroyed) return;
  run.isWhole = true;
  response.end();
}
