/**
 * A site with one entry, started by the command of the deploy file. Half of the
 * endpoints of three services pour answers without end; those of another one
 * are healthy.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { mkdtempSync } from "node:fs";
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import { availableParallelism, tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { readServerAddress } from "@mangoreach/shared";
import { request } from "undici";
import {
  CONFIG_KEY,
  HEADER,
  PATH,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import { createCallHeaders, STAGE_HEADERS } from "./entry_call.ts";
import type { PouringMessage, PouringOrder } from "./pouring_endpoints.ts";
import type { PouringFormName } from "./pouring_forms.ts";
import type { ProgramProcess } from "./program_process.ts";
import { startProgram } from "./program_process.ts";
import { readCoreWait } from "./core_wait.ts";
import { createSoakConfig } from "./soak_config.ts";
import { formatResults } from "./stage_results.ts";
import { startTopicStore } from "./topic_store.ts";

/** Routes whose endpoints may pour. */
export type PouredRoute = "once" | "chat" | "draft";

/** What callers of one route saw. */
export interface CallerCounts {
  sent: number;
  served: number;
  /** Answered after the target latency, without waits for the core. */
  late: number;
  /** Time of the slowest answer, in milliseconds. */
  slowest: number;
}

/** What one load did to the entry. */
export interface LoadReport {
  isAlive: boolean;
  /** The most memory that the process has taken so far, in MB. */
  peakMb: number;
  /** Answers without end that were begun. */
  poured: number;
  ordinary: CallerCounts;
}

/** One load. */
export interface PouringLoad {
  form: PouringFormName;
  status: number;
  routes: readonly PouredRoute[];
  /** Callers of each route. */
  callers: number;
  durationMs: number;
  /** Whether these callers read the bodies of answers; they do if left out. */
  mayRead?: boolean;
}

/** A running site. */
export interface PouringSite {
  readonly program: ProgramProcess;
  runLoad(load: PouringLoad): Promise<LoadReport>;
  stop(): void;
}

/** Options of {@linkcode startPouringSite}. */
export interface PouringSiteOptions {
  /** The share of a core that the entry gets. */
  coreShare?: number;
}

const POURED_POOLS = ["plain", "chat", "stage"] as const;
const SOUND_POOLS = ["calm", "engine"];
/** Endpoints of a poured service that pour, and as many that are sound. */
const HALF = 2;
const DEADLINE_MS = 6_000;
/** Of the routes. */
const TARGET_LATENCY_MS = 1_000;
const ORDINARY_CALLERS = 5;
const WARM_UP_CALLS = 10;
const ORDINARY_GAP_MS = 20;
const START_MS = 15_000;
/** Before a failed caller calls again. */
const RETRY_MS = 20;
const SOUND_BODY = "id: 1\ndata: x\n\n";
const REQUEST_ID = new RegExp(`${HEADER.requestId}: (\\S+)`, "i");

/** Of the smallest machine. */
const MAX_MEMORY_MB = 210;
/** Ordinary requests keep their target at the median. */
const MAX_LATE_SHARE = 0.5;

/** Lists what a load has broken. */
export function listLoadViolations(
  { isAlive, peakMb, poured, ordinary }: LoadReport,
): string[] {
  const { sent, served, late, slowest } = ordinary;
  return [
    ...(isAlive ? [] : ["the process ended"]),
    ...(peakMb <= MAX_MEMORY_MB ? [] : [`it took ${peakMb} MB`]),
    ...(poured > 0 ? [] : ["no such answer was begun"]),
    ...(served === sent ? [] : [`${sent - served} of ${sent} not served`]),
    ...(late <= MAX_LATE_SHARE * sent
      ? []
      : [`${late} of ${sent} were late, by up to ${slowest} ms`]),
  ];
}

/** Starts the site. */
export async function startPouringSite(
  { coreShare = 1 }: PouringSiteOptions = {},
): Promise<PouringSite> {
  const store = await startTopicStore();
  const config = createSoakConfig(1, { isRevoked: false });
  const routes = config.routes as { name: string }[];
  const services = config.services as { name: string }[];
  const calm = routes.find(({ name }) => name === "once")!;
  store.put(TOPIC.operators, CONFIG_KEY, {
    ...config,
    routes: [...routes, {
      ...calm,
      name: "calm",
      pathPrefix: "/calm/",
      service: "calm",
    }],
    services: [
      // Endpoints without a cold time, as this is not a test of that.
      ...services.map(({ name, ...service }) => {
        const { coldS: _cold, coldPerS: _rate, ...rest } = service as Record<
          string,
          unknown
        >;
        return { name, ...rest };
      }),
      { name: "calm", maxConns: 100 },
    ],
  });
  const pourers = fork("soak/src/pouring_endpoints.ts", [
    String(POURED_POOLS.length * HALF),
  ], { execArgv: ["--import", "tsx"] });
  const first = await readMessage(pourers);
  const addresses = first.kind === "listening" ? [...first.addresses] : [];
  const servers: Server[] = [];
  const sockets = new Set<Socket>();
  let endpointCount = 0;

  function publish(pool: string, address: string): void {
    store.put(TOPIC.endpoints, `i-${endpointCount++}`, {
      service: pool,
      address,
      zone: "z",
      state: "ready",
      born: 1,
    });
  }

  for (const pool of POURED_POOLS) {
    for (let one = 0; one < HALF; one++) publish(pool, addresses.shift()!);
  }
  for (const pool of [...POURED_POOLS, ...SOUND_POOLS]) {
    for (let one = 0; one < HALF; one++) {
      publish(pool, await startSoundEndpoint({ servers, sockets }));
    }
  }
  const program = await startProgram({
    name: "entry-0",
    store: store.address,
    folder: mkdtempSync(join(tmpdir(), "mangoreach-pouring-")),
    // A machine has one core.
    core: process.pid % availableParallelism(),
  });

  function stopProcesses(): void {
    program.kill();
    pourers.kill("SIGKILL");
    sockets.forEach((socket) => socket.destroy());
    servers.forEach((server) => server.close());
    store.close();
  }

  const isReady = await program.waitUntilReady(START_MS);
  if (!isReady) {
    stopProcesses();
    throw new Error(`not ready: ${program.readLog()}`);
  }
  const throttle = coreShare < 1
    ? fork("soak/src/core_share.cjs", [
      String(program.child.pid),
      String(coreShare),
    ])
    : undefined;

  let requestCount = 0;
  async function callOnce(
    route: string,
    { mayRead = true, until }: { mayRead?: boolean; until: number },
  ): Promise<{ isServed: boolean; took: number }> {
    const id = `p-${requestCount++}`;
    const sentAt = Date.now() - readCoreWait(program.child.pid);
    const readTook = () =>
      Date.now() - readCoreWait(program.child.pid) - sentAt;
    try {
      const reply = await request(
        `http://${program.ports.callers}/${route}/${id}`,
        {
          method: "POST",
          body: "question",
          headers: { ...createCallHeaders(id, DEADLINE_MS), ...STAGE_HEADERS },
          signal: AbortSignal.timeout(DEADLINE_MS + 1_000),
        },
      );
      if (mayRead) await reply.body.dump({ limit: Infinity });
      else {
        await sleep(Math.max(0, until - Date.now()));
        reply.body.on("error", () => {}).destroy();
      }
      return { isServed: reply.statusCode === 200, took: readTook() };
    } catch {
      return { isServed: false, took: readTook() };
    }
  }

  async function runCaller(
    route: string,
    { until, gap, counts, mayRead = true }: {
      until: number;
      gap: number;
      counts: CallerCounts;
      mayRead?: boolean;
    },
  ): Promise<void> {
    while (Date.now() < until && program.isAlive()) {
      counts.sent++;
      const { isServed, took } = await callOnce(route, { mayRead, until });
      if (isServed) counts.served++;
      if (took > TARGET_LATENCY_MS) counts.late++;
      counts.slowest = Math.max(counts.slowest, Math.round(took));
      await sleep(isServed ? gap : Math.max(gap, RETRY_MS));
    }
  }

  // Code that has not run yet takes several times as long.
  await Promise.all(Array.from({ length: ORDINARY_CALLERS }, async () => {
    for (let call = 0; call < WARM_UP_CALLS; call++) {
      await callOnce("calm", { until: 0 });
    }
  }));

  return {
    program,
    async runLoad(
      { form, status, routes: poured, callers, durationMs, mayRead = true },
    ) {
      await sendOrder(pourers, { form, status });
      const until = Date.now() + durationMs;
      const others = createCounts();
      const ordinary = createCounts();
      const run = (count: number, route: string, counts: CallerCounts) =>
        Array.from({ length: count }, () =>
          runCaller(route, {
            until,
            gap: counts === ordinary ? ORDINARY_GAP_MS : 0,
            counts,
            mayRead: mayRead || counts === ordinary,
          }));
      const loads = poured.flatMap((route) => run(callers, route, others));
      // Pours go on for as long as their callers wait.
      await Promise.all(run(ORDINARY_CALLERS, "calm", ordinary));
      const begun = await sendOrder(pourers, { form, status });
      const peakMb = Math.round(program.readPeakMemory());
      await Promise.all(loads);
      return { isAlive: program.isAlive(), peakMb, poured: begun, ordinary };
    },
    stop() {
      throttle?.disconnect();
      stopProcesses();
    },
  };
}

function createCounts(): CallerCounts {
  return { sent: 0, served: 0, late: 0, slowest: 0 };
}

function readMessage(child: ChildProcess): Promise<PouringMessage> {
  return new Promise((resolve) => child.once("message", resolve));
}

/** Returns how many answers were begun by the order before. */
async function sendOrder(
  child: ChildProcess,
  order: PouringOrder,
): Promise<number> {
  child.send(order);
  const message = await readMessage(child);
  return message.kind === "ordered" ? message.poured : 0;
}

async function startSoundEndpoint(
  { servers, sockets }: { servers: Server[]; sockets: Set<Socket> },
): Promise<string> {
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", (data) => {
      const received = String(data);
      const body = received.startsWith(`POST ${PATH.stageRun}`)
        ? formatResults(socket, received)
        : SOUND_BODY;
      const id = REQUEST_ID.exec(received)?.[1];
      socket.end(
        `HTTP/1.1 200 OK\r\n${HEADER.requestId}: ${id}\r\n` +
          `${HEADER.proof}: proof\r\nContent-Length: ${body.length}\r\n\r\n` +
          body,
      );
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return readServerAddress(server);
}
