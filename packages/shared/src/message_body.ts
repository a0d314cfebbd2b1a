/**
 * Sends the bodies of HTTP messages.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { OutgoingMessage } from "node:http";

/**
 * Bodies up to this size are copied to a string, which node:http joins to the head
 * and writes at once; a head and a buffer are written by `writev`.
 */
const MAX_COPIED = 16_384;

/** Ends a message with its complete body, in one write if the body is small. */
export function endWithBody(message: OutgoingMessage, body: Buffer): void {
  if (body.length > MAX_COPIED) message.end(body);
  else message.end(body.toString("latin1"), "latin1");
}
