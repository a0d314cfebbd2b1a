/**
 * Runs one scenario under one policy with open-loop arrivals, and measures
 * latencies from the intended send time of each request.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { EntrySettings } from "@mangoreach/entry";
import type { Clock } from "@mangoreach/shared";
import { createSystemClock } from "@mangoreach/shared";
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import type { PlannedRequest } from "./caller_load.ts";
import { createCallerLoad } from "./caller_load.ts";
import type { ReceivedAnswer } from "./checker.ts";
import { checkHistory, hasNoViolations } from "./checker.ts";
import type { RequestCost } from "./feasible_bound.ts";
import {
  computeCapacity,
  computeCost,
  computeFeasibleShare,
  computeSustainableRate,
} from "./feasible_bound.ts";
import { readProcessUsage } from "./process_usage.ts";
import { runProgram } from "./programs.ts";
import { createRandomLoad } from "./random_load.ts";
import type { Scenario } from "./scenarios.ts";
import type { Site } from "./site_launcher.ts";
import { launchSite } from "./site_launcher.ts";
import type { Deployment } from "./site_plan.ts";

/** Policies to compare. */
export type BenchPolicy = EntrySettings["policy"];

/** Options of {@linkcode runLoadBench}. */
export interface LoadBenchOptions {
  scenario: Scenario;
  policy: BenchPolicy;
  seed: number;
  deployment: Deployment;
  seconds: number;
}

/** Results of a class. */
export interface ClassResult {
  offered: number;
  attainment: number;
  target: number;
  /** Upper bound on the attainment of any policy if this class ran alone. */
  bound: number;
  refused: number;
  late: number;
  failed: number;
  p50_ms: number;
  p95_ms: number;
  p99_ms: number;
  first_token_p95_ms: number;
  /** Failures by kind and verdict. */
  reasons: Record<string, number>;
}

/** The result of a run. */
export interface LoadBenchResult {
  scenario: string;
  policy: BenchPolicy;
  seed: number;
  deployment: string;
  seconds: number;
  classes: Record<string, ClassResult>;
  all: { offered: number; attainment: number; bound: number };
  /** Slot-seconds of each pool per request answered in time. */
  cost_by_stage: Record<string, number>;
  /** Share of all slot-seconds not spent on requests answered in time. */
  wasted_share: number;
  /** Means over all entries, without requests: see `idle` of the report. */
  entry_cpu_share: number;
  /** Mean time of each stage at the entries, including queueing. */
  stage_ms: Record<string, number>;
  broken: string[];
}

interface SentSample {
  planned: PlannedRequest;
  cost: RequestCost;
  answer: ReceivedAnswer | undefined;
  latencyMs: number;
}

const WARM_UP_SHARE = 0.1;
const CALIBRATION_SAMPLES = 2_000;
const SETTLE_MS = 6_000;
const BENCH_TIMING = {
  drainMs: 400,
  exchangeMs: 500,
  suspectMs: 1_500,
  loseMs: 4_000,
  instanceListMs: 500,
};
const MICROSECONDS = 1_000;

/** Runs a scenario. */
export async function runLoadBench(
  options: LoadBenchOptions,
): Promise<LoadBenchResult> {
  const { scenario, deployment, policy } = options;
  const site = await launchSite({
    deployment,
    policy,
    timing: BENCH_TIMING,
    logLevel: "error",
    listLagMs: 300,
    sharesProcesses: scenario.needsProcesses !== true,
  });
  try {
    return await runOnSite(site, options);
  } finally {
    await site.stop();
  }
}

async function runOnSite(
  site: Site,
  options: LoadBenchOptions,
): Promise<LoadBenchResult> {
  const { scenario, deployment, seed, seconds } = options;
  const clock = createSystemClock();
  const published = await runProgram("mangoreachctl", [
    "publish",
    deployment.configFile,
    "--settings",
    site.operatorSettingsFile,
  ]);
  if (published.status !== 0) throw new Error(published.output);
  await clock.sleep(1_000);
  const firstTokens = new Map<string, Histogram>();
  const load = createCallerLoad({
    clock,
    deployment,
    readKnownAddresses: () => site.entries.map((entry) => entry.callerAddress),
    createUniqueText: () => randomBytes(8).toString("hex"),
    clientsPerAccount: scenario.clientsPerAccount,
    onFirstToken: ({ work }, time) =>
      findHistogram(firstTokens, work.className)
        .recordValue(time * MICROSECONDS),
  });
  const rate = scenario.load * estimateSustainableRate(deployment, seed);
  const before = site.entries.map(({ process }) => readCpu(process.pid));
  const samples = await sendOpenLoop({ site, clock, load, options, rate });
  const after = site.entries.map(({ process }) => readCpu(process.pid));
  const usage = await readUsage(site);
  const result = checkHistory(load.history, await site.readExecutions());
  await load.close();
  const broken = hasNoViolations(result) ? [] : [JSON.stringify({
    wrong: result.wrong.length,
    lost: result.lost.length,
    doubled: result.doubled.length,
    falselyNotRun: result.falselyNotRun.length,
  })];
  const cpu = after.reduce(
    (sum, value, i) => sum + Math.max(0, value - (before[i] ?? 0)),
    0,
  );
  return {
    ...describeRun(samples, { options, usage, firstTokens }),
    entry_cpu_share: computeRounded(cpu / (seconds * site.entries.length)),
    stage_ms: await readStageTimes(site),
    broken,
  };
}

const STAGE_METRIC = /^mangoreach_stage_seconds_(sum|count)\{.*stage="([^"]+)"/;

async function readStageTimes(site: Site): Promise<Record<string, number>> {
  const sums = new Map<string, { sum: number; count: number }>();
  for (const entry of site.entries) {
    for (const line of (await site.readMetrics(entry)).split("\n")) {
      const match = STAGE_METRIC.exec(line);
      if (match === null) continue;
      const stage = match[2]!;
      const known = sums.get(stage) ?? { sum: 0, count: 0 };
      known[match[1] as "sum" | "count"] += Number(line.split(" ").at(-1));
      sums.set(stage, known);
    }
  }
  return Object.fromEntries(
    [...sums].map(([stage, { sum, count }]) =>
      [stage, Math.round(1_000 * sum / Math.max(1, count))] as const
    ),
  );
}

function readCpu(pid: number): number {
  try {
    return readProcessUsage(pid).cpuSeconds;
  } catch {
    return 0;
  }
}

/** Estimates the requests per second that the deployment's pools sustain. */
function estimateSustainableRate(deployment: Deployment, seed: number): number {
  const load = createRandomLoad(deployment.plan.work, seed + 1_000_000);
  const costs = Array.from(
    { length: CALIBRATION_SAMPLES },
    () => computeCost(load.sample(), deployment),
  );
  return computeSustainableRate(costs, deployment);
}

async function sendOpenLoop(
  { site, clock, load, options, rate }: {
    site: Site;
    clock: Clock;
    load: ReturnType<typeof createCallerLoad>;
    options: LoadBenchOptions;
    rate: number;
  },
): Promise<SentSample[]> {
  const { scenario, deployment, seed, seconds } = options;
  const randomLoad = createRandomLoad(deployment.plan.work, seed);
  const startedAt = clock.now();
  const duration = seconds * 1_000;
  const waitUntil = (progress: number) =>
    clock.sleep(startedAt + progress * duration - clock.now());
  const injection = scenario.injectFaults?.({ site, clock, waitUntil });
  const samples: SentSample[] = [];
  const sending: Promise<void>[] = [];
  for (let intended = startedAt; intended < startedAt + duration;) {
    const progress = (intended - startedAt) / duration;
    const { work, factor } = scenario.shape(deployment.plan.work, progress);
    const planned = randomLoad.sample(work);
    await clock.sleep(intended - clock.now());
    const sample: SentSample = {
      planned,
      cost: computeCost(planned, deployment),
      answer: undefined,
      latencyMs: 0,
    };
    const intendedAt = intended;
    sending.push(
      load.send(planned).then((answer) => {
        sample.answer = answer;
        sample.latencyMs = clock.now() - intendedAt;
      }),
    );
    if (progress >= WARM_UP_SHARE) samples.push(sample);
    intended += randomLoad.sampleGap(rate * factor);
  }
  await Promise.race([Promise.all(sending), clock.sleep(SETTLE_MS)]);
  await injection;
  return samples;
}

async function readUsage(site: Site): Promise<Map<string, number>> {
  const usage = new Map<string, number>();
  for (const { pool, address, process } of site.endpoints) {
    if (process.hasExited) continue;
    const read = await site.call({ method: "GET", address, path: "/usage" })
      .catch(() => undefined) as { busy_seconds: number } | undefined;
    usage.set(pool, (usage.get(pool) ?? 0) + (read?.busy_seconds ?? 0));
  }
  return usage;
}

function describeRun(
  samples: readonly SentSample[],
  { options, usage, firstTokens }: {
    options: LoadBenchOptions;
    usage: ReadonlyMap<string, number>;
    firstTokens: ReadonlyMap<string, Histogram>;
  },
): Omit<LoadBenchResult, "entry_cpu_share" | "stage_ms" | "broken"> {
  const { scenario, policy, seed, deployment, seconds } = options;
  // Endpoints may work until the deadlines of the last requests.
  const slack = Math.max(...deployment.plan.work.map((w) => w.deadlineMs)) /
    1_000;
  const capacity = computeCapacity(
    deployment,
    seconds * (1 - WARM_UP_SHARE) + slack,
  );
  const names = [
    ...new Set(samples.map(({ planned }) => planned.work.className)),
  ].sort();
  const classes: Record<string, ClassResult> = {};
  for (const name of names) {
    const own = samples.filter(({ planned }) =>
      planned.work.className === name
    );
    classes[name] = describeClass(own, {
      target: deployment.config.classes.find((c) => c.name === name)?.target ??
        0,
      bound: computeFeasibleShare(own.map(({ cost }) => cost), capacity),
      firstTokens: firstTokens.get(name),
    });
  }
  const inTime = samples.filter(isInTime);
  const useful = inTime.reduce((sum, { cost }) => sum + sumCost(cost), 0);
  const spent = [...usage.values()].reduce((sum, seconds) => sum + seconds, 0);
  const scale = inTime.length / (1 - WARM_UP_SHARE);
  return {
    scenario: scenario.name,
    policy,
    seed,
    deployment: deployment.name,
    seconds,
    classes,
    all: {
      offered: samples.length,
      attainment: computeRounded(inTime.length / samples.length),
      bound: computeRounded(
        computeFeasibleShare(samples.map(({ cost }) => cost), capacity),
      ),
    },
    cost_by_stage: Object.fromEntries(
      [...usage].map((
        [pool, seconds],
      ) => [pool, computeRounded(seconds / scale)]),
    ),
    wasted_share: computeRounded(1 - useful / (1 - WARM_UP_SHARE) / spent),
  };
}

function describeClass(
  samples: readonly SentSample[],
  { target, bound, firstTokens }: {
    target: number;
    bound: number;
    firstTokens: Histogram | undefined;
  },
): ClassResult {
  const histogram = build();
  const answered = samples.filter(({ answer }) => answer?.kind === "answered");
  for (const { latencyMs } of answered) {
    histogram.recordValue(latencyMs * MICROSECONDS);
  }
  const inTime = samples.filter(isInTime).length;
  const refused =
    samples.filter(({ answer }) =>
      answer?.kind === "failed" && answer.verdict === "not_run"
    ).length;
  const percentile = (value: number) =>
    Math.round(histogram.getValueAtPercentile(value) / MICROSECONDS);
  return {
    offered: samples.length,
    attainment: computeRounded(inTime / samples.length),
    target,
    bound: computeRounded(bound),
    refused,
    late: answered.length - inTime,
    failed: samples.length - answered.length - refused,
    p50_ms: percentile(50),
    p95_ms: percentile(95),
    p99_ms: percentile(99),
    first_token_p95_ms: Math.round(
      (firstTokens?.getValueAtPercentile(95) ?? 0) / MICROSECONDS,
    ),
    reasons: countReasons(samples),
  };
}

function countReasons(
  samples: readonly SentSample[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { answer } of samples) {
    if (answer?.kind === "answered") continue;
    const reason = answer === undefined
      ? "no answer"
      : `${answer.reason} ${answer.verdict}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function isInTime({ answer, latencyMs, planned }: SentSample): boolean {
  return answer?.kind === "answered" && latencyMs <= planned.work.deadlineMs;
}

function sumCost(cost: RequestCost): number {
  return [...cost.values()].reduce((sum, seconds) => sum + seconds, 0);
}

function findHistogram(
  histograms: Map<string, Histogram>,
  name: string,
): Histogram {
  const known = histograms.get(name);
  if (known !== undefined) return known;
  const created = build();
  histograms.set(name, created);
  return created;
}

function computeRounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
