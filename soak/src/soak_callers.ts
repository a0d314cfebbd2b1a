/**
 * Callers of the soak: they keep connections, repeat as the platform's callers
 * do, and check every answer.
 *
 * @module
 */
import { Agent, request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";
import { computeBody, STREAM_EVENTS } from "./soak_endpoints.ts";

/** The kinds of requests, by their path. */
export type RequestKind = "plain" | "once" | "draft";

/** How one attempt ended for its caller. */
export interface SeenAnswer {
  id: string;
  kind: RequestKind;
  key: string;
  sentAt: number;
  /** The caller address of the entry that was asked. */
  entry: string;
  /** 0 if the connection ended without an answer. */
  status: number;
  /** A broken promise that the answer itself shows. */
  fault?: string;
}

/** Options of {@linkcode createSoakCaller}. */
export interface SoakCallerOptions {
  /** Caller addresses of all entries, through their proxies. */
  addresses: readonly string[];
  onAnswer: (answer: SeenAnswer) => void;
}

/** Sends requests. */
export interface SoakCaller {
  call(id: string, kind: RequestKind, key: string): Promise<SeenAnswer>;
  close(): Promise<void>;
}

/** Time that callers give a request. */
export const CALL_TIME_MS = 2_500;
/** An answer comes this much after the time at the latest, or never. */
const GIVE_UP_MS = 1_000;

/** Creates a caller that uses one entry after the other. */
export function createSoakCaller(
  { addresses, onAnswer }: SoakCallerOptions,
): SoakCaller {
  const agent = new Agent({ connections: 4, connectTimeout: 1_000 });
  let turn = 0;

  async function call(
    id: string,
    kind: RequestKind,
    key: string,
  ): Promise<SeenAnswer> {
    const address = addresses[turn++ % addresses.length] ?? "";
    const sentAt = Date.now();
    const seen = { id, kind, key, sentAt, entry: address };
    const answer = await readAnswer(address, seen);
    onAnswer(answer);
    return answer;
  }

  async function readAnswer(
    address: string,
    seen: Omit<SeenAnswer, "status" | "fault">,
  ): Promise<SeenAnswer> {
    const { id, kind, key } = seen;
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
            [HEADER.deadline]: String(CALL_TIME_MS),
            [HEADER.pieceCounts]: "2,1",
            [HEADER.pieceKey]: "abc",
          },
          body: "question",
          signal: AbortSignal.timeout(CALL_TIME_MS + GIVE_UP_MS),
        },
      );
      const text = await body.text();
      const end = { ...seen, status: statusCode };
      const fault = statusCode === 200
        ? findFault(seen, { text, proof: String(headers[HEADER.proof]) })
        : undefined;
      return fault === undefined ? end : { ...end, fault };
    } catch {
      return { ...seen, status: 0 };
    }
  }

  return { call, close: () => agent.destroy() };
}

/** What is wrong with an answer that claims success and looks whole. */
export function findFault(
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
  if (!isOrdered) return "events of another answer, or out of order";
  return events.length === STREAM_EVENTS
    ? undefined
    : `looks whole with ${events.length} of ${STREAM_EVENTS} events`;
}
