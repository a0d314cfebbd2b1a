/**
 * Callers that send requests on connections that they keep, for the tests of
 * stopping entries.
 *
 * @module
 */
import { Agent, request as sendHttp } from "node:http";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADER } from "../../platform/src/wire_names.ts";

/** A request whose endpoint works for as long as it says. */
export interface LateRequest {
  id: string;
  /** A job must not run twice; nothing tells how long a talk is. */
  route: "job" | "talk";
  /** Time that the endpoint needs, in milliseconds. */
  work: number;
  /** Deadline, in milliseconds. */
  deadline: number;
  /** Time between its head and its body, in milliseconds. */
  bodyDelay?: number;
}

/** How a request ended. Times are milliseconds of the clock. */
export interface LateOutcome extends LateRequest {
  /** When its last byte was sent. */
  sentAt: number;
  endedAt: number;
  /** 0 if there was no answer. */
  status: number;
  end: "complete" | "cut";
}

/** A caller with one connection, which it keeps. */
export interface LateCaller {
  send(request: LateRequest): Promise<LateOutcome>;
  close(): void;
}

const BODY = "question";

function listHeaders({ id, deadline }: LateRequest): Record<string, string> {
  return {
    host: "soak.example",
    authorization: "Bearer key-1",
    "content-length": String(BODY.length),
    [HEADER.requestId]: id,
    [HEADER.deadline]: String(deadline),
  };
}

function formatPath({ route, work, id }: LateRequest): string {
  return `/${route}/${work}/${id}`;
}

/** Creates a caller of one entry. */
export function createLateCaller(address: string): LateCaller {
  const [host, port] = address.split(":");
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });

  function send(request: LateRequest): Promise<LateOutcome> {
    return new Promise((resolve) => {
      let sentAt = Date.now();
      const finish = (status: number, end: LateOutcome["end"]) =>
        resolve({ ...request, sentAt, endedAt: Date.now(), status, end });
      const sent = sendHttp({
        host,
        port,
        agent,
        method: "POST",
        path: formatPath(request),
        headers: listHeaders(request),
      }, (response) => {
        const { statusCode = 0 } = response;
        response.resume();
        response.once("end", () => finish(statusCode, "complete"));
        response.once("error", () => finish(statusCode, "cut"));
      });
      sent.once("error", () => finish(0, "cut"));
      sent.flushHeaders();
      void sleep(request.bodyDelay ?? 0).then(() => {
        sentAt = Date.now();
        sent.end(BODY);
      });
    });
  }

  return { send, close: () => agent.destroy() };
}

/** Sends requests ahead of their answers on one connection, in series. */
export interface AheadCaller {
  send(requests: readonly LateRequest[]): void;
  /** Counts the answers with status 200. */
  countAnswers(): number;
  close(): void;
}

/** Opens a connection to an entry. */
export function openAheadCaller(address: string): AheadCaller {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  socket.on("data", (chunk) => received += String(chunk));
  socket.on("error", () => {});
  return {
    send(requests) {
      socket.write(requests.map(formatRequest).join(""));
    },
    countAnswers: () => received.split("HTTP/1.1 200").length - 1,
    close: () => socket.destroy(),
  };
}

function formatRequest(request: LateRequest): string {
  const headers = Object.entries(listHeaders(request))
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${formatPath(request)} HTTP/1.1\r\n${headers.join("")}\r\n` +
    BODY;
}
