/**
 * Processes a request from receipt to response: reads it, checks for duplicates,
 * admits it, runs it and answers.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipelineBodySchema } from "@mangoreach/callers";
import type {
  Admission,
  AdmittedRequest,
  AttainmentTracker,
  Failure,
  RequestId,
  RunHandle,
  StageForecast,
} from "@mangoreach/coordination";
import {
  createDeadline,
  createFailure,
  createFullFailure,
  createMemoryFailure,
  formatBinding,
  formatBoundId,
} from "@mangoreach/coordination";
import type { StoredAnswer } from "@mangoreach/peers";
import type { ConnectionGuard, Millis } from "@mangoreach/shared";
import { parseJson, readBody } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { SendAnswerOptions } from "./caller_answer.ts";
import { createFailureAnswer, sendAnswer } from "./caller_answer.ts";
import type { CredentialsCheck } from "./credentials_check.ts";
import type { EntryContext } from "./entry_context.ts";
import type { AtMostOnceGuard } from "./at_most_once_guard.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { PoolSet } from "./pool_set.ts";
import {
  failBody,
  failClass,
  failDeadlinePassed,
  failNotFound,
  failNotReady,
  failStopping,
} from "./request_failures.ts";
import type { RequestHead } from "./request_head.ts";
import { readRequestHead } from "./request_head.ts";
import type { RequestExecution } from "./request_execution.ts";
import { isStreamable } from "./request_execution.ts";
import type { ExecutionResult } from "./request_outcome.ts";
import {
  classifyForAdmission,
  classifyOutcome,
  createStoredAnswer,
  weakenOutcome,
  weakenVerdict,
} from "./request_outcome.ts";
import type { RequestRun } from "./request_run.ts";
import { createRequestRun } from "./request_run.ts";
import type { ServiceRunner } from "./service_runner.ts";
import type { SiteConfig } from "./site_config.ts";

/** Handles requests from callers. */
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
  guard: AtMostOnceGuard;
  /** Bounds the requests and bodies of all connections. */
  connections: ConnectionGuard;
  /** Undefined for the baselines, which admit everything. */
  admission: Admission | undefined;
  attainment: AttainmentTracker;
  pools: PoolSet;
  pipelines: PipelineRunner;
  services: ServiceRunner;
  execution: RequestExecution;
  /** Whether new requests are refused because this entry is stopping. */
  isStopping: () => boolean;
  /** Time until requests are cut off; infinite unless this entry stops. */
  readTimeLeft: () => Millis;
}

/** A request whose head and body are valid. */
interface CheckedRequest {
  head: RequestHead;
  id: RequestId;
  site: SiteConfig;
  className: string;
  /** The longest deadline allowed for the pipeline or service. */
  maxDeadline: Millis;
  forecast(priority: number): StageForecast[];
  execute(run: RequestRun): Promise<ExecutionResult>;
}

/** Requests may take longer than is forecast for them. */
const FORECAST_FACTOR = 1.5;

/** Creates the request handler of one entry. */
export function createRequestHandler(
  context: EntryContext,
  options: RequestHandlerOptions,
): RequestHandler {
  const { settings, clock, timeline, metrics, incarnation } = context;
  const { execution } = options;

  async function handlePipeline(
    exchange: Exchange,
    name: string,
  ): Promise<void> {
    const opened = openRequest(exchange);
    if (opened.isErr) return refuseWithoutBody(exchange, opened.error);
    const { head, site, id } = opened.value;
    const body = await readBodyOrRefuse(exchange, head);
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
          ? execution.runStreamed(exchange, {
            run,
            pipeline,
            body: parsed.data,
          })
          : execution.runBuffered({ run, pipeline, body: parsed.data }),
    });
  }

  async function handleService(
    exchange: Exchange,
    { name, path }: { name: string; path: string },
  ): Promise<void> {
    const opened = openRequest(exchange);
    if (opened.isErr) return refuseWithoutBody(exchange, opened.error);
    const { head, site, id } = opened.value;
    const body = await readBodyOrRefuse(exchange, head);
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
        execution.runService({ run, service, path, contentType, body }),
    });
  }

  async function readBodyOrRefuse(
    { request, response }: Exchange,
    head: RequestHead,
  ) {
    const outcome = await readBody(request, settings.limits.maxBodyBytes);
    if (outcome.kind === "cut") return undefined;
    if (outcome.kind === "no_memory") {
      refuseWithoutBody(
        { request, response },
        weakenVerdict(createMemoryFailure(), head),
      );
      return undefined;
    }
    if (outcome.kind === "whole") {
      if (!options.connections.isFull()) return outcome.body;
      options.connections.record("requests");
      refuse({ request, response }, createFullFailure(), head);
      return undefined;
    }
    refuseWithoutBody(
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
          weakenVerdict(failNotReady(), head),
        );
      }
      return Result.ok<OpenedRequest, Failure>({
        head,
        site,
        id: head.id ?? generateRequestId(),
      });
    });
  }

  function generateRequestId(): RequestId {
    const expiresAt = Math.floor(clock.now() + settings.timing.bindingMs);
    const text = formatBoundId(
      formatBinding(incarnation, expiresAt),
      context.createUniqueText(),
    );
    return { kind: "bound", text, incarnation, expiresAt };
  }

  /** Checks for duplicates, admits, runs and answers a valid request. */
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
  ): Promise<ExecutionResult> {
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
    const runHandle = decision.value.run;
    const outcome = await runAdmitted(run, checked);
    storeOutcome(runHandle, { outcome, run });
    return outcome;
  }

  async function runAdmitted(
    run: RequestRun,
    checked: CheckedRequest,
  ): Promise<ExecutionResult> {
    if (options.isStopping() || !mayEndInTime(run, checked)) {
      return { kind: "failed", failure: failStopping() };
    }
    // The deadline may have passed while the claim was pending or the process
    // was paused.
    if (run.deadline.hasPassed()) {
      return { kind: "failed", failure: failDeadlinePassed() };
    }
    const admitted = admit(run, checked);
    if (admitted.isErr) return { kind: "failed", failure: admitted.error };
    const budget = run.deadline.remaining();
    const outcome = await checked.execute(run);
    admitted.value?.end(classifyForAdmission(outcome, { run, budget }));
    return outcome;
  }

  /**
   * Whether a request ends before this entry would cut it off: by its deadline,
   * or by a forecast of its stages.
   */
  function mayEndInTime(
    { deadline, workClass }: RequestRun,
    checked: CheckedRequest,
  ): boolean {
    const left = options.readTimeLeft();
    if (deadline.remaining() <= left) return true;
    const time = checked.forecast(workClass.priority)
      .reduce((sum, { wait, service }) => sum + wait + service, 0);
    return FORECAST_FACTOR * time <= left;
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

  /**
   * Cancels an idempotent request when its caller disconnects. A non-idempotent
   * request continues, as it may have run already; a retry gets its outcome.
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
      outcome: ExecutionResult;
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

  /** Refuses before the body is read, so the connection must be closed. */
  function refuseWithoutBody(exchange: Exchange, failure: Failure): void {
    exchange.response.setHeader("connection", "close");
    refuse(exchange, failure);
  }

  function refuse(
    { response }: Exchange,
    failure: Failure,
    head?: RequestHead,
  ): void {
    const reported = head === undefined
      ? failure
      : weakenVerdict(failure, head);
    metrics.countRefusal(reported.kind);
    const sending: SendAnswerOptions = { retryAfterMs: reported.retryAfterMs };
    sendAnswer(response, createFailureAnswer(reported), sending);
  }

  return { handlePipeline, handleService };
}

interface OpenedRequest {
  head: RequestHead;
  site: SiteConfig;
  id: RequestId;
}

function storeOutcome(
  owned: RunHandle<StoredAnswer>,
  { outcome, run }: { outcome: ExecutionResult; run: RequestRun },
): void {
  const answer = createStoredAnswer(outcome, run);
  // A later attempt may run the request only if it certainly did not run.
  const isNotRun = outcome.kind === "failed" &&
    outcome.failure.verdict === "not_run";
  if (isNotRun) owned.abandon(answer);
  else owned.finish(answer);
}
