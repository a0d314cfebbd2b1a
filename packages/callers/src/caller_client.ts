/**
 * The client library for callers: finds entries, fails over, resumes streams,
 * and returns a `Result` whose error contains the verdict.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import {
  createCallFailure,
  createFailure,
  formatBoundId,
} from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import {
  createHttpClient,
  hasJsonBrokenOff,
  readReplyJson,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import { createAddressBook } from "./address_book.ts";
import type {
  Credentials,
  EntryAddress,
  PipelineAnswer,
  PipelineBody,
} from "./caller_protocol.ts";
import {
  CALLER_HEADERS,
  CALLER_PATHS,
  formatCredentials,
  parseFailure,
  pipelineAnswerSchema,
} from "./caller_protocol.ts";
import {
  createUnreachableFailure,
  readFailure,
  RETRYABLE_KINDS,
} from "./caller_failures.ts";
import type { StreamProgress } from "./stream_reader.ts";
import { readCallerStream } from "./stream_reader.ts";
import { createStreamResumer } from "./stream_resumer.ts";

/** Options that all requests have in common. */
export interface RequestOptions {
  className: string;
  deadlineMs: Millis;
  idempotent: boolean;
  /**
   * The request id; by default one that is bound to the entry. To be able to
   * send the request again after a restart of the caller, store an id from
   * `createRequestId` and pass it here.
   */
  id?: string;
  /** Suffix of generated ids; by default a unique text. */
  idPart?: string;
}

/** A request to a pipeline. */
export interface PipelineRequest extends RequestOptions {
  pipeline: string;
  body: PipelineBody;
}

/** A request to a plain service. */
export interface ServiceRequest extends RequestOptions {
  service: string;
  path: string;
  body: unknown;
}

/** The response of a plain service. */
export interface ServiceAnswer {
  requestId: string;
  status: number;
  body: unknown;
}

/** A streamed response that was received completely. */
export interface StreamedAnswer {
  requestId: string;
  tokens: string[];
  /** How often the stream was resumed. */
  resumes: number;
  /** Time until the first token. */
  firstTokenMs: Millis;
}

/** Options of {@linkcode createCallerClient}. */
export interface CallerClientOptions {
  clock: Clock;
  credentials: Credentials;
  place: string;
  /** `ip:port` of some entries, from the caller's own settings. */
  knownAddresses: readonly string[];
  /** Returns a text that no other caller uses, of letters and digits. */
  createUniqueText: () => string;
}

/** A client of one client account. */
export interface CallerClient {
  /**
   * Creates an id for a request that may have to be sent again later; undefined
   * if no entry is known.
   */
  createRequestId(): Promise<string | undefined>;
  runPipeline(
    request: PipelineRequest,
  ): Promise<Result<PipelineAnswer, Failure>>;
  streamPipeline(
    request: PipelineRequest,
    onToken: (token: string, sequence: number) => void,
  ): Promise<Result<StreamedAnswer, Failure>>;
  callService(request: ServiceRequest): Promise<Result<ServiceAnswer, Failure>>;
  close(): Promise<void>;
}

interface Submission {
  path: string;
  body: string;
  options: RequestOptions;
  accept: "application/json" | "text/event-stream";
}

/** One attempt at one entry. */
interface Attempt {
  entry: EntryAddress;
  id: string;
  number: number;
  remaining: Millis;
  signal: AbortSignal;
  /** Called when the entry responds; from then on only the deadline applies. */
  onFirstByte: () => void;
}

/** A response together with the id of its request. */
interface Answered<T> {
  id: string;
  value: T;
}

type SendAttempt<T> = (attempt: Attempt) => Promise<Result<T, Failure>>;

const OK = 200;
const MAX_ATTEMPTS = 5;
/** Share of the remaining time after which another entry is tried. */
const ATTEMPT_TIMEOUT_SHARE = 0.5;
const ADDRESS_TIMEOUT: Millis = 1_000;

/** Creates a client; it connects on first use. */
export function createCallerClient(
  { clock, credentials, place, knownAddresses, createUniqueText }:
    CallerClientOptions,
): CallerClient {
  const http = createHttpClient();
  const authorization = formatCredentials(credentials);
  const addresses = createAddressBook({
    clock,
    http,
    knownAddresses,
    place,
    authorization,
    timeoutMs: ADDRESS_TIMEOUT,
  });

  const resumer = createStreamResumer({
    clock,
    http,
    addresses,
    authorization,
  });

  function formatHeaders(submission: Submission, attempt: Attempt) {
    const { className, idempotent } = submission.options;
    return {
      authorization,
      accept: submission.accept,
      "content-type": "application/json",
      [CALLER_HEADERS.requestId]: attempt.id,
      [CALLER_HEADERS.className]: className,
      [CALLER_HEADERS.deadlineMs]: String(Math.floor(attempt.remaining)),
      [CALLER_HEADERS.idempotent]: String(idempotent),
      [CALLER_HEADERS.attempt]: String(attempt.number),
      [CALLER_HEADERS.place]: place,
    };
  }

  async function createRequestId(): Promise<string | undefined> {
    const [entry] = await addresses.list();
    return entry && formatBoundId(entry.binding, createUniqueText());
  }

  /**
   * Sends a request to entries in turn until one returns a final response. A
   * non-idempotent request keeps its id at the next entry, which then looks up
   * the outcome of the earlier attempt instead of running the request again.
   */
  async function submit<T>(
    options: RequestOptions,
    send: SendAttempt<T>,
  ): Promise<Result<Answered<T>, Failure>> {
    const deadlineAt = clock.now() + options.deadlineMs;
    const controller = new AbortController();
    const stopTimer = clock.startTimer(
      options.deadlineMs,
      () => controller.abort(),
    );
    let failure = createUnreachableFailure();
    let id = options.id;
    let sent = 0;
    for (let turn = 0; turn < MAX_ATTEMPTS; turn++) {
      const entries = await addresses.list();
      const entry = entries[turn % Math.max(1, entries.length)];
      const remaining = deadlineAt - clock.now();
      if (entry === undefined || remaining <= 0) break;
      id ??= formatBoundId(entry.binding, options.idPart ?? createUniqueText());
      const number = sent + 1;
      const attemptTimeout = options.idempotent && entries.length > 1
        ? remaining * ATTEMPT_TIMEOUT_SHARE
        : remaining;
      const attempt = startAttemptTimeout(controller.signal, attemptTimeout);
      const outcome = await send({
        entry,
        id,
        number,
        remaining,
        signal: attempt.signal,
        onFirstByte: attempt.stop,
      });
      attempt.stop();
      if (outcome.isOk) {
        stopTimer();
        return Result.ok({ id, value: outcome.value });
      }
      const wasSent = outcome.error.verdict !== "not_run" ||
        outcome.error.kind !== "unavailable";
      if (wasSent) sent++;
      failure = mergeFailure(failure, outcome.error);
      // The entry that owns the old id has forbidden it for good, so a new id
      // is safe.
      if (isForbidden(outcome.error)) sent = 0;
      else if (!isWorthRetrying(outcome.error, options)) break;
      if (isForbidden(outcome.error) && options.id !== undefined) break;
      addresses.demote(entry.address);
      // A request that reached no entry may get an id bound to another entry.
      if (sent === 0 && options.id === undefined) id = undefined;
    }
    stopTimer();
    return Result.err(failure);
  }

  /**
   * Limits the time of one attempt. A frozen entry accepts connections but
   * never responds, and a request to it would hang until its deadline. An
   * idempotent request is sent to another entry while there is still time; a
   * non-idempotent one waits, because no other entry may run it.
   */
  function startAttemptTimeout(signal: AbortSignal, timeoutMs: Millis) {
    const controller = new AbortController();
    const stopTimer = clock.startTimer(timeoutMs, () => controller.abort());
    return {
      signal: AbortSignal.any([signal, controller.signal]),
      stop: stopTimer,
    };
  }

  function isWorthRetrying(
    { kind, verdict }: Failure,
    { idempotent }: RequestOptions,
  ): boolean {
    if (RETRYABLE_KINDS.has(kind)) return true;
    if (kind === "cancelled" && idempotent) return true;
    // Asking another entry about a lost answer never runs the request again.
    return verdict === "may_have_run" && kind === "bad_reply" && idempotent;
  }

  async function callBuffered<T>(
    submission: Submission,
    parse: (status: number, body: unknown, id: string) => T | undefined,
  ): Promise<Result<Answered<T>, Failure>> {
    return await submit(submission.options, async (attempt) => {
      const reply = await http.call({
        method: "POST",
        address: attempt.entry.address,
        path: submission.path,
        headers: formatHeaders(submission, attempt),
        body: submission.body,
        signal: attempt.signal,
      });
      if (reply.isErr) {
        return Result.err(createCallFailure(attempt.entry.entry, reply.error));
      }
      const { status, headers } = reply.value;
      if (hasJsonBrokenOff(reply.value)) {
        return Result.err(parseFailure(undefined, status));
      }
      const body = readReplyJson(reply.value);
      if (headers[CALLER_HEADERS.verdict] !== "ran") {
        return Result.err(parseFailure(body, status));
      }
      const value = parse(status, body, attempt.id);
      return value === undefined
        ? Result.err(parseFailure(undefined, status))
        : Result.ok(value);
    });
  }

  async function runPipeline(
    request: PipelineRequest,
  ): Promise<Result<PipelineAnswer, Failure>> {
    const submission: Submission = {
      path: CALLER_PATHS.pipelines + encodeURIComponent(request.pipeline),
      body: JSON.stringify(request.body),
      options: request,
      accept: "application/json",
    };
    const answer = await callBuffered(submission, (_status, body, id) => {
      const parsed = pipelineAnswerSchema.safeParse(body);
      return parsed.success && parsed.data.request_id === id
        ? parsed.data
        : undefined;
    });
    return answer.map(({ value }) => value);
  }

  async function callService(
    request: ServiceRequest,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const submission: Submission = {
      path: `${CALLER_PATHS.services}${
        encodeURIComponent(request.service)
      }/${request.path}`,
      body: JSON.stringify(request.body),
      options: request,
      accept: "application/json",
    };
    const answer = await callBuffered(
      submission,
      (status, body) => ({ status, body }),
    );
    return answer.map(({ id, value }) => ({ requestId: id, ...value }));
  }

  async function streamPipeline(
    request: PipelineRequest,
    onToken: (token: string, sequence: number) => void,
  ): Promise<Result<StreamedAnswer, Failure>> {
    const startedAt = clock.now();
    const deadlineAt = startedAt + request.deadlineMs;
    let firstTokenMs = 0;
    const handleToken = (token: string, sequence: number) => {
      if (sequence === 0) firstTokenMs = clock.now() - startedAt;
      onToken(token, sequence);
    };
    const submission: Submission = {
      path: CALLER_PATHS.pipelines + encodeURIComponent(request.pipeline),
      body: JSON.stringify(request.body),
      options: request,
      accept: "text/event-stream",
    };
    const opened = await submit(
      request,
      (attempt) => openStream(submission, attempt, handleToken),
    );
    if (opened.isErr) return Result.err(opened.error);
    const { progress, isDone } = opened.value.value;
    const resumes = isDone
      ? Result.ok<number, Failure>(0)
      : await resumer.resume(progress, { deadlineAt, onToken: handleToken });
    return resumes.map((count) => ({
      requestId: progress.requestId,
      tokens: progress.tokens,
      resumes: count,
      firstTokenMs,
    }));
  }

  async function openStream(
    submission: Submission,
    attempt: Attempt,
    onToken: (token: string, sequence: number) => void,
  ): Promise<Result<OpenedStream, Failure>> {
    const reply = await http.callStream({
      method: "POST",
      address: attempt.entry.address,
      path: submission.path,
      headers: formatHeaders(submission, attempt),
      body: submission.body,
      signal: attempt.signal,
    });
    if (reply.isErr) {
      return Result.err(createCallFailure(attempt.entry.entry, reply.error));
    }
    if (reply.value.status !== OK) {
      return Result.err(await readFailure(reply.value));
    }
    attempt.onFirstByte();
    const progress: StreamProgress = {
      requestId: attempt.id,
      resumeToken: undefined,
      tokens: [],
      textLength: 0,
    };
    const end = await readCallerStream(reply.value, { progress, onToken });
    if (end.kind === "failed") return Result.err(end.failure);
    if (end.kind === "done") return Result.ok({ progress, isDone: true });
    if (progress.resumeToken !== undefined) {
      return Result.ok({ progress, isDone: false });
    }
    return Result.err(createFailure("unavailable", {
      verdict: "may_have_run",
      message: `${attempt.entry.entry}: ${end.message}`,
    }));
  }

  return {
    createRequestId,
    runPipeline,
    streamPipeline,
    callService,
    close: http.close,
  };
}

interface OpenedStream {
  progress: StreamProgress;
  isDone: boolean;
}

/**
 * Returns the latest failure with a verdict that covers all attempts so far.
 */
function mergeFailure(before: Failure, after: Failure): Failure {
  if (before.verdict === "not_run" || after.verdict === "ran") return after;
  if (isForbidden(after)) return after;
  return { ...after, verdict: before.verdict };
}

/**
 * Whether the owner of the request id, the only entry that may run it, has
 * forbidden it.
 */
function isForbidden({ kind, verdict }: Failure): boolean {
  return kind === "duplicate" && verdict === "not_run";
}
