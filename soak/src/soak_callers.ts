/**
 * Callers of the soak test. Like the platform's callers, they reuse connections
 * and use another entry for the next request; they also check every response.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";
import { computeBody, STREAM_EVENTS } from "./soak_endpoints.ts";

/** The kinds of requests, by their path. */
export type RequestKind = "plain" | "once" | "draft";

/** Result of one request as its caller saw it. */
export interface CallResult {
  id: string;
  kind: RequestKind;
  key: string;
  sentAt: number;
  /** The caller address of the entry that received the request. */
  entry: string;
  /** 0 if the connection failed without a response. */
  status: number;
  /** What is wrong with a response that reports success. */
  defect?: string;
}

/** Options of {@linkcode createSoakCaller}. */
export interface SoakCallerOptions {
  /** Caller addresses of all entries, through their proxies. */
  addresses: readonly string[];
  onResult: (result: CallResult) => void;
}

/** Sends requests. */
export interface SoakCaller {
  call(id: string, kind: RequestKind, key: string): Promise<CallResult>;
  close(): Promise<void>;
}

/** Deadline that callers set for a request. */
export const CALL_DEADLINE_MS = 2_500;
/** Time after the deadline at which a caller gives up on a response. */
const RESPONSE_GRACE_MS = 1_000;

/** A part that all requests share, also those that crash endpoints. */
export const SHARED_PART = "f1";

/** Formats the parts of a prompt; the last one is the request's own. */
export function formatParts(id: string, parts: readonly string[] = []): string {
  const own = Buffer.from(id).toString("hex").slice(-60);
  return [SHARED_PART, ...parts, own].map((part) => `${part}:50`).join();
}

/** Creates a caller that uses the entries in turn. */
export function createSoakCaller(
  { addresses, onResult }: SoakCallerOptions,
): SoakCaller {
  const agent = new Agent({ connections: 4, connectTimeout: 1_000 });
  let nextIndex = 0;

  async function call(
    id: string,
    kind: RequestKind,
    key: string,
  ): Promise<CallResult> {
    const address = addresses[nextIndex++ % addresses.length] ?? "";
    const sentAt = Date.now();
    const sent = { id, kind, key, sentAt, entry: address };
    const result = await sendRequest(address, sent);
    onResult(result);
    return result;
  }

  async function sendRequest(
    address: string,
    sent: Omit<CallResult, "status" | "defect">,
  ): Promise<CallResult> {
    const { id, kind, key } = sent;
    try {
      const { statusCode, headers, body } = await request(
        `http://${address}/${kind}/${id}`,
        {
          dispatcher: agent,
          method: "POST",
          headers: {
            host: "soak.example",
            authorization: `Bearer ${key}`,
            [HEADER.requestId]: id,
            [HEADER.deadline]: String(CALL_DEADLINE_MS),
            [HEADER.pieceCounts]: "2,1",
            [HEADER.pieceKey]: "abc",
            [HEADER.promptParts]: formatParts(id),
          },
          body: "question",
          signal: AbortSignal.timeout(CALL_DEADLINE_MS + RESPONSE_GRACE_MS),
        },
      );
      const text = await body.text();
      const result = { ...sent, status: statusCode };
      const defect = statusCode === 200
        ? findDefect(sent, { text, proof: String(headers[HEADER.proof]) })
        : undefined;
      return defect === undefined ? result : { ...result, defect };
    } catch {
      return { ...sent, status: 0 };
    }
  }

  return { call, close: () => agent.destroy() };
}

/** Describes what is wrong with a complete response that reports success. */
export function findDefect(
  { id, kind }: { id: string; kind: RequestKind },
  { text, proof }: { text: string; proof: string },
): string | undefined {
  if (proof !== computeBody(id).slice(0, 16)) return "a wrong proof";
  if (kind !== "draft") {
    return text === computeBody(id) ? undefined : "a wrong body";
  }
  const events = text.split("\n\n").filter((event) => event !== "");
  const isOrdered = events.every((event, index) =>
    event === `id: ${index + 1}\ndata: ${id}`
  );
  if (!isOrdered) return "events of another response, or out of order";
  return events.length === STREAM_EVENTS
    ? undefined
    : `complete stream with ${events.length} of ${STREAM_EVENTS} events`;
}
