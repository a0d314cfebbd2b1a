/**
 * One run of the stop soak: entries are told to stop, in series that overlap,
 * while callers go on sending long streams to all of them.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { MersenneTwister19937, Random } from "random-js";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import { startStageEndpoint } from "./soak_endpoints.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, startEntry, waitUntilReady } from "./soak_entry.ts";
import type { SoakServer } from "./soak_server.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";
import type { ObservedRequest, StopRoute } from "./stop_callers.ts";
import { createStopCaller } from "./stop_callers.ts";
import type {
  ObservedStop,
  ObservedStopRun,
  StopTotals,
} from "./stop_checks.ts";
import { countStopped, listStopViolations } from "./stop_checks.ts";
import type { PlannedStop, StopPlan } from "./stop_plan.ts";
import { computePlanLength, createStopPlan } from "./stop_plan.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

/** Options of {@linkcode runStopSoak}. */
export interface StopSoakOptions {
  seed: number;
  /** Directory for the settings and logs of the entries. */
  folder: string;
  /** The number of entries; by default the seed draws it. */
  entries?: number;
}

/** Result of one run. */
export interface StopSoakResult extends StopTotals {
  seed: number;
  requests: number;
  served: number;
  violations: string[];
}

const ROUTES: readonly StopRoute[] = ["talk", "talk", "talk", "staged", "job"];
const WARM_UP_MS = 6_000;
/** Time after the last stop in which requests are still sent. */
const AFTERWARDS_MS = 2_000;
const REQUEST_GAP_MS = { min: 200, max: 700 };
const JOB_MS = 60;
const EVENTS = { mean: 50, max: 190 };
const TOKENS_PER_EVENT = 3;
const MAX_BODY_DELAY_MS = 1_500;
/** Share of the requests whose body comes later than their head. */
const SLOW_BODY_SHARE = 0.05;
const HEARTBEAT_MS = 1_000;
const STAGE_ENDPOINTS = 2;
/** Slots of an engine; high, so that only its pace delays streams. */
const ENGINE_SLOTS = 512;

/** Runs one seed to completion. */
export async function runStopSoak(
  { seed, folder, entries: entryCount }: StopSoakOptions,
): Promise<StopSoakResult> {
  const plan = createStopPlan(
    seed,
    entryCount === undefined ? {} : { entries: entryCount },
  );
  const random = new Random(MersenneTwister19937.seed(seed + 1));
  mkdirSync(folder, { recursive: true });
  const store = await startTopicStore();
  let version = 1;
  const publish = () =>
    store.put(TOPIC.operators, CONFIG_KEY, createStopConfig(version++));
  publish();
  const runs = new Map<string, ObservedStopRun[]>();
  const endpoints = await startStopEndpoints(store, plan, runs);
  const entries: Entry[] = [];
  for (let index = 0; index < plan.entries; index++) {
    entries.push(
      await createEntry(`entry-${index}`, {
        store,
        folder,
        stopS: plan.stopS,
      }),
    );
  }
  const startedAt = new Map<Entry, number>();
  const start = (entry: Entry) => {
    startedAt.set(entry, Date.now());
    startEntry(entry);
  };
  entries.forEach(start);
  const stops: ObservedStop[] = [];
  const requests: ObservedRequest[] = [];
  let isOver = false;

  /** Restarts an entry, unless it is being restarted already. */
  async function replaceStopped(
    entry: Entry,
    stop: PlannedStop,
  ): Promise<void> {
    const { child } = entry;
    if (child === undefined) return;
    entry.child = undefined;
    const observed: ObservedStop = {
      entry: entry.callerProxy.address,
      startedAt: startedAt.get(entry) ?? 0,
      at: Date.now(),
      endedAt: Infinity,
    };
    stops.push(observed);
    const exited = new Promise<void>((resolve) =>
      child.once("exit", () => resolve())
    );
    child.kill("SIGTERM");
    if (stop.kind === "one_again") {
      void sleep(stop.gap).then(() => child.kill("SIGTERM"));
    }
    await Promise.race([exited, sleep(1_000 * plan.stopS)]);
    child.kill("SIGKILL");
    await exited;
    observed.endedAt = Date.now();
    await sleep(stop.pause);
    if (!isOver) start(entry);
  }

  async function runStop(stop: PlannedStop): Promise<void> {
    await sleep(stop.at);
    const isOne = stop.kind === "one" || stop.kind === "one_again";
    const count = isOne ? 1 : entries.length;
    const gap = stop.kind === "rolling" ? stop.gap : 0;
    const restarts: Promise<void>[] = [];
    for (let index = 0; index < count; index++) {
      const entry = entries[(stop.target + index) % entries.length]!;
      restarts.push(replaceStopped(entry, stop));
      if (gap > 0) await sleep(gap);
    }
    await Promise.all(restarts);
  }

  async function runCaller(until: () => boolean): Promise<void> {
    const caller = createStopCaller();
    const pending: Promise<unknown>[] = [];
    while (!until()) {
      const drawn = -EVENTS.mean *
        Math.log(1 - random.realZeroToOneExclusive());
      pending.push(
        caller.send({
          id: `${seed}-${requestCount++}`,
          route: random.pick([...ROUTES]),
          entry: random.pick(entries).callerProxy.address,
          events: Math.max(1, Math.min(EVENTS.max, Math.round(drawn))),
          bodyDelay: random.bool(SLOW_BODY_SHARE)
            ? random.integer(0, MAX_BODY_DELAY_MS)
            : 0,
        }).then((request) => requests.push(request)),
      );
      await sleep(random.integer(REQUEST_GAP_MS.min, REQUEST_GAP_MS.max));
    }
    await Promise.all(pending);
    caller.close();
  }

  let requestCount = 0;
  try {
    await Promise.all(entries.map(waitUntilReady));
    let isDone = false;
    const callers = Array.from(
      { length: plan.callers },
      () => runCaller(() => isDone),
    );
    await sleep(WARM_UP_MS);
    const changes = plan.changes.map(async ({ kind, at, target }) => {
      await sleep(at);
      if (kind === "configuration") return publish();
      entries[target % entries.length]?.child?.kill("SIGHUP");
    });
    await Promise.all([
      ...plan.stops.map(runStop),
      ...changes,
      sleep(computePlanLength(plan)),
    ]);
    await sleep(AFTERWARDS_MS);
    isDone = true;
    await Promise.all(callers);
  } finally {
    isOver = true;
    for (const { child, callerProxy, storeProxy } of entries) {
      child?.kill("SIGKILL");
      callerProxy.close();
      storeProxy.close();
    }
    endpoints.forEach((endpoint) => endpoint.close());
    store.close();
  }
  const observations = {
    requests,
    runs,
    stops,
    stopTime: 1_000 * plan.stopS,
    eventGap: plan.eventGap,
  };
  return {
    seed,
    requests: requests.length,
    served:
      requests.filter(({ status, end }) => status === 200 && end === "complete")
        .length,
    ...countStopped(observations),
    violations: listStopViolations(observations),
  };
}

function createStopConfig(version: number): object {
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
async function startStopEndpoints(
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
    const server = await startStageEndpoint(id, 0);
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
