/**
 * `npm run bench -- overhead`: measures the latency that an entry adds to direct
 * calls of the same stand-ins, in pairs, and its throughput per core.
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
const WARM_UP_PAIRS = 300;
const THROUGHPUT_MS = 6_000;
const CONCURRENCY = 48;
const STREAM_CONCURRENCY = 40;
const OPEN_STREAMS = 500;
const TEXT = "overhead ".repeat(20);
const MICROSECONDS = 1_000;

/** Runs the measurement; returns the values of the JSON line. */
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
  if (entry === undefined || account === undefined) throw new Error("bad plan");
  const { pid } = entry.process;
  const idleUsage = readProcessUsage(pid);
  const client = createCallerClient({
    clock,
    credentials: { account: account.name, key: account.key },
    place: account.place,
    knownAddresses: [entry.callerAddress],
    createUniqueText: () => randomBytes(8).toString("hex"),
  });
  const direct = createDirectPath(site, clock);
  const viaEntry = createEntryPath(client);
  const buffered = await measurePairs(clock, {
    direct: () => direct.run("pipeline"),
    viaEntry: () => viaEntry.buffered("whole"),
  });
  const streamed = await measurePairs(clock, {
    direct: () => direct.run("pipeline"),
    viaEntry: () => viaEntry.streamed("whole"),
  });
  const plain = await measureThroughput(clock, {
    pid,
    concurrency: CONCURRENCY,
    send: async () => {
      await viaEntry.buffered("plain");
      return 1;
    },
  });
  const tokens = await measureThroughput(clock, {
    pid,
    concurrency: STREAM_CONCURRENCY,
    send: () => viaEntry.streamed("long"),
  });
  const open = await measureOpenStreams(clock, { pid, viaEntry });
  await client.close();
  return {
    scenario: "overhead",
    pairs: PAIRS,
    whole_added_ms: buffered,
    streamed_added_ms: streamed,
    pipelines_per_core_s: Math.round(plain.perCore),
    pipelines_per_s: Math.round(plain.perSecond),
    tokens_per_core_s: Math.round(tokens.perCore),
    tokens_per_s: Math.round(tokens.perSecond),
    memory_at_rest_mb: formatMegabytes(idleUsage),
    memory_500_streams_mb: formatMegabytes(open),
  };
}

interface PairedPaths {
  direct(): Promise<unknown>;
  viaEntry(): Promise<unknown>;
}

/** Alternates both paths, so that interference affects both alike. */
async function measurePairs(clock: Clock, { direct, viaEntry }: PairedPaths) {
  const directTimes = build();
  const entryTimes = build();
  for (let i = 0; i < WARM_UP_PAIRS + PAIRS; i++) {
    const start = clock.now();
    await direct();
    const middle = clock.now();
    await viaEntry();
    const end = clock.now();
    if (i < WARM_UP_PAIRS) continue;
    directTimes.recordValue((middle - start) * MICROSECONDS);
    entryTimes.recordValue((end - middle) * MICROSECONDS);
  }
  const subtract = (percentile: number) =>
    formatMillis(
      entryTimes.getValueAtPercentile(percentile) -
        directTimes.getValueAtPercentile(percentile),
    );
  return {
    p50: subtract(50),
    p99: subtract(99),
    direct_p50: formatMillis(directTimes.getValueAtPercentile(50)),
    entry_p50: formatMillis(entryTimes.getValueAtPercentile(50)),
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
      // `done += await …` would read `done` before the wait and lose counts.
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
  { pid, viaEntry }: { pid: number; viaEntry: EntryPath },
): Promise<ProcessUsage> {
  const streams = Array.from(
    { length: OPEN_STREAMS },
    () => viaEntry.streamed("slow"),
  );
  await clock.sleep(2_500);
  const usage = readProcessUsage(pid);
  await Promise.all(streams);
  return usage;
}

interface EntryPath {
  buffered(pipeline: string): Promise<number>;
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
    async buffered(pipeline) {
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

/** Calls the same stand-ins in the same order without an entry. */
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
