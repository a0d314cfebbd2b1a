/**
 * The life of one request at an entry: read, guard, admit, run, answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipelineBodySchema } from "@mangoreach/callers";
import type {
  Admission,
  AdmittedEnd,
  AdmittedRequest,
  AttainmentTracker,
  Deadline,
  Failure,
  OwnedRun,
  RequestId,
  RequestOutcome,
  StageForecast,
} from "@mangoreach/coordination";
import {
  createDeadline,
  createFailure,
  formatBinding,
  formatBoundId,
} from "@mangoreach/coordination";
import type { PipelineConfig } from "@mangoreach/operators";
import type { StoredAnswer } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import { parseJson, readBody } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { z } from "zod";
import type { SendAnswerOptions } from "./caller_answer.ts";
import {
  createFailureAnswer,
  createJsonAnswer,
  createStreamAnswer,
  sendAnswer,
} from "./caller_answer.ts";
import type { CredentialsCheck } from "./credentials_check.ts";
import type { EntryContext } from "./entry_context.ts";
import type { TokenSink } from "./generation_runner.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { PoolSet } from "./pool_set.ts";
import type { RequestHead } from "./request_head.ts";
import { failMalformed, readRequestHead } from "./request_head.ts";
import type { RequestRun } from "./request_run.ts";
import { createRequestRun } from "./request_run.ts";
import type { ResumeTokens } from "./resume_token.ts";
import type { ServiceRunner } from "./service_runner.ts";
import type { SiteConfig } from "./site_config.ts";

/** Handles requests of callers. */
export interface RequestHandler {
  handlePipeline(exchange: Exchange, name: string): Promise<void>;
  handleService(
    exchange: Exchange,
    target: { name: string; path: string },
  ): Promise<void>;
}

/** One HTTP exchange with a caller. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Options of {@linkcode createRequestHandler}. */
export interface RequestHandlerOptions {
  credentials: CredentialsCheck;
  readSite: () => SiteConfig | undefined;
  guard: OnceGuard;
  /** Undefined for the baselines of the bench, which admit everything. */
  admission: Admission | undefined;
  attainment: AttainmentTracker;
  pools: PoolSet;
  pipelines: PipelineRunner;
  services: ServiceRunner;
  resumeTokens: ResumeTokens;
  /** Whether new requests are refused because this entry ends. */
  isStopping: () => boolean;
}

/** What a request asks for, after its head and body were checked. */
interface CheckedRequest {
  head: RequestHead;
  id: RequestId;
  site: SiteConfig;
  className: string;
  /** The longest time allowed for what is asked. */
  maxDeadline: Millis;
  forecast(priority: number): StageForecast[];
  execute(run: RequestRun): Promise<ExecutedRequest>;
}

/** What came of running a request. */
type ExecutedRequest =
  /** To be sent. */
  | { kind: "answer"; answer: StoredAnswer }
  /** Sent already, as a stream, whole. */
  | { kind: "streamed" }
  | { kind: "failed"; failure: Failure }
  /** The failure was already sent inside the stream. */
  | { kind: "stream_failed"; failure: Failure };

const RETRY_AFTER_NOT_READY: Millis = 1_000;
const RETRY_AFTER_STOPPING: Millis = 0;

/** Creates the handler of one entry. */
export function createRequestHandler(
  context: EntryContext,
  options: RequestHandlerOptions,
): RequestHandler {
  const { settings, clock, timeline, metrics, incarnation } = context;

  async function handlePipeline(
    exchange: Exchange,
    name: string,
  ): Promise<void> {
    const opened = openRequest(exchange);
    if (opened.isErr) return refuseUnread(exchange, opened.error);
    const { head, site, id } = opened.value;
    const body = await readBodyOrFail(exchange);
    if (body === undefined) return;
    const pipeline = site.findPipeline(name);
    if (pipeline === undefined) {
      return refuse(exchange, failNotFound("pipeline", name), head);
    }
    const parsed = pipelineBodySchema.safeParse(parseJson(body.toString()));
    if (!parsed.success) {
      return refuse(exchange, failBody(parsed.error));
    }
    await serve(exchange, {
      head,
      id,
      site,
      className: head.className ?? "",
      maxDeadline: pipeline.deadlineMs,
      forecast: (priority) =>
        options.pipelines.forecast(pipeline, {
          priority,
          textLength: parsed.data.text.length,
        }),
      execute: (run) =>
        head.wantsStream && isStreamable(pipeline)
          ? executeStreamed(exchange, { run, pipeline, body: parsed.data })
          : executeWhole({ run, pipeline, body: parsed.data }),
    });
  }

  async function handleService(
    exchange: Exchange,
    { name, path }: { name: string; path: string },
  ): Promise<void> {
    const opened = openRequest(exchange);
    if (opened.isErr) return refuseUnread(exchange, opened.error);
    const { head, site, id } = opened.value;
    const body = await readBodyOrFail(exchange);
    if (body === undefined) return;
    const service = site.findService(name);
    if (service === undefined) {
      return refuse(exchange, failNotFound("service", name), head);
    }
    const contentType = exchange.request.headers["content-type"] ??
      "application/octet-stream";
    await serve(exchange, {
      head,
      id,
      site,
      className: head.className ?? "",
      maxDeadline: service.deadlineMs,
      forecast: (priority) =>
        options.services.forecast(service, {
          priority,
          bodyLength: body.length,
        }),
      execute: (run) =>
        executeService({ run, service, path, contentType, body }),
    });
  }

  async function readBodyOrFail({ request, response }: Exchange) {
    const outcome = await readBody(request, settings.limits.maxBodyBytes);
    if (outcome.kind === "whole") return outcome.body;
    if (outcome.kind === "cut") return undefined;
    refuseUnread(
      { request, response },
      createFailure("too_large", {
        verdict: "not_run",
        message:
          `the body is larger than ${settings.limits.maxBodyBytes} bytes`,
      }),
    );
    return undefined;
  }

  function openRequest({ request }: Exchange) {
    return readRequestHead(request, options.credentials).andThen((head) => {
      const site = options.readSite();
      if (site === undefined) {
        return Result.err<OpenedRequest, Failure>(
          weaken(failNotReady(), head),
        );
      }
      return Result.ok<OpenedRequest, Failure>({
        head,
        site,
        id: head.id ?? createOwnId(),
      });
    });
  }

  function createOwnId(): RequestId {
    const expiresAt = Math.floor(clock.now() + settings.timing.bindingMs);
    const text = formatBoundId(
      formatBinding(incarnation, expiresAt),
      context.createUniqueText(),
    );
    return { kind: "bound", text, incarnation, expiresAt };
  }

  /** Guards, admits, runs and answers a request whose form is good. */
  async function serve(
    exchange: Exchange,
    checked: CheckedRequest,
  ): Promise<void> {
    const { head, site, className, id } = checked;
    const workClass = site.findClass(className);
    if (workClass === undefined) {
      return refuse(exchange, failNotFound("class", className), head);
    }
    if (!site.isAllowed(head.account, className)) {
      return refuse(exchange, failClass(className), head);
    }
    const receivedAt = clock.now();
    const budget = Math.min(
      head.deadlineMs ?? checked.maxDeadline,
      checked.maxDeadline,
    );
    const deadline = createDeadline({ clock, budget });
    timeline.record("request_received", { request: id.text });
    const run = createRequestRun({
      account: head.account,
      id: id.text,
      workClass,
      deadline,
      isIdempotent: head.isIdempotent,
    });
    const stopWatching = watchCaller(exchange, run);
    const outcome = head.isIdempotent
      ? await runAdmitted(run, checked)
      : await runOnce(run, checked);
    stopWatching();
    deadline.release();
    finish(exchange, {
      run,
      outcome: weakenOutcome(outcome, head),
      receivedAt,
    });
  }

  /** Runs a non-idempotent request at most once. */
  async function runOnce(
    run: RequestRun,
    checked: CheckedRequest,
  ): Promise<ExecutedRequest> {
    const decision = await options.guard.begin({
      account: run.account,
      id: checked.id,
      isFirstAttempt: checked.head.isFirstAttempt,
      signal: run.deadline.signal,
      remaining: run.deadline.remaining(),
    });
    if (decision.isErr) return { kind: "failed", failure: decision.error };
    if (decision.value.kind === "answered") {
      return { kind: "answer", answer: decision.value.answer };
    }
    const owned = decision.value.run;
    const outcome = await runAdmitted(run, checked);
    rememberOutcome(owned, { outcome, run });
    return outcome;
  }

  async function runAdmitted(
    run: RequestRun,
    checked: CheckedRequest,
  ): Promise<ExecutedRequest> {
    if (options.isStopping()) {
      return { kind: "failed", failure: failStopping() };
    }
    // The claim may have taken until the deadline, or the process was frozen.
    if (run.deadline.hasPassed()) {
      return { kind: "failed", failure: failTooLate() };
    }
    const admitted = admit(run, checked);
    if (admitted.isErr) return { kind: "failed", failure: admitted.error };
    const budget = run.deadline.remaining();
    const outcome = await checked.execute(run);
    admitted.value?.end(describeEnd(outcome, { run, budget }));
    return outcome;
  }

  function admit(
    run: RequestRun,
    checked: CheckedRequest,
  ): Result<AdmittedRequest | undefined, Failure> {
    if (options.admission === undefined) return Result.ok(undefined);
    return options.admission.admit({
      workClass: run.workClass,
      remaining: run.deadline.remaining(),
      stages: checked.forecast(run.workClass.priority),
    });
  }

  async function executeWhole(
    task: Pick<PipelineTaskParts, "run" | "pipeline" | "body">,
  ): Promise<ExecutedRequest> {
    const { run, pipeline } = task;
    const output = await options.pipelines.run({ ...task, sink: undefined });
    if (output.isErr) return { kind: "failed", failure: output.error };
    const answer = createJsonAnswer({
      request_id: run.id,
      pipeline: pipeline.name,
      output: output.value,
    });
    return { kind: "answer", answer };
  }

  async function executeStreamed(
    { response }: Exchange,
    task: PipelineTaskParts,
  ): Promise<ExecutedRequest> {
    const { run } = task;
    const stream = createStreamAnswer(response, run.id);
    let count = 0;
    const sink: TokenSink = {
      start({ permit, streamId }) {
        const { endpoint } = permit;
        count = 0;
        stream.start(options.resumeTokens.sign({
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
      take(tokens) {
        count += tokens.length;
        if (!stream.send(tokens)) run.deadline.cancel("caller_gone");
      },
    };
    const output = await options.pipelines.run({ ...task, sink });
    if (output.isOk) {
      stream.end(count);
      return { kind: "streamed" };
    }
    if (!stream.hasStarted) return { kind: "failed", failure: output.error };
    stream.fail(output.error);
    return { kind: "stream_failed", failure: output.error };
  }

  async function executeService(
    task: Parameters<ServiceRunner["run"]>[0],
  ): Promise<ExecutedRequest> {
    const reply = await options.services.run(task);
    if (reply.isErr) return { kind: "failed", failure: reply.error };
    const { status, contentType, text } = reply.value;
    const answer = { status, contentType, verdict: "ran", body: text } as const;
    return { kind: "answer", answer };
  }

  /**
   * Stops the work when the caller goes away. A non-idempotent request goes on:
   * it may have run already, and whoever asks again gets its outcome.
   */
  function watchCaller({ response }: Exchange, run: RequestRun): () => void {
    const onClose = () => {
      if (response.writableFinished || !run.isIdempotent) return;
      timeline.record("request_cancelled", { request: run.id });
      run.deadline.cancel("caller_gone");
    };
    response.once("close", onClose);
    return () => response.removeListener("close", onClose);
  }

  function finish(
    { response }: Exchange,
    { run, outcome, receivedAt }: {
      run: RequestRun;
      outcome: ExecutedRequest;
      receivedAt: Millis;
    },
  ): void {
    if (outcome.kind === "answer") {
      sendAnswer(response, outcome.answer, { requestId: run.id });
    }
    if (outcome.kind === "failed") {
      sendAnswer(response, createFailureAnswer(outcome.failure), {
        requestId: run.id,
        retryAfterMs: outcome.failure.retryAfterMs,
      });
    }
    const requestOutcome = classifyOutcome(outcome, run.deadline);
    const isUseful = requestOutcome === "in_time";
    for (const { pool, duration } of run.costs) {
      options.pools.addCost(pool, { duration, isUseful });
    }
    const className = run.workClass.name;
    options.attainment.record(className, requestOutcome);
    metrics.countRequest(className, requestOutcome);
    metrics.observeRequest(className, (clock.now() - receivedAt) / 1_000);
    const failure = "failure" in outcome ? outcome.failure : undefined;
    if (failure !== undefined) metrics.countRefusal(failure.kind);
    timeline.record(
      failure?.verdict === "not_run" ? "request_refused" : "request_answered",
      { request: run.id, detail: failure?.kind ?? requestOutcome },
    );
  }

  /** Refuses before the body was read, so the connection cannot be kept. */
  function refuseUnread(exchange: Exchange, failure: Failure): void {
    exchange.response.setHeader("connection", "close");
    refuse(exchange, failure);
  }

  function refuse(
    { response }: Exchange,
    failure: Failure,
    head?: RequestHead,
  ): void {
    const shown = head === undefined ? failure : weaken(failure, head);
    metrics.countRefusal(shown.kind);
    const sending: SendAnswerOptions = { retryAfterMs: shown.retryAfterMs };
    sendAnswer(response, createFailureAnswer(shown), sending);
  }

  return { handlePipeline, handleService };
}

interface OpenedRequest {
  head: RequestHead;
  site: SiteConfig;
  id: RequestId;
}

interface PipelineTaskParts {
  run: RequestRun;
  pipeline: PipelineConfig;
  body: z.infer<typeof pipelineBodySchema>;
}

function rememberOutcome(
  owned: OwnedRun<StoredAnswer>,
  { outcome, run }: { outcome: ExecutedRequest; run: RequestRun },
): void {
  const answer = createRememberedAnswer(outcome, run);
  // Only what certainly did not run may be run by a later attempt.
  const isUntouched = outcome.kind === "failed" &&
    outcome.failure.verdict === "not_run";
  if (isUntouched) owned.abandon(answer);
  else owned.finish(answer);
}

function createRememberedAnswer(
  outcome: ExecutedRequest,
  run: RequestRun,
): StoredAnswer {
  if (outcome.kind === "answer") return outcome.answer;
  if (outcome.kind !== "streamed") return createFailureAnswer(outcome.failure);
  return createFailureAnswer(createFailure("duplicate", {
    verdict: "ran",
    message: `request ${run.id} was streamed; resume it with its token`,
  }));
}

/** What an outcome says about how much of its class may be admitted. */
function describeEnd(
  outcome: ExecutedRequest,
  { run, budget }: { run: RequestRun; budget: Millis },
): AdmittedEnd {
  const left = run.deadline.remaining();
  if (!("failure" in outcome)) {
    return left > 0
      ? { kind: "in_time", slack: left / budget }
      : { kind: "missed" };
  }
  const { kind } = outcome.failure;
  const isMissed = kind === "deadline_exceeded" || kind === "overloaded";
  return { kind: isMissed ? "missed" : "other" };
}

function classifyOutcome(
  outcome: ExecutedRequest,
  deadline: Deadline,
): RequestOutcome {
  if (outcome.kind === "answer" || outcome.kind === "streamed") {
    return deadline.hasPassed() ? "late" : "in_time";
  }
  return outcome.failure.verdict === "not_run" ? "refused" : "failed";
}

/**
 * The verdict of a refusal covers every attempt of the id at any entry. An
 * idempotent request leaves no record elsewhere, so only a caller's word that
 * this is the first attempt makes `not_run` certain.
 */
function weaken(failure: Failure, head: RequestHead): Failure {
  if (failure.verdict !== "not_run" || head.isFirstAttempt) return failure;
  return { ...failure, verdict: "may_have_run" };
}

function weakenOutcome(
  outcome: ExecutedRequest,
  head: RequestHead,
): ExecutedRequest {
  // The guard knows all attempts of a non-idempotent request.
  if (!("failure" in outcome) || !head.isIdempotent) return outcome;
  return { ...outcome, failure: weaken(outcome.failure, head) };
}

function isStreamable({ stages }: PipelineConfig): boolean {
  return stages.at(-1)?.model !== undefined;
}

function failBody(error: z.ZodError): Failure {
  const [issue] = error.issues;
  const path = issue?.path.join(".") ?? "";
  return failMalformed(
    `the body is malformed: ${path} ${issue?.message ?? "not JSON"}`,
  );
}

function failNotFound(what: string, name: string): Failure {
  return createFailure("not_found", {
    verdict: "not_run",
    message: `no ${what} named "${name}"`,
  });
}

function failClass(className: string): Failure {
  return createFailure("unauthorized", {
    verdict: "not_run",
    message: `the account may not send in class "${className}"`,
  });
}

function failNotReady(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "this entry has no configuration yet",
    retryAfterMs: RETRY_AFTER_NOT_READY,
  });
}

function failStopping(): Failure {
  return createFailure("stopping", {
    verdict: "not_run",
    message: "this entry is stopping; ask for addresses and use another",
    retryAfterMs: RETRY_AFTER_STOPPING,
  });
}

function failTooLate(): Failure {
  return createFailure("deadline_exceeded", {
    verdict: "not_run",
    message: "the deadline passed before anything was sent",
  });
}
