/**
 * Messages on a connection between entries, one in each frame.
 *
 * @module
 */

/** The value of the HTTP header `Upgrade` that opens a connection. */
export const UPGRADE_PROTOCOL = "mangoreach-peer";

/** A call of a procedure; `id` is unique among the calls of a connection. */
export interface CallFrame {
  id: number;
  type: "query" | "mutation";
  path: string;
  input?: unknown;
}

/** The client has abandoned a call; no reply is needed. */
export interface CancelFrame {
  id: number;
  cancel: true;
}

/** The reply to a call: its data, or a message that explains its failure. */
export interface ReplyFrame {
  id: number;
  data?: unknown;
  error?: string;
}

/** Decodes a frame of a client; undefined if it is malformed. */
export function decodeClientFrame(
  message: unknown,
): CallFrame | CancelFrame | undefined {
  const frame = message as Partial<CallFrame & CancelFrame> | null;
  if (typeof frame !== "object" || !Number.isSafeInteger(frame?.id)) {
    return undefined;
  }
  if (frame?.cancel === true) return frame as CancelFrame;
  const isCall = typeof frame?.path === "string" &&
    (frame.type === "query" || frame.type === "mutation");
  return isCall ? frame as CallFrame : undefined;
}

/** Decodes a frame of a server; undefined if it is malformed. */
export function decodeReplyFrame(message: unknown): ReplyFrame | undefined {
  const frame = message as Partial<ReplyFrame> | null;
  if (typeof frame !== "object" || !Number.isSafeInteger(frame?.id)) {
    return undefined;
  }
  const error = typeof frame?.error;
  return error === "string" || error === "undefined"
    ? frame as ReplyFrame
    : undefined;
}
