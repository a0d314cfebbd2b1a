/**
 * Sends a request to endpoints and retries it where the route permits.
 *
 * A request that must not run twice is sent to a second endpoint only if the
 * first reported that it did not run it, or if nothing was sent. Every retry of
 * a request that has reached an endpoint draws on the pool's retry budget.
 *
 * @module
 */
import type {
  Deadline,
  EndpointInfo,
  Failure,
  Verdict,
} from "@mangoreach/coordination";
import { createFailure, formatEndpointKey } from "@mangoreach/coordination";
import {
  AnswerLimitError,
  createEventBoundary,
  readLimitedBody,
} from "@mangoreach/shared";
import type { EventPosition, HttpFault, Millis } from "@mangoreach/shared";
import type { AnswerEnd, ContentEnd } from "./answer_end.ts";
import {
  classifyBody,
  classifyContent,
  classifyEnd,
  classifyPosition,
} from "./answer_end.ts";
import type { CallerResponse } from "./caller_response.ts";
import { forwardChunks, MAX_BUFFERED_BYTES } from "./chunk_forwarding.ts";
import { isRetryable, scheduleEarlyRelease } from "./early_release.ts";
import { computeRetryAfter, waitForEndpoint } from "./endpoint_choice.ts";
import type { AttemptResult } from "./endpoint_load.ts";
import { readExpectedAnswer, sumTokens } from "./expected_answer.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import type {
  EndpointAnswer,
  EndpointReply,
  ForwardedRequest,
  NotRunReason,
  RequestHead,
} from "./platform_interfaces.ts";
import type { ServingState } from "./serving_state.ts";
import type { StageResults } from "./stage_graph.ts";
import { findStopRefusal } from "./stop_admission.ts";

/** Options of {@linkcode runAttempts}. */
export interface AttemptOptions {
  request: ForwardedRequest;
  response: CallerResponse;
  /** When the whole request had been read. */
  admittedAt: Millis;
  admitted: AdmittedRoute;
  deadline: Deadline;
  /** Results of the route's stages; undefined if it has none. */
  results: StageResults | undefined;
}

/** How the attempts ended. */
export interface AttemptOutcome {
  /** Undefined if an endpoint's answer was forwarded to the caller. */
  failure?: Failure;
  attempts: number;
  status?: number;
  endpoint?: string;
  /** Whether the forwarded answer was complete. */
  end?: "complete" | "cut";
}

/** An attempt of which nothing was sent to the caller. */
interface FailedAttempt {
  kind: "lost";
  verdict: Verdict;
  message: string;
  load: AttemptResult;
  reason?: NotRunReason;
  /** Whether the endpoint has received nothing of it. */
  isUnsent?: boolean;
  /** An error response to forward if no later attempt succeeds. */
  fallback?: BufferedReply;
}

interface BufferedReply {
  reply: EndpointReply;
  body: Buffer;
  isUnproven: boolean;
}

type FinishedAttempt = FailedAttempt | {
  kind: "answered";
  status: number;
  end: "complete" | "cut";
  /** Where a stream ended. */
  position?: EventPosition | undefined;
  load: AttemptResult;
};

/**
 * The most attempts for one request. It bounds those that did not run anywhere,
 * which `maxAttempts` of the route does not count.
 */
const MAX_ATTEMPTS = 4;
/** The largest answer, whether it is held or streamed. */
const MAX_ANSWER_BYTES = 8_388_608;
const FIRST_FAILING_STATUS = 500;
const FIRST_ERROR_STATUS = 300;

/** Makes attempts until one is answered or no further one is allowed. */
export async function runAttempts(
  state: ServingState,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { request, admittedAt, admitted, deadline } = options;
  const { route, pool, account } = admitted;
  const mayRepeat = isRetryable(route);
  const avoid: string[] = [];
  let runs = 0;
  let hasArrived = false;
  let last: FailedAttempt | undefined;
  let endpointId: string | undefined;
  for (let attempts = 0;; attempts++) {
    // Checked again before each attempt: while the stages ran, the same content
    // may have crashed endpoints that it reached through other entries.
    const refusal = state.crashDetector.findRefusal({ request, account });
    if (refusal !== undefined && runs === 0) {
      return { failure: refusal, attempts };
    }
    const isAllowed = refusal === undefined && attempts < MAX_ATTEMPTS &&
      runs < route.maxAttempts &&
      (runs === 0 || mayRepeat) && !deadline.signal.aborted;
    const endpoint = isAllowed
      ? await waitForEndpoint(state, { ...options, avoid })
      : undefined;
    const stopping = endpoint === undefined
      ? undefined
      : findStopRefusal(state, {
        head: request.head,
        admittedAt,
        admitted,
        deadline,
        endpoint,
      });
    if (stopping !== undefined && runs === 0) {
      return { failure: stopping, attempts };
    }
    // What never reached an endpoint is not repeated.
    const isWithinBudget = !hasArrived || endpoint === undefined ||
      state.findBudget(pool).withdraw();
    if (endpoint === undefined || stopping !== undefined || !isWithinBudget) {
      return finishFailed(state, options, { last, attempts, endpointId, runs });
    }
    endpointId = endpoint.id;
    const end = await runAttempt(state, options, endpoint);
    if (end.kind === "answered") {
      const { status, end: how } = end;
      return {
        attempts: attempts + 1,
        status,
        endpoint: endpoint.id,
        end: how,
      };
    }
    avoid.push(endpoint.id);
    last = end;
    if (end.verdict !== "not_run") runs++;
    hasArrived ||= end.isUnsent !== true;
    if (end.reason === "other_instance") {
      state.directory.markLeaving(formatEndpointKey(endpoint));
    }
  }
}

function finishFailed(
  state: ServingState,
  { response, deadline, admitted }: AttemptOptions,
  { last, attempts, endpointId, runs }: {
    last: FailedAttempt | undefined;
    attempts: number;
    endpointId: string | undefined;
    runs: number;
  },
): AttemptOutcome {
  const endpointField = endpointId === undefined
    ? {}
    : { endpoint: endpointId };
  if (last?.fallback !== undefined) {
    const { reply, body, isUnproven } = last.fallback;
    const { status, headers } = reply;
    response.sendBuffered({ status, headers, body, isUnproven });
    return { attempts, status, end: "complete", ...endpointField };
  }
  const verdict: Verdict = runs === 0 ? "not_run" : "may_have_run";
  const message = last?.message ?? "no endpoint takes work";
  const kind = deadline.hasPassed() ? "deadline_exceeded" : "unavailable";
  const failure = createFailure(kind, {
    verdict,
    message,
    ...(verdict === "not_run"
      ? { retryAfterMs: computeRetryAfter(state, admitted) }
      : {}),
  });
  return { failure, attempts, ...endpointField };
}

async function runAttempt(
  state: ServingState,
  options: AttemptOptions,
  endpoint: EndpointInfo,
): Promise<FinishedAttempt> {
  const { clock, loads, callEndpoint, findDelays, crashDetector } = state;
  const { request, admitted, deadline, results } = options;
  const startedAt = clock.now();
  const expected = readExpectedAnswer(state, { head: request.head, admitted });
  const stopRelease = results === undefined ? () => {} : scheduleEarlyRelease({
    ...state,
    endpoint,
    results,
    route: admitted.route,
  });
  loads.begin(endpoint);
  state.sendAllowance.recordSend(endpoint);
  const answer = await callEndpoint({
    endpoint,
    request,
    remaining: deadline.remaining(),
    account: admitted.account,
    priority: admitted.priority,
    inputs: results?.inputs,
    // Opening the connection may take a second, in which the endpoint may ask
    // for a pause.
    maySend: () => !state.sendAllowance.isPaused(endpoint),
    signal: deadline.signal,
  });
  stopRelease();
  if (answer.isOk) {
    const source = { way: "request", to: endpoint, sentAt: startedAt } as const;
    state.handleSignals(source, answer.value);
  }
  let latency: Millis | undefined;
  const handleStarted = () => {
    const size = sumTokens(request.head.promptParts);
    latency = clock.now() - startedAt;
    const ratio = findDelays(admitted.pool).record(size, latency);
    loads.recordRatio(endpoint, ratio);
  };
  const handleFirstEvent = () => {
    handleStarted();
    const { route, account } = admitted;
    const { head } = request;
    state.resumption.recordBegun({ head, route, account }, endpoint);
  };
  const end = answer.isErr
    ? classifyFault(answer.error, deadline)
    : await handleAnswer(options, answer.value, {
      state,
      handleStarted,
      handleFirstEvent,
      checkEnd: ({ delimiter }, readContent) =>
        classifyEnd({ endpoint, delimiter, readContent }, state),
    });
  loads.end(endpoint, end.load);
  const isRejected = end.kind === "lost" && end.reason === "full";
  // Connections above an endpoint's limit are reset.
  state.sendAllowance.recordEnd(
    endpoint,
    isRejected || end.load === "broken",
  );
  // One that is only silent may go on at any moment, and is not cold then.
  const isRefused = answer.isErr && answer.error.connectFailure !== "silent";
  if (end.load === "unreachable" && isRefused) {
    state.recordUnreachable(endpoint);
  }
  if (request.head.resumed === undefined && isServed(end)) {
    state.findCompletion(admitted.route.name).record({
      ...expected,
      endpoint,
      first: latency,
      took: clock.now() - startedAt,
      isWhole: end.kind === "answered" && end.end === "complete",
    });
  }
  const { account } = admitted;
  // Endpoints that fail may not have begun to answer.
  const isCompleted = end.kind === "answered" && end.load === "done" &&
    end.status < FIRST_FAILING_STATUS;
  if (isCompleted) crashDetector.recordCompletion({ request, account });
  if (end.load === "broken") {
    void crashDetector.handleBrokenRun({
      request,
      account,
      endpoint,
      sentAt: startedAt,
      answeringSince: latency === undefined ? undefined : startedAt + latency,
    });
  }
  const load = answer.isOk && answer.value.kind !== "invalid"
    ? answer.value.load
    : undefined;
  if (load !== undefined) loads.recordReport(endpoint, load);
  state.log.record("attempt_ended", {
    request: request.head.id,
    pool: admitted.pool,
    endpoint: endpoint.id,
    version: endpoint.version,
    resumes: formatResumed(request.head),
    load: load === undefined ? undefined : load.running + load.queued,
    left: deadline.remaining(),
    latency,
    took: clock.now() - startedAt,
    outputTokens: request.head.outputTokens,
    outcome: end.kind === "lost" ? end.message : `status ${end.status}`,
    verdict: end.kind === "lost" ? end.verdict : "ran",
    delimiter: answer.isOk && answer.value.kind === "reply"
      ? answer.value.delimiter
      : undefined,
    end: end.kind === "lost" ? undefined : end.end,
    position: end.kind === "lost" ? undefined : end.position,
  });
  return end;
}

/**
 * Whether an attempt tells how long answers take. Endpoints give errors sooner
 * than answers.
 */
function isServed(end: FinishedAttempt): boolean {
  return end.kind === "lost"
    ? end.verdict !== "not_run"
    : end.status < FIRST_ERROR_STATUS;
}

/** Formats the stream that a request resumes for log lines. */
export function formatResumed({ resumed }: RequestHead): string | undefined {
  return resumed === undefined ? undefined : resumed.id ?? "unnamed";
}

function classifyFault(
  { kind, sent, message }: Pick<HttpFault, "kind" | "sent" | "message">,
  deadline: Deadline,
): FailedAttempt {
  const isUnsent = sent === "no";
  const isNeutral = deadline.signal.aborted || kind === "withheld";
  const broken = kind === "too_large" ? "failing" : "broken";
  return {
    kind: "lost",
    verdict: isUnsent ? "not_run" : "may_have_run",
    message,
    load: isNeutral ? "neutral" : isUnsent ? "unreachable" : broken,
    isUnsent,
  };
}

/** Classifies an answer that ended too early. */
function classifyCut(message: string, deadline: Deadline): FailedAttempt {
  return classifyFault({ kind: "cut", sent: "maybe", message }, deadline);
}

interface AnswerHandlers {
  state: Pick<ServingState, "clock" | "heldBytes">;
  /** Called before the caller receives the first bytes. */
  handleStarted: () => void;
  /** Called instead before the caller receives the first event of a stream. */
  handleFirstEvent: () => void;
  /** Classifies an orderly end, by what the content shows and the endpoint. */
  checkEnd: (
    reply: EndpointReply,
    readContent: () => ContentEnd,
  ) => Promise<AnswerEnd>;
}

async function handleAnswer(
  options: AttemptOptions,
  answer: EndpointAnswer,
  handlers: AnswerHandlers,
): Promise<FinishedAttempt> {
  if (answer.kind === "not_run") {
    return {
      kind: "lost",
      verdict: "not_run",
      message: `the endpoint did not run it: ${answer.reason}`,
      load: "neutral",
      reason: answer.reason,
    };
  }
  if (answer.kind === "invalid") {
    return {
      kind: "lost",
      verdict: "may_have_run",
      message: `not a valid answer: ${answer.reason}`,
      load: "failing",
    };
  }
  const isStream = options.admitted.route.kind === "stream" &&
    answer.status < FIRST_ERROR_STATUS;
  return isStream
    ? await streamReply(options, answer, handlers)
    : await sendBufferedReply(options, answer, handlers);
}

/**
 * Sends a response once its body is complete, so that a truncated one can still
 * be retried.
 */
async function sendBufferedReply(
  { response, admitted, deadline }: AttemptOptions,
  reply: EndpointReply,
  { state, handleStarted, checkEnd }: AnswerHandlers,
): Promise<FinishedAttempt> {
  const { status, headers } = reply;
  const read = await readLimitedBody(reply.body, {
    limit: MAX_ANSWER_BYTES,
    heldBytes: state.heldBytes,
    clock: state.clock,
  });
  if (read.isErr && read.error.fault !== "cut") {
    return {
      kind: "lost",
      verdict: "may_have_run",
      message: `not an answer: ${read.error.fault}`,
      load: "failing",
    };
  }
  const body = read.isOk ? read.value.bytes : undefined;
  // The caller may read slowly.
  if (read.isOk) response.onceClosed(read.value.release);
  const end = body === undefined
    ? "cut"
    : await checkEnd(reply, () => classifyBody(body, classifyContent(headers)));
  if (body === undefined || end === "cut") {
    return classifyCut("the answer broke off", deadline);
  }
  handleStarted();
  const isUnproven = end === "unproven";
  const isFailure = status >= FIRST_FAILING_STATUS;
  if (isFailure && admitted.route.kind === "idempotent") {
    return {
      kind: "lost",
      verdict: "may_have_run",
      message: `the endpoint failed with status ${status}`,
      load: "neutral",
      fallback: { reply, body, isUnproven },
    };
  }
  response.sendBuffered({ status, headers, body, isUnproven });
  return { kind: "answered", status, end: "complete", load: "done" };
}

/** Forwards chunks as they arrive; the head is sent with the first one. */
async function streamReply(
  { response, deadline, results }: AttemptOptions,
  reply: EndpointReply,
  { state, handleFirstEvent, checkEnd }: AnswerHandlers,
): Promise<FinishedAttempt> {
  const { status, headers, body, delimiter } = reply;
  const hasEvents = classifyContent(headers, "events") === "events";
  const isUnproven = delimiter === "connection" && !hasEvents;
  const boundary = createEventBoundary();

  function start(): void {
    handleFirstEvent();
    // The engine fetches the stage results before it processes the prompt, so
    // they are no longer needed after its first event.
    results?.release();
    response.startStream({ status, headers, isUnproven });
  }

  /** Accounts for what is buffered while the caller does not read. */
  function waitWritable(writable: Promise<void>): Promise<void> {
    const part = state.heldBytes.open(() => body.destroy());
    part.add(MAX_BUFFERED_BYTES);
    return writable.then(part.release);
  }

  let length = 0;
  const forwarded = await forwardChunks(body, (chunk) => {
    length += chunk.length;
    if (length > MAX_ANSWER_BYTES) return void body.destroy();
    boundary.push(chunk);
    if (!response.isStarted) start();
    const writable = response.write(chunk);
    return writable && waitWritable(writable);
  });
  const position = hasEvents ? boundary.readPosition() : undefined;
  const content = position === undefined
    ? "unknown"
    : classifyPosition(position);
  const end = forwarded === "cut"
    ? "cut"
    : await checkEnd(reply, () => content);
  if (end !== "cut") {
    if (!response.isStarted) {
      response.startStream({ status, headers, isUnproven });
    }
    response.endStream("complete");
    return {
      kind: "answered",
      status,
      end: "complete",
      position,
      load: "done",
    };
  }
  // A broken stream must not look complete to the caller; the cause lies with
  // the endpoint.
  const isEndless = length > MAX_ANSWER_BYTES ||
    body.errored instanceof AnswerLimitError;
  const fault = classifyFault({
    kind: isEndless ? "too_large" : "cut",
    sent: "maybe",
    message: "the stream broke off before its first event",
  }, deadline);
  if (!response.isStarted) return fault;
  response.endStream("cut");
  return { kind: "answered", status, end: "cut", position, load: fault.load };
}
