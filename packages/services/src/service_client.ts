/**
 * The client of plain services, some of whose calls must not be repeated.
 *
 * Wire format: `POST /call/{path}` with any body. The service answers with any
 * status and body; an echoed `x-request-id` must be the one sent.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { CallIdentity, OnAnswer } from "@mangoreach/endpoints";
import { createReplyFailure, ENDPOINT_HEADERS } from "@mangoreach/endpoints";
import type { AnswerMeter, Clock, MalformedAnswer } from "@mangoreach/shared";
import { createHttpClient, hasJsonBrokenOff } from "@mangoreach/shared";
import { Result } from "true-myth";

/** One call of a plain service. */
export interface ServiceCall extends CallIdentity {
  endpoint: EndpointInfo;
  /** What follows `/call/`. */
  path: string;
  contentType: string;
  body: Buffer;
  causalTime: string;
  signal: AbortSignal;
}

/** The answer of a service, which is forwarded unchanged. */
export interface ServiceReply {
  status: number;
  contentType: string;
  text: string;
  /** Whether its end is known only from the end of the connection. */
  isUnproven: boolean;
}

/** Options of {@linkcode createServiceClient}. */
export interface ServiceClientOptions {
  clock: Clock;
  onAnswer: OnAnswer;
  /** Called if a result is dropped because its echo does not match the call. */
  onDropped: (call: CallIdentity) => void;
  /** Called for each answer whose head is malformed. */
  onMalformed?: ((answer: MalformedAnswer) => void) | undefined;
  /** Counts what answers cost. */
  meter?: AnswerMeter | undefined;
}

/** A client of all plain-service endpoints of a site. */
export interface ServiceClient {
  call(call: ServiceCall): Promise<Result<ServiceReply, Failure>>;
  close(): Promise<void>;
}

const FIRST_SERVER_ERROR = 500;
const JSON_TYPE = /^application\/([^;]+\+)?json\b/i;
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Creates the client. */
export function createServiceClient(
  { clock, onAnswer, onDropped, onMalformed, meter }: ServiceClientOptions,
): ServiceClient {
  // Answers may be any bytes, so that nothing in them shows where they end or
  // which call they answer.
  const http = createHttpClient({
    connections: "single",
    onMalformed,
    meter,
  });

  async function call(
    serviceCall: ServiceCall,
  ): Promise<Result<ServiceReply, Failure>> {
    const { endpoint, requestId, contentType, body } = serviceCall;
    const sentAt = clock.now();
    const reply = await http.call({
      method: "POST",
      address: endpoint.address,
      path: `/call/${serviceCall.path}`,
      headers: {
        "content-type": contentType,
        [ENDPOINT_HEADERS.requestId]: requestId,
        [ENDPOINT_HEADERS.stage]: serviceCall.stage,
        [ENDPOINT_HEADERS.attempt]: String(serviceCall.attempt),
        [ENDPOINT_HEADERS.causalTime]: serviceCall.causalTime,
      },
      body,
      signal: serviceCall.signal,
    });
    if (reply.isErr) {
      return Result.err(createCallFailure(endpoint.id, reply.error));
    }
    const { headers, status, text } = reply.value;
    onAnswer({ endpoint, headers, sentAt });
    if (status >= FIRST_SERVER_ERROR || status === 429) {
      return Result.err(createReplyFailure(endpoint.id, reply.value));
    }
    const echoed = headers[ENDPOINT_HEADERS.requestId];
    if (echoed !== undefined && echoed !== requestId) {
      onDropped(serviceCall);
      return Result.err(createFailure("bad_reply", {
        verdict: "may_have_run",
        message: `${endpoint.id}: the answer belongs to another request`,
      }));
    }
    const type = headers["content-type"];
    const answerType = typeof type === "string" ? type : DEFAULT_CONTENT_TYPE;
    const isJson = JSON_TYPE.test(answerType);
    if (isJson && hasJsonBrokenOff(reply.value)) {
      return Result.err(createFailure("bad_reply", {
        verdict: "may_have_run",
        message: `${endpoint.id}: the answer broke off`,
      }));
    }
    const isUnproven = !isJson && reply.value.delimiter === "connection";
    return Result.ok({ status, contentType: answerType, text, isUnproven });
  }

  return { call, close: http.close };
}
