/**
 * Runs the stages of a pipeline in order under one deadline.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { PipelineBody } from "@mangoreach/callers";
import type {
  DemandTracker,
  Failure,
  LatencyModel,
  PoolWork,
  PrefixAffinity,
  StageForecast,
} from "@mangoreach/coordination";
import {
  createFailure,
  createLatencyModel,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { EngineClient } from "@mangoreach/engines";
import type { PipelineConfig, StageConfig } from "@mangoreach/operators";
import { formatCausalTime } from "@mangoreach/shared";
import type { StageClient } from "@mangoreach/stages";
import { Result } from "true-myth";
import type { EntryContext } from "./entry_context.ts";
import type { GenerationTools, TokenSink } from "./generation_runner.ts";
import { runGeneration } from "./generation_runner.ts";
import type { PoolSet } from "./pool_set.ts";
import type { RequestRun } from "./request_run.ts";
import type { SecondAttemptPolicy } from "./stage_attempts.ts";
import { createAbortedFailure, runAttempts } from "./stage_attempts.ts";

/** An admitted pipeline request. */
export interface PipelineTask {
  run: RequestRun;
  pipeline: PipelineConfig;
  body: PipelineBody;
  /** Receives the tokens of the last stage if the caller wants a stream. */
  sink: TokenSink | undefined;
}

/** Runs pipelines. */
export interface PipelineRunner {
  /** Runs all stages and returns the output of the last one. */
  run(task: PipelineTask): Promise<Result<unknown, Failure>>;
  /** Estimates the times of the stages, for admission. */
  forecast(
    pipeline: PipelineConfig,
    request: { priority: number; textLength: number },
  ): StageForecast[];
}

/** Options of {@linkcode createPipelineRunner}. */
export interface PipelineRunnerOptions {
  pools: PoolSet;
  stages: StageClient;
  engines: EngineClient;
  affinity: PrefixAffinity;
  policy: SecondAttemptPolicy;
  demand: DemandTracker;
  /** Whether requests that cannot meet their deadline are dropped between stages. */
  dropsInfeasible: boolean;
}

const PREFIX_NAME_LENGTH = 16;
/** Largest share of the prefill time that a cached prefix saves. */
const CACHED_PREFILL_SHARE = 0.7;

/** Creates the runner of one entry. */
export function createPipelineRunner(
  context: EntryContext,
  options: PipelineRunnerOptions,
): PipelineRunner {
  const { clock, timeline, metrics } = context;
  const { pools, affinity, policy } = options;
  const decodeTimes = new Map<string, LatencyModel>();

  function findDecodeTimes(pool: string): LatencyModel {
    const known = decodeTimes.get(pool);
    if (known !== undefined) return known;
    const created = createLatencyModel();
    decodeTimes.set(pool, created);
    return created;
  }

  function forecastStage(
    stage: StageConfig,
    { priority, textLength }: { priority: number; textLength: number },
  ): StageForecast {
    const pool = pools.find(stage.pool, stage.model);
    const decode = stage.maxTokens === undefined
      ? undefined
      : findDecodeTimes(stage.pool);
    const tokens = stage.maxTokens ?? 0;
    return {
      wait: pool.estimateWait(priority),
      service: pool.estimateService(textLength, priority) +
        (decode?.estimateTypical(tokens) ?? 0),
      unloaded: pool.estimateUnloaded(textLength) +
        (decode?.estimateUnloaded(tokens) ?? 0),
    };
  }

  async function run(task: PipelineTask): Promise<Result<unknown, Failure>> {
    const { pipeline, run: request, body } = task;
    let previous: unknown = null;
    for (const [i, stage] of pipeline.stages.entries()) {
      const reservedTime = computeReservedTime(
        pipeline.stages.slice(i + 1),
        body,
      );
      const startedAt = clock.now();
      const output = stage.model === undefined
        ? await runPlainStage(task, { stage, previous, reservedTime })
        : await runEngineStage(task, {
          stage,
          previous,
          reservedTime,
        });
      metrics.observeStage(stage.name, (clock.now() - startedAt) / 1_000);
      if (output.isErr) {
        return Result.err(explainFailure(request, output.error));
      }
      previous = output.value;
      if (isInfeasible(task, i)) return Result.err(failInfeasible(request));
    }
    return Result.ok(previous);
  }

  /** Computes the time that the given stages need without load. */
  function computeReservedTime(
    stages: readonly StageConfig[],
    { text }: PipelineBody,
  ): number {
    if (!options.dropsInfeasible) return 0;
    const request = { priority: 1, textLength: text.length };
    return stages.reduce(
      (sum, stage) => sum + forecastStage(stage, request).unloaded,
      0,
    );
  }

  function isInfeasible({ pipeline, body, run }: PipelineTask, i: number) {
    if (run.deadline.hasPassed()) return true;
    const rest = computeReservedTime(pipeline.stages.slice(i + 1), body);
    return run.deadline.remaining() < rest;
  }

  async function runPlainStage(
    { run, body }: PipelineTask,
    { stage, previous, reservedTime }: StageStep,
  ): Promise<Result<unknown, Failure>> {
    const work: PoolWork = {
      workClass: run.workClass,
      account: run.account,
      size: body.text.length,
      deadline: run.deadline,
      reservedTime,
    };
    const done = await runAttempts<unknown>({
      clock,
      metrics,
      run,
      poolName: stage.pool,
      pool: pools.find(stage.pool),
      work,
      policy,
      retainsPermit: false,
      send: async ({ endpoint, number, signal }) => {
        const subject = {
          request: run.id,
          stage: stage.name,
          endpoint: endpoint.id,
        };
        timeline.record("stage_sent", subject);
        const reply = await options.stages.call({
          endpoint,
          requestId: run.wireId,
          stage: stage.name,
          attempt: number,
          input: { text: body.text, previous },
          causalTime: formatCausalTime(timeline.clock.tick()),
          signal,
        });
        if (reply.isOk) timeline.clock.observe(reply.value.causalTime);
        timeline.record(
          reply.isOk ? "stage_answered" : "stage_failed",
          subject,
        );
        return reply.map(({ output }) => output);
      },
      onWasted: (duration) => addWastedTime(stage.pool, duration),
    });
    return done.map(({ value }) => value);
  }

  async function runEngineStage(
    { run, body, sink, pipeline }: PipelineTask,
    { stage, previous, reservedTime }: StageStep,
  ): Promise<Result<unknown, Failure>> {
    const isLast = stage === pipeline.stages.at(-1);
    options.demand.record(stage.model ?? "", stage.maxTokens ?? 0);
    const prefix = formatPrefixName(body.prefix);
    const collector = createCollector();
    const saving = estimatePrefixSaving(stage, body.text.length);
    const ended = await runGeneration(context, {
      task: {
        run,
        stage: stage.name,
        poolName: stage.pool,
        pool: pools.find(stage.pool, stage.model),
        model: stage.model ?? "",
        prompt: formatPrompt(body, previous),
        prefix,
        maxTokens: stage.maxTokens ?? 0,
        reservedTime,
        affinity: prefix === ""
          ? undefined
          : (endpoint) =>
            saving * affinity.estimate(formatEndpointKey(endpoint), prefix),
        sink: isLast && sink !== undefined ? sink : collector,
        isResumable: isLast && sink !== undefined,
      },
      tools: createTools(stage.pool),
    });
    timeline.record(ended.isOk ? "stage_answered" : "stage_failed", {
      request: run.id,
      stage: stage.name,
    });
    return ended.map(() => collector.readText());
  }

  /**
   * Estimates the share of a stage's time that a cached prefix saves: most of the
   * prefill time and none of the decode time.
   */
  function estimatePrefixSaving(stage: StageConfig, length: number): number {
    const prefill = pools.find(stage.pool, stage.model).estimateUnloaded(
      length,
    );
    const decode = findDecodeTimes(stage.pool)
      .estimateUnloaded(stage.maxTokens ?? 0);
    return CACHED_PREFILL_SHARE * prefill / (prefill + decode);
  }

  function createTools(pool: string): GenerationTools {
    return {
      engines: options.engines,
      policy,
      decodeTimes: findDecodeTimes(pool),
      onSent: (endpoint, prefix) =>
        affinity.recordSent(formatEndpointKey(endpoint), prefix),
      onWasted: addWastedTime,
    };
  }

  function addWastedTime(pool: string, duration: number): void {
    pools.addCost(pool, { duration, isUseful: false });
  }

  return {
    run,
    forecast: (pipeline, request) =>
      pipeline.stages.map((stage) => forecastStage(stage, request)),
  };
}

interface StageStep {
  stage: StageConfig;
  previous: unknown;
  reservedTime: number;
}

/** Creates the failure for the caller; its verdict covers the whole request. */
function explainFailure(run: RequestRun, failure: Failure): Failure {
  if (run.deadline.signal.aborted) return createAbortedFailure(run);
  return { ...failure, verdict: run.verdict };
}

function failInfeasible(run: RequestRun): Failure {
  if (run.deadline.signal.aborted) return createAbortedFailure(run);
  return createFailure("deadline_exceeded", {
    verdict: run.verdict,
    message: "the stages left take longer than the deadline",
  });
}

/** Formats a prompt from the previous stage's output and the caller's text. */
function formatPrompt({ text }: PipelineBody, previous: unknown): string {
  return `${JSON.stringify(previous)}\n${text}`;
}

function formatPrefixName(prefix: string | undefined): string {
  if (prefix === undefined || prefix === "") return "";
  return createHash("sha256").update(prefix).digest("hex")
    .slice(0, PREFIX_NAME_LENGTH);
}

interface Collector extends TokenSink {
  readText(): string;
}

function createCollector(): Collector {
  let parts: string[] = [];
  return {
    start() {
      parts = [];
    },
    write(tokens) {
      for (const { text } of tokens) parts.push(text);
    },
    readText: () => parts.join(""),
  };
}
