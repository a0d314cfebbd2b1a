/**
 * `npm run bench -- overhead`: what an entry adds to the same stand-ins called
 * directly, paired in one run, and what one core of it carries.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { CallerClient } from "@mangoreach/callers";
import { createCallerClient } from "@mangoreach/callers";
import type { EndpointInfo } from "@mangoreach/coordination";
import { createEngineClient } from "@mangoreach/engines";
import type { Clock } from "@mangoreach/shared";
import { createSystemClock } from "@mangoreach/shared";
import { createStageClient } from "@mangoreach/stages";
import { derivePrompt } from "@mangoreach/standins";
import { build } from "hdr-histogram-js";
import type { ProcessUsage } from "./process_usage.ts";
import { readProcessUsage } from "./process_usage.ts";
import { runProgram } from "./programs.ts";
import type { Site } from "./site_launcher.ts";
import { launchSite } from "./site_launcher.ts";
import type { Deployment } from "./site_plan.ts";
import { readDeployment } from "./site_plan.ts";

const PAIRS = 800;
const WARM_UP = 300;
const THROUGHPUT_MS = 6_000;
const CONCURRENCY = 48;
const STREAMS = 40;
const OPEN_STREAMS = 500;
const TEXT = "overhead ".repeat(20);
const MICROSECONDS = 1_000;

/** Runs the measurement; returns the JSON line. */
export async function runOverhead(): Promise<Record<string, unknown>> {
  const clock = createSystemClock();
  const deployment = readDeployment("overhead");
  const site = await launchSite({ deployment, logLevel: "warn", listLagMs: 0 });
  try {
    return await measure(site, { clock, deployment });
  } finally {
    await site.stop();
  }
}

async function measure(
  site: Site,
  { clock, deployment }: { clock: Clock; deployment: Deployment },
): Promise<Record<string, unknown>> {
  await runProgram("mangoreachctl", [
    "publish",
    deployment.configFile,
    "--settings",
    site.operatorSettingsFile,
  ]);
  await clock.sleep(1_500);
  const [entry] = site.entries;
  const [account] = deployment.plan.accounts;
  if (entry === undefined || account === undefined) throw new Error("no plan");
  const { pid } = entry.process;
  const atRest = readProcessUsage(pid);
  const client = createCallerClient({
    clock,
    credentials: { account: account.name, key: account.key },
    place: account.place,
    knownAddresses: [entry.callerAddress],
    createUniqueText: () => randomBytes(8).toString("hex"),
  });
  const direct = createDirectPath(site, clock);
  const through = createEntryPath(client);
  const whole = await measurePairs(clock, {
    direct: () => direct.run("pipeline"),
    through: () => through.whole("whole"),
  });
  const streamed = await measurePairs(clock, {
    direct: () => direct.run("pipeline"),
    through: () => through.streamed("whole"),
  });
  const plain = await measureThroughput(clock, {
    pid,
    concurrency: CONCURRENCY,
    send: async () => {
      await through.whole("plain");
      return 1;
    },
  });
  const tokens = await measureThroughput(clock, {
    pid,
    concurrency: STREAMS,
    send: () => through.streamed("long"),
  });
  const open = await measureOpenStreams(clock, { pid, through });
  await client.close();
  return {
    scenario: "overhead",
    pairs: PAIRS,
    whole_added_ms: whole,
    streamed_added_ms: streamed,
    pipelines_per_core_s: Math.round(plain.perCore),
    pipelines_per_s: Math.round(plain.perSecond),
    tokens_per_core_s: Math.round(tokens.perCore),
    tokens_per_s: Math.round(tokens.perSecond),
    memory_at_rest_mb: formatMegabytes(atRest),
    memory_500_streams_mb: formatMegabytes(open),
  };
}

interface PairedPaths {
  direct(): Promise<unknown>;
  through(): Promise<unknown>;
}

/** Alternates both paths, so that whatever disturbs one disturbs the other. */
async function measurePairs(clock: Clock, { direct, through }: PairedPaths) {
  const directTimes = build();
  const throughTimes = build();
  for (let i = 0; i < WARM_UP + PAIRS; i++) {
    const start = clock.now();
    await direct();
    const middle = clock.now();
    await through();
    const end = clock.now();
    if (i < WARM_UP) continue;
    directTimes.recordValue((middle - start) * MICROSECONDS);
    throughTimes.recordValue((end - middle) * MICROSECONDS);
  }
  const subtract = (percentile: number) =>
    formatMillis(
      throughTimes.getValueAtPercentile(percentile) -
        directTimes.getValueAtPercentile(percentile),
    );
  return {
    p50: subtract(50),
    p99: subtract(99),
    direct_p50: formatMillis(directTimes.getValueAtPercentile(50)),
    entry_p50: formatMillis(throughTimes.getValueAtPercentile(50)),
  };
}

async function measureThroughput(
  clock: Clock,
  { pid, concurrency, send }: {
    pid: number;
    concurrency: number;
    send: () => Promise<number>;
  },
) {
  let done = 0;
  const startedAt = clock.now();
  const before = readProcessUsage(pid);
  async function sendUntilEnd(): Promise<void> {
    while (clock.now() - startedAt < THROUGHPUT_MS) {
      // Not `done += await …`, which would read `done` before the wait.
      const sent = await send();
      done += sent;
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendUntilEnd));
  const seconds = (clock.now() - startedAt) / 1_000;
  const cpu = readProcessUsage(pid).cpuSeconds - before.cpuSeconds;
  return { perSecond: done / seconds, perCore: done / cpu };
}

async function measureOpenStreams(
  clock: Clock,
  { pid, through }: { pid: number; through: EntryPath },
): Promise<ProcessUsage> {
  const streams = Array.from(
    { length: OPEN_STREAMS },
    () => through.streamed("slow"),
  );
  await clock.sleep(2_500);
  const usage = readProcessUsage(pid);
  await Promise.all(streams);
  return usage;
}

interface EntryPath {
  whole(pipeline: string): Promise<number>;
  streamed(pipeline: string): Promise<number>;
}

function createEntryPath(client: CallerClient): EntryPath {
  const createRequest = (pipeline: string) => ({
    pipeline,
    className: "work",
    deadlineMs: 20_000,
    idempotent: true,
    body: { text: TEXT },
  });
  return {
    async whole(pipeline) {
      const answer = await client.runPipeline(createRequest(pipeline));
      if (answer.isErr) throw new Error(answer.error.message);
      return 1;
    },
    async streamed(pipeline) {
      const answer = await client.streamPipeline(
        createRequest(pipeline),
        () => {},
      );
      if (answer.isErr) throw new Error(answer.error.message);
      return answer.value.tokens.length;
    },
  };
}

/** Calls the same stand-ins in the same order, without an entry. */
function createDirectPath(site: Site, clock: Clock) {
  const ignore = { onAnswer() {}, onDropped() {} };
  const stages = createStageClient({ clock, ...ignore });
  const engines = createEngineClient({ clock, ...ignore, timeoutMs: 1_000 });
  const find = (pool: string): EndpointInfo => {
    const endpoint = site.endpoints.find((one) => one.pool === pool);
    if (endpoint === undefined) throw new Error(`no endpoint in ${pool}`);
    return { ...endpoint, incarnation: "1", state: "live" };
  };
  const plain = ["encoder", "retriever", "reranker"].map(find);
  const engine = find("engine");
  let count = 0;

  async function run(stage: string): Promise<void> {
    const signal = new AbortController().signal;
    const requestId = `direct-${count++}`;
    let previous: unknown = null;
    for (const endpoint of plain) {
      const reply = await stages.call({
        endpoint,
        requestId,
        stage,
        attempt: 1,
        input: { text: TEXT, previous },
        causalTime: "1.0",
        signal,
      });
      if (reply.isErr) throw new Error(reply.error.message);
      previous = reply.value.output;
    }
    const events = engines.generate({
      endpoint: engine,
      requestId,
      stage,
      attempt: 1,
      model: "m",
      prompt: derivePrompt(TEXT, previous),
      prefix: "",
      maxTokens: 16,
      priority: 1,
      lingerMs: 0,
      causalTime: "1.0",
      signal,
    });
    for await (const event of events) {
      if (event.kind === "broken") throw new Error(event.failure.message);
    }
  }

  return { run };
}

function formatMillis(microseconds: number): number {
  return Math.round(microseconds) / MICROSECONDS;
}

function formatMegabytes({ residentBytes }: ProcessUsage): number {
  return Math.round(residentBytes / 1_048_576);
}
