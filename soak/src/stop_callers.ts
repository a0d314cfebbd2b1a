/**
 * Callers that go on using the connections that they have to each entry until
 * its process is gone, and that see how each answer ends.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Agent, request as sendHttp } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADER } from "../../platform/src/wire_names.ts";
import { TOKENS_PER_EVENT } from "./stop_endpoints.ts";

/** The kinds of requests, by their path. */
export type StopRoute =
  /** A stream of a length that its caller knows. */
  | "talk"
  /** The same after a stage. */
  | "staged"
  /** A short answer that must not be made twice. */
  | "job";

/** A request as its caller saw it. Times are milliseconds of the clock. */
export interface ObservedRequest {
  id: string;
  route: StopRoute;
  /** Caller address of the entry. */
  entry: string;
  events: number;
  /** When its last byte was sent. */
  sentAt: number;
  endedAt: number;
  /** 0 if there was no answer. */
  status: number;
  /** `unreachable` if no connection was opened. */
  end: "complete" | "cut" | "unreachable";
}

/** A request to send. */
export interface StopRequest
  extends Pick<ObservedRequest, "id" | "route" | "entry" | "events"> {
  /** Time between its head and its body, in milliseconds. */
  bodyDelay: number;
}

/** A caller with kept connections. */
export interface StopCaller {
  send(request: StopRequest): Promise<ObservedRequest>;
  close(): void;
}

/** Longer than any stream; only the end of an entry cuts one off. */
const STOP_DEADLINE_MS = 25_000;
const BODY = "question";

/** Creates a caller without connections. */
export function createStopCaller(): StopCaller {
  const agent = new Agent({ keepAlive: true });

  function send(
    { id, route, entry, events, bodyDelay }: StopRequest,
  ): Promise<ObservedRequest> {
    const [host, port] = entry.split(":");
    return new Promise((resolve) => {
      let sentAt = Date.now();
      const finish = (
        end: ObservedRequest["end"],
        response?: IncomingMessage,
      ) => {
        resolve({
          id,
          route,
          entry,
          events,
          sentAt,
          endedAt: Date.now(),
          status: response?.statusCode ?? 0,
          end,
        });
      };
      const sent = sendHttp({
        host,
        port,
        agent,
        method: "POST",
        path: `/${route}/${id}`,
        headers: {
          host: "soak.example",
          authorization: "Bearer key-1",
          "content-length": String(BODY.length),
          [HEADER.requestId]: id,
          [HEADER.deadline]: String(STOP_DEADLINE_MS),
          [HEADER.pieceCounts]: "2",
          [HEADER.pieceKey]: "abc",
          [HEADER.promptParts]: `f1:50,${Buffer.from(id).toString("hex")}:50`,
          [HEADER.tokenCounts]: `100,${TOKENS_PER_EVENT * events}`,
        },
      }, (response) => {
        response.resume();
        response.once("end", () => finish("complete", response));
        response.once("error", () => finish("cut", response));
        response.once("close", () => finish("cut", response));
      });
      sent.once(
        "error",
        (error: NodeJS.ErrnoException) =>
          finish(error.code === "ECONNREFUSED" ? "unreachable" : "cut"),
      );
      sent.flushHeaders();
      void sleep(bodyDelay).then(() => {
        sentAt = Date.now();
        sent.end(BODY);
      });
    });
  }

  return { send, close: () => agent.destroy() };
}
