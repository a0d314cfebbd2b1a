/**
 * The HTTP server of all stand-ins, with routes, fault injection by
 * `PUT /faults` and a ledger of executed calls at `GET /ledger`.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "@mangoreach/shared";
import {
  parseJson,
  readBody,
  readServerAddress,
  sendJson,
  startServer,
} from "@mangoreach/shared";

/** One request to a stand-in. */
export interface StandinRequest {
  request: IncomingMessage;
  response: ServerResponse;
  /** The decoded part of the path that matched `*`, if any. */
  parts: string[];
  query: URLSearchParams;
  body: string;
}

/** Handles one request. */
export type StandinHandler = (request: StandinRequest) => Promise<void> | void;

/** Handlers by method and path pattern, such as `GET /streams/*`. */
export type StandinRoutes = Record<string, StandinHandler>;

/** Faults that can be injected. */
export interface Faults {
  /** Every request is refused with 503. */
  away: boolean;
  /** Requests are accepted and never answered. */
  hangs: boolean;
  /** Factor on the time of every operation. */
  slowFactor: number;
  /** Number of responses that are lost after the call took effect. */
  loseAnswers: number;
  /** Number of responses with the id of another request. */
  wrongEchoes: number;
  /** Number of responses that are truncated. */
  cutAnswers: number;
  /** Number of responses that are not JSON. */
  malformed: number;
  /** Number of calls that get status 500 after they were executed. */
  failures: number;
}

/** One execution of a call. */
export interface Execution {
  requestId: string;
  stage: string;
  attempt: number;
  at: number;
}

/** A running stand-in. */
export interface Standin {
  readonly address: string;
  readonly faults: Faults;
  readonly ledger: Execution[];
  /** Slot-seconds spent on work so far. */
  readonly busySeconds: number;
  stop(): Promise<void>;
}

/** Options of {@linkcode startStandin}. */
export interface StandinOptions {
  clock: Clock;
  host?: string;
  port?: number;
  routes: (standin: StandinState) => StandinRoutes;
  onStop?: () => void;
}

/** The state that handlers read and change. */
export interface StandinState {
  faults: Faults;
  ledger: Execution[];
  /** Slot-seconds spent on work so far. */
  busySeconds: number;
}

const LIMITS = {
  maxHeaderBytes: 65_536,
  requestTimeoutMs: 60_000,
  maxConnections: 100_000,
};
/** Paths that the `away` and `hangs` faults do not affect. */
const CONTROL_PATHS = new Set(["/faults", "/ledger", "/usage"]);
const MAX_BODY = 33_554_432;

/** Creates faults that are all switched off. */
export function createNoFaults(): Faults {
  return {
    away: false,
    hangs: false,
    slowFactor: 1,
    loseAnswers: 0,
    wrongEchoes: 0,
    cutAnswers: 0,
    malformed: 0,
    failures: 0,
  };
}

/** Consumes one occurrence of a counted fault; returns false if none is left. */
export function consumeFault(
  faults: Faults,
  name:
    | "loseAnswers"
    | "wrongEchoes"
    | "cutAnswers"
    | "malformed"
    | "failures",
): boolean {
  if (faults[name] <= 0) return false;
  faults[name]--;
  return true;
}

/** Starts a stand-in. */
export async function startStandin(
  { host = "127.0.0.1", port = 0, routes, onStop }: StandinOptions,
): Promise<Standin> {
  const state: StandinState = {
    faults: createNoFaults(),
    ledger: [],
    busySeconds: 0,
  };
  const table = { ...createControlRoutes(state), ...routes(state) };

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://standin");
    const match = findRoute(table, `${request.method} ${url.pathname}`);
    const isControl = CONTROL_PATHS.has(url.pathname);
    if (!isControl && state.faults.hangs) return;
    if (!isControl && state.faults.away) {
      return sendJson(response, { status: 503, body: { error: "away" } });
    }
    if (match === undefined) {
      return sendJson(response, { status: 404, body: { error: "no route" } });
    }
    const body = await readBody(request, MAX_BODY);
    if (body.kind !== "whole") return void response.destroy();
    await match.handler({
      request,
      response,
      parts: match.parts,
      query: url.searchParams,
      body: body.body.toString(),
    });
  }

  const server = await startServer(
    (request, response) => {
      handleRequest(request, response).catch(() => response.destroy());
    },
    { address: { host, port }, limits: LIMITS },
  );
  return {
    address: readServerAddress(server),
    faults: state.faults,
    ledger: state.ledger,
    get busySeconds() {
      return state.busySeconds;
    },
    stop: () => stopStandin(server, onStop),
  };
}

async function stopStandin(
  server: Server,
  onStop: (() => void) | undefined,
): Promise<void> {
  onStop?.();
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}

function createControlRoutes(state: StandinState): StandinRoutes {
  const { faults, ledger } = state;
  return {
    "PUT /faults": ({ response, body }) => {
      Object.assign(faults, parseJson(body));
      sendJson(response, { status: 200, body: faults });
    },
    "GET /ledger": ({ response }) =>
      sendJson(response, { status: 200, body: ledger }),
    "GET /usage": ({ response }) =>
      sendJson(response, {
        status: 200,
        body: { busy_seconds: state.busySeconds },
      }),
    "DELETE /ledger": ({ response }) => {
      ledger.length = 0;
      sendJson(response, { status: 200, body: {} });
    },
  };
}

interface RouteMatch {
  handler: StandinHandler;
  parts: string[];
}

function findRoute(
  table: StandinRoutes,
  target: string,
): RouteMatch | undefined {
  const exact = table[target];
  if (exact !== undefined) return { handler: exact, parts: [] };
  for (const [pattern, handler] of Object.entries(table)) {
    if (!pattern.endsWith("*")) continue;
    const prefix = pattern.slice(0, -1);
    if (!target.startsWith(prefix)) continue;
    return {
      handler,
      parts: [decodeURIComponent(target.slice(prefix.length))],
    };
  }
  return undefined;
}

/** Sends a JSON response with the response faults applied. */
export function sendFaultyJson(
  response: ServerResponse,
  { faults, status, body, headers }: {
    faults: Faults;
    status: number;
    body: unknown;
    headers?: Record<string, string>;
  },
): void {
  if (consumeFault(faults, "loseAnswers")) return void response.destroy();
  if (consumeFault(faults, "malformed")) {
    response.writeHead(status);
    return void response.end('{"broken":');
  }
  if (consumeFault(faults, "cutAnswers")) {
    response.writeHead(status, { "content-length": "1000" });
    response.write("{");
    return void setImmediate(() => response.destroy());
  }
  if (consumeFault(faults, "failures")) {
    return sendJson(response, { status: 500, body: { error: "failed" } });
  }
  sendJson(response, {
    status,
    body,
    ...(headers === undefined ? {} : { headers }),
  });
}
