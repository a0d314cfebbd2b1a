/**
 * The control port: peers, operators, metrics and health.
 *
 * @module
 */
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { EntryStatus } from "@mangoreach/operators";
import { OPERATOR_PATHS } from "@mangoreach/operators";
import { PEER_PATH } from "@mangoreach/peers";
import { sendJson } from "@mangoreach/shared";
import type { CredentialsCheck } from "./credentials_check.ts";
import type { EntryContext } from "./entry_context.ts";

/** Options of {@linkcode createControlListener}. */
export interface ControlListenerOptions {
  credentials: CredentialsCheck;
  handlePeerRequest: RequestListener;
  readStatus: () => EntryStatus;
  isReady: () => boolean;
  /** Begins a graceful shutdown. */
  drain: () => void;
}

/** Creates the listener of the control port. */
export function createControlListener(
  context: EntryContext,
  { credentials, handlePeerRequest, readStatus, isReady, drain }:
    ControlListenerOptions,
): RequestListener {
  const { metrics, timeline } = context;

  function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const path = request.url?.split("?")[0] ?? "";
    if (path.startsWith(PEER_PATH)) return handlePeerRequest(request, response);
    if (path === OPERATOR_PATHS.health) {
      return sendJson(response, { status: 200, body: { ok: true } });
    }
    if (path === OPERATOR_PATHS.ready) {
      const ready = isReady();
      return sendJson(response, {
        status: ready ? 200 : 503,
        body: { ready },
      });
    }
    if (path === OPERATOR_PATHS.metrics) return void sendMetrics(response);
    if (!credentials.isOperator(request)) {
      return sendJson(response, { status: 401, body: { error: "no access" } });
    }
    handleOperatorRequest(path, { request, response });
  }

  async function sendMetrics(response: ServerResponse): Promise<void> {
    const text = await metrics.registry.metrics();
    response.writeHead(200, { "content-type": metrics.registry.contentType });
    response.end(text);
  }

  function handleOperatorRequest(
    path: string,
    { request, response }: {
      request: IncomingMessage;
      response: ServerResponse;
    },
  ): void {
    if (path === OPERATOR_PATHS.status) {
      return sendJson(response, { status: 200, body: readStatus() });
    }
    if (path === OPERATOR_PATHS.timeline) {
      return sendJson(response, { status: 200, body: timeline.list() });
    }
    if (path === OPERATOR_PATHS.drain && request.method === "POST") {
      drain();
      return sendJson(response, { status: 200, body: { draining: true } });
    }
    sendJson(response, { status: 404, body: { error: "nothing here" } });
  }

  return handleRequest;
}
