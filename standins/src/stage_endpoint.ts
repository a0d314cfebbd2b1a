/**
 * Stand-in of an encoder, retriever, reranker or plain service: a number of
 * slots, a run time that depends on the input's size, and a queue.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import { deriveServiceAnswer, deriveStageOutput } from "./derive.ts";
import { createSlotQueue } from "./slot_queue.ts";
import type {
  Standin,
  StandinRequest,
  StandinState,
} from "./standin_server.ts";
import {
  consumeFault,
  sendFaultyJson,
  startStandin,
} from "./standin_server.ts";

/** The run time of a call and how many calls run at once. */
export interface StageTimes {
  slots: number;
  baseMs: Millis;
  /** Added per 1,000 characters of input. */
  perThousandMs: Millis;
}

/** Options of {@linkcode startStageEndpoint}. */
export interface StageEndpointOptions {
  clock: Clock;
  port?: number;
  times: StageTimes;
}

/** A running endpoint. */
export interface EndpointStandin extends Standin {
  /** Refuses new work from now on and reports that the endpoint is leaving. */
  leave(): void;
  /** Reverts `leave`, as after a false alarm. */
  stay(): void;
  /** Counts the calls in progress, queued ones included. */
  countBusy(): number;
}

interface StageBody {
  request_id: string;
  stage: string;
  attempt: number;
  input: { text: string; previous: unknown };
}

const LEAVING_HEADERS = { "x-endpoint-state": "leaving" };
const REFUSAL = { verdict: "not_run", reason: "leaving" };

/** Starts a stage endpoint, which also serves plain-service calls. */
export async function startStageEndpoint(
  { clock, port = 0, times }: StageEndpointOptions,
): Promise<EndpointStandin> {
  const queue = createSlotQueue(times.slots);
  let isLeaving = false;

  async function runWork(size: number, state: StandinState): Promise<void> {
    await queue.acquire();
    const baseTime = times.baseMs + times.perThousandMs * size / 1_000;
    const time = baseTime * state.faults.slowFactor;
    if (time > 0) await clock.sleep(time);
    state.busySeconds += time / 1_000;
    queue.release();
  }

  function readHeaders(): Record<string, string> {
    return isLeaving ? LEAVING_HEADERS : {};
  }

  async function run(
    { response, body }: StandinRequest,
    state: StandinState,
  ): Promise<void> {
    if (isLeaving) return refuse(response);
    const call = parseJson(body) as StageBody;
    const { request_id: requestId, stage, attempt, input } = call;
    state.ledger.push({ requestId, stage, attempt, at: clock.now() });
    await runWork(input.text.length, state);
    const isWrong = consumeFault(state.faults, "wrongEchoes");
    sendFaultyJson(response, {
      faults: state.faults,
      status: 200,
      headers: readHeaders(),
      body: {
        request_id: isWrong ? `${requestId}-other` : requestId,
        stage,
        attempt,
        output: deriveStageOutput(stage, input),
      },
    });
  }

  async function callService(
    { request, response, parts, body }: StandinRequest,
    state: StandinState,
  ): Promise<void> {
    if (isLeaving) return refuse(response);
    const requestId = String(request.headers["x-request-id"] ?? "");
    state.ledger.push({
      requestId,
      stage: String(request.headers["x-stage"] ?? ""),
      attempt: Number(request.headers["x-attempt"] ?? 1),
      at: clock.now(),
    });
    await runWork(body.length, state);
    const isWrong = consumeFault(state.faults, "wrongEchoes");
    sendFaultyJson(response, {
      faults: state.faults,
      status: 200,
      headers: {
        ...readHeaders(),
        "x-request-id": isWrong ? `${requestId}-other` : requestId,
      },
      body: deriveServiceAnswer(parts[0] ?? "", body),
    });
  }

  function refuse(response: StandinRequest["response"]): void {
    sendJson(response, {
      status: 503,
      headers: LEAVING_HEADERS,
      body: REFUSAL,
    });
  }

  const standin = await startStandin({
    clock,
    port,
    routes: (state) => ({
      "POST /run": (request) => run(request, state),
      "POST /call/*": (request) => callService(request, state),
      "PUT /leaving": ({ response, body }) => {
        isLeaving = parseJson(body) === true;
        sendJson(response, { status: 200, body: {} });
      },
    }),
  });
  return Object.assign(standin, {
    leave() {
      isLeaving = true;
    },
    stay() {
      isLeaving = false;
    },
    countBusy: () => queue.running + queue.queued,
  });
}
