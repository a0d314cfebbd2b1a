/**
 * Runs a generation: hedges until the first token arrives, then follows the
 * stream. A broken connection is resumed at the same engine; if the engine has
 * failed, the generation restarts at another engine.
 *
 * @module
 */
import type {
  Failure,
  LatencyModel,
  Permit,
  RoutingRequest,
  StagePool,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { EngineClient, GenerationEvent, Token } from "@mangoreach/engines";
import { formatCausalTime } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { EntryContext } from "./entry_context.ts";
import type { RequestRun } from "./request_run.ts";
import type { SecondAttemptPolicy, StageAttempt } from "./stage_attempts.ts";
import { createAbortedFailure, runAttempts } from "./stage_attempts.ts";

/** A generation to run. */
export interface GenerationTask {
  run: RequestRun;
  stage: string;
  poolName: string;
  pool: StagePool;
  model: string;
  prompt: string;
  prefix: string;
  maxTokens: number;
  /** Time reserved for later stages. */
  reservedTime: number;
  affinity: NonNullable<RoutingRequest["affinity"]> | undefined;
  /** Receives the tokens as they arrive. */
  sink: TokenSink;
  /**
   * Whether the caller may resume the stream, so that the engine must continue for
   * a while after it loses its reader.
   */
  isResumable: boolean;
}

/** Receives the tokens of a generation. */
export interface TokenSink {
  /** Starts a generation; earlier tokens belong to a failed one. */
  start(generation: StartedGeneration): void;
  write(tokens: readonly Token[]): void;
}

/** Where a generation runs. */
export interface StartedGeneration {
  permit: Permit;
  streamId: string;
}

/** Dependencies of {@linkcode runGeneration}. */
export interface GenerationTools {
  engines: EngineClient;
  policy: SecondAttemptPolicy;
  /** Model of the time from the first token to the last, by token limit. */
  decodeTimes: LatencyModel;
  onSent: (permit: Permit["endpoint"], prefix: string) => void;
  onWasted: (pool: string, duration: number) => void;
}

interface OpenedGeneration {
  events: AsyncGenerator<GenerationEvent>;
  streamId: string;
  /** The first event after `start`. */
  first: GenerationEvent;
  controller: AbortController;
}

const MAX_RUNS = 3;
const MAX_RESUMES = 2;

/** Runs a generation to its end; returns the number of tokens. */
export async function runGeneration(
  context: EntryContext,
  { task, tools }: { task: GenerationTask; tools: GenerationTools },
): Promise<Result<number, Failure>> {
  const { run } = task;
  let number = 1;
  for (let runCount = 1;; runCount++) {
    const opened = await openGeneration(context, { task, tools, number });
    if (opened.isErr) return Result.err(opened.error);
    number = opened.value.number + 1;
    const end = await followGeneration(context, {
      task,
      tools,
      opened: opened.value,
    });
    if (end.isOk) return end;
    const mayRepeat = run.isIdempotent && runCount < MAX_RUNS &&
      !run.deadline.signal.aborted && tools.policy.budget.withdraw();
    if (!mayRepeat) return end;
    context.metrics.countSecondAttempt("retry");
  }
}

type OpenedSuccess = {
  value: OpenedGeneration;
  permit: Permit;
  number: number;
  startedAt: number;
};

async function openGeneration(
  context: EntryContext,
  { task, tools, number }: {
    task: GenerationTask;
    tools: GenerationTools;
    number: number;
  },
): Promise<Result<OpenedSuccess, Failure>> {
  const { run, pool, prompt, affinity } = task;
  return await runAttempts<OpenedGeneration>({
    clock: context.clock,
    metrics: context.metrics,
    run,
    poolName: task.poolName,
    pool,
    work: {
      workClass: run.workClass,
      account: run.account,
      size: prompt.length,
      deadline: run.deadline,
      reservedTime: task.reservedTime +
        tools.decodeTimes.estimateTypical(task.maxTokens),
      ...(affinity === undefined ? {} : { affinity }),
    },
    policy: tools.policy,
    firstNumber: number,
    retainsPermit: true,
    send: (attempt) => sendGeneration(context, { task, tools, attempt }),
    onWasted: (duration) => tools.onWasted(task.poolName, duration),
  });
}

async function sendGeneration(
  { settings, timeline }: EntryContext,
  { task, tools, attempt }: {
    task: GenerationTask;
    tools: GenerationTools;
    attempt: StageAttempt;
  },
): Promise<Result<OpenedGeneration, Failure>> {
  const { run, stage } = task;
  const { endpoint, signal } = attempt;
  // Separate from the attempt's signal: once the stream is open, only the end of
  // the request aborts it.
  const controller = new AbortController();
  const abort = () => controller.abort();
  signal.addEventListener("abort", abort, { once: true });
  if (task.prefix !== "") tools.onSent(endpoint, task.prefix);
  timeline.record("stage_sent", {
    request: run.id,
    stage,
    endpoint: endpoint.id,
  });
  const events = tools.engines.generate({
    endpoint,
    requestId: run.wireId,
    stage,
    attempt: attempt.number,
    model: task.model,
    prompt: task.prompt,
    prefix: task.prefix,
    maxTokens: task.maxTokens,
    priority: run.workClass.priority,
    lingerMs: task.isResumable ? settings.timing.lingerMs : 0,
    causalTime: formatCausalTime(timeline.clock.tick()),
    signal: controller.signal,
  });
  const first = await readFirstEvent(events);
  signal.removeEventListener("abort", abort);
  if (first.event.kind === "broken") {
    // Engines continue for a while without a reader, so that streams can be
    // resumed. This one is not resumed, so cancelling it frees its slot.
    if (first.streamId !== undefined) {
      void tools.engines.cancel(endpoint, first.streamId);
    }
    return Result.err(first.event.failure);
  }
  const { streamId } = first;
  if (streamId === undefined) {
    return Result.err(failStream("sent tokens before its start"));
  }
  return Result.ok({ events, controller, streamId, first: first.event });
}

interface FirstEvent {
  streamId: string | undefined;
  /** The first event that is not `start`. */
  event: GenerationEvent;
}

async function readFirstEvent(
  events: AsyncGenerator<GenerationEvent>,
): Promise<FirstEvent> {
  let streamId: string | undefined;
  for (;;) {
    const next = await events.next();
    if (next.done) {
      const failure = failStream("ended before its first token");
      return { streamId, event: { kind: "broken", failure } };
    }
    if (next.value.kind !== "start") return { streamId, event: next.value };
    streamId = next.value.streamId;
  }
}

interface FollowedStream {
  events: AsyncGenerator<GenerationEvent>;
  /** Sequence number of the next token. */
  next: number;
  resumes: number;
}

/** Forwards the tokens of an opened generation until it ends. */
async function followGeneration(
  context: EntryContext,
  { task, tools, opened }: {
    task: GenerationTask;
    tools: GenerationTools;
    opened: OpenedSuccess;
  },
): Promise<Result<number, Failure>> {
  const { run, sink } = task;
  const { permit, value, startedAt } = opened;
  const { clock } = context;
  const firstTokenAt = clock.now();
  const stop = () => value.controller.abort();
  run.deadline.signal.addEventListener("abort", stop, { once: true });
  sink.start({ permit, streamId: value.streamId });
  const stream: FollowedStream = { events: value.events, next: 0, resumes: 0 };
  const end = await readToEnd(stream, { task, tools, opened });
  run.deadline.signal.removeEventListener("abort", stop);
  const duration = clock.now() - startedAt;
  if (end.isOk) {
    tools.decodeTimes.record(task.maxTokens, clock.now() - firstTokenAt);
    run.costs.push({ pool: task.poolName, duration });
    permit.release("done");
    return end;
  }
  tools.onWasted(task.poolName, duration);
  const isRequestAborted = run.deadline.signal.aborted;
  permit.release(isRequestAborted ? "abandoned" : "failing");
  if (!isRequestAborted) return end;
  if (!task.isResumable || run.deadline.hasPassed()) {
    void tools.engines.cancel(permit.endpoint, value.streamId);
  }
  return Result.err(createAbortedFailure(run));
}

async function readToEnd(
  stream: FollowedStream,
  { task, tools, opened }: {
    task: GenerationTask;
    tools: GenerationTools;
    opened: OpenedSuccess;
  },
): Promise<Result<number, Failure>> {
  const { run, sink } = task;
  let event: GenerationEvent | undefined = opened.value.first;
  for (;;) {
    if (event === undefined) {
      return Result.err(failStream("ended without its end event"));
    }
    if (event.kind === "tokens") {
      sink.write(event.tokens);
      stream.next += event.tokens.length;
    } else if (event.kind === "end") return Result.ok(event.count);
    else if (event.kind === "broken") {
      const isUnrecoverable = run.deadline.signal.aborted ||
        stream.resumes >= MAX_RESUMES;
      if (isUnrecoverable) return Result.err(event.failure);
      stream.resumes++;
      stream.events = tools.engines.resume({
        endpoint: opened.permit.endpoint,
        streamId: opened.value.streamId,
        next: stream.next,
        signal: run.deadline.signal,
      });
    }
    const following: IteratorResult<GenerationEvent> = await stream.events
      .next();
    event = following.done ? undefined : following.value;
  }
}

function failStream(message: string): Failure {
  return createFailure("bad_reply", {
    verdict: "may_have_run",
    message: `the engine's stream ${message}`,
  });
}
