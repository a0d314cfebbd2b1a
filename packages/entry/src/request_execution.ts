/**
 * Runs an admitted request: a buffered or streamed pipeline, or a service call.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { PipelineBody } from "@mangoreach/callers";
import type { PipelineConfig } from "@mangoreach/operators";
import { createJsonAnswer, createStreamAnswer } from "./caller_answer.ts";
import type { EntryContext } from "./entry_context.ts";
import type { TokenSink } from "./generation_runner.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { ExecutionResult } from "./request_outcome.ts";
import type { RequestRun } from "./request_run.ts";
import type { ResumeTokens } from "./resume_token.ts";
import type { ServiceRunner, ServiceTask } from "./service_runner.ts";

/** An admitted pipeline request. */
export interface PipelineExecution {
  run: RequestRun;
  pipeline: PipelineConfig;
  body: PipelineBody;
}

/** Runs admitted requests. */
export interface RequestExecution {
  runBuffered(task: PipelineExecution): Promise<ExecutionResult>;
  /** Streams the answer as it is generated. */
  runStreamed(
    exchange: { response: ServerResponse },
    task: PipelineExecution,
  ): Promise<ExecutionResult>;
  runService(task: ServiceTask): Promise<ExecutionResult>;
}

/** Options of {@linkcode createRequestExecution}. */
export interface RequestExecutionOptions {
  pipelines: PipelineRunner;
  services: ServiceRunner;
  resumeTokens: ResumeTokens;
}

/** Whether the last stage of a pipeline generates tokens. */
export function isStreamable({ stages }: PipelineConfig): boolean {
  return stages.at(-1)?.model !== undefined;
}

/** Creates the request execution of one entry. */
export function createRequestExecution(
  { settings }: EntryContext,
  { pipelines, services, resumeTokens }: RequestExecutionOptions,
): RequestExecution {
  async function runBuffered(
    task: PipelineExecution,
  ): Promise<ExecutionResult> {
    const { run, pipeline } = task;
    const output = await pipelines.run({ ...task, sink: undefined });
    if (output.isErr) return { kind: "failed", failure: output.error };
    const answer = createJsonAnswer({
      request_id: run.id,
      pipeline: pipeline.name,
      output: output.value,
    });
    return { kind: "answer", answer };
  }

  async function runStreamed(
    { response }: { response: ServerResponse },
    task: PipelineExecution,
  ): Promise<ExecutionResult> {
    const { run } = task;
    const stream = createStreamAnswer(response, run.id);
    let count = 0;
    const sink: TokenSink = {
      start({ permit, streamId }) {
        const { endpoint } = permit;
        count = 0;
        stream.start(resumeTokens.sign({
          account: run.account,
          requestId: run.id,
          endpointId: endpoint.id,
          address: endpoint.address,
          pool: endpoint.pool,
          place: endpoint.place,
          incarnation: endpoint.incarnation,
          streamId,
          className: run.workClass.name,
          deadlineAt: run.deadline.at,
          expiresAt: run.deadline.at + settings.timing.lingerMs,
        }));
      },
      write(tokens) {
        count += tokens.length;
        if (!stream.send(tokens)) run.deadline.cancel("caller_gone");
      },
    };
    const output = await pipelines.run({ ...task, sink });
    if (output.isOk) {
      stream.end(count);
      return { kind: "streamed" };
    }
    if (!stream.hasStarted) return { kind: "failed", failure: output.error };
    stream.fail(output.error);
    return { kind: "stream_failed", failure: output.error };
  }

  async function runService(
    task: ServiceTask,
  ): Promise<ExecutionResult> {
    const reply = await services.run(task);
    if (reply.isErr) return { kind: "failed", failure: reply.error };
    const { status, contentType, text, isUnproven } = reply.value;
    const answer = {
      status,
      contentType,
      verdict: "ran",
      body: text,
      isUnproven,
    } as const;
    return { kind: "answer", answer };
  }

  return { runBuffered, runStreamed, runService };
}
