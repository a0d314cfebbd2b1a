/**
 * The client of stage endpoints: encoders, retrievers and rerankers.
 *
 * Wire format: `POST /run` with
 * `{"request_id":…,"stage":…,"attempt":…,"input":…}` answers 200
 * `{"request_id":…,"stage":…,"attempt":…,"output":…}`.
 *
 * @module
 */
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { CallIdentity, OnAnswer } from "@mangoreach/endpoints";
import {
  createReplyFailure,
  echoSchema,
  ENDPOINT_HEADERS,
  formatEcho,
  isEchoOf,
} from "@mangoreach/endpoints";
import type { AnswerMeter, Clock, MalformedAnswer } from "@mangoreach/shared";
import { createHttpClient, readReplyJson } from "@mangoreach/shared";
import { Result } from "true-myth";
import * as z from "zod";

/** One call of a stage. */
export interface StageCall extends CallIdentity {
  endpoint: EndpointInfo;
  /** The caller's text and the output of the previous stage. */
  input: StageInput;
  causalTime: string;
  signal: AbortSignal;
}

/** The input of a stage. */
export interface StageInput {
  text: string;
  /** Output of the previous stage; null for the first stage. */
  previous: unknown;
}

/** The result of a stage, after its echo was verified. */
export interface StageReply {
  output: unknown;
  causalTime: string | undefined;
}

/** Options of {@linkcode createStageClient}. */
export interface StageClientOptions {
  clock: Clock;
  onAnswer: OnAnswer;
  /** Called if a result is dropped because its echo does not match the call. */
  onDropped: (call: CallIdentity) => void;
  /** Called for each answer whose head is malformed. */
  onMalformed?: ((answer: MalformedAnswer) => void) | undefined;
  /** Counts what answers cost. */
  meter?: AnswerMeter | undefined;
}

/** A client of all stage endpoints of a site. */
export interface StageClient {
  call(call: StageCall): Promise<Result<StageReply, Failure>>;
  close(): Promise<void>;
}

const replySchema = echoSchema.extend({ output: z.unknown() });
const OK = 200;

/** Creates the client. */
export function createStageClient(
  { clock, onAnswer, onDropped, onMalformed, meter }: StageClientOptions,
): StageClient {
  const http = createHttpClient({ onMalformed, meter });

  async function call(
    stageCall: StageCall,
  ): Promise<Result<StageReply, Failure>> {
    const { endpoint, input, causalTime, signal } = stageCall;
    const sentAt = clock.now();
    const reply = await http.call({
      method: "POST",
      address: endpoint.address,
      path: "/run",
      headers: {
        "content-type": "application/json",
        [ENDPOINT_HEADERS.causalTime]: causalTime,
      },
      body: JSON.stringify({ ...formatEcho(stageCall), input }),
      signal,
    });
    if (reply.isErr) {
      return Result.err(createCallFailure(endpoint.id, reply.error));
    }
    const { headers, status } = reply.value;
    onAnswer({ endpoint, headers, sentAt });
    if (status !== OK) {
      return Result.err(createReplyFailure(endpoint.id, reply.value));
    }
    const body = replySchema.safeParse(readReplyJson(reply.value));
    if (!body.success || !isEchoOf(body.data, stageCall)) {
      onDropped(stageCall);
      return Result.err(createFailure("bad_reply", {
        verdict: "may_have_run",
        message:
          `${endpoint.id}: the result belongs to no call or is malformed`,
      }));
    }
    const time = headers[ENDPOINT_HEADERS.causalTime];
    return Result.ok({
      output: body.data.output,
      causalTime: typeof time === "string" ? time : undefined,
    });
  }

  return { call, close: http.close };
}
